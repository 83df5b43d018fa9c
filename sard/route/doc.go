// Package route selects a backend server for each request and limits queue lengths, connections and retries.
//
// A request waits in the queue of its client account until a server is likely to have a free slot. It is then sent
// over one of the connections that this instance may open, and ends with the outcome Answered, NotRun or Unknown.
// NotRun is reported only if no byte of the request was sent, or if the server refused to run it.
package route
