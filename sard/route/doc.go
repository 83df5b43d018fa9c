// Package route selects a backend server for each request and limits queue lengths, connections and retries.
//
// A request waits in the queue of its client account until a server is likely to have a free slot. It is then sent over
// one of the connections that this instance may open, and ends with the outcome Answered, NotRun or Unknown. NotRun is
// reported only if no byte of the request was sent, or if the server refused to run it.
//
// A slot is a server's capacity to run one request at a time. Rendezvous hashing assigns each slot to one instance, its
// owner, which uses its own slots before those of others. The connections that a server accepts are shared among the
// instances too. A claim is the stored record by which an idempotency key belongs to one request. A leaving server
// finishes its requests but gets no new ones.
package route
