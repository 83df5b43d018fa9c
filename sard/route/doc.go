// Package route chooses a backend server for each request and bounds queues, connections and retries.
//
// A request waits in its client account's line until a server is likely to have a free slot, is sent there over
// a connection of this instance's share, and ends Answered, NotRun or Unknown. NotRun is told only when no byte
// of the request left, or when the server itself refused to run it.
package route
