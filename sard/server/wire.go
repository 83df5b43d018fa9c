// Package server is the client of the backend servers, which answer callers' short requests.
//
// A request is forwarded over HTTP/1.1 with its path, query, body and end-to-end headers, and the headers below.
package server

// The headers between an instance and a backend server.
const (
	// HeaderRequest carries the request's id. A server echoes it in the answer.
	HeaderRequest = "Sardine-Request"
	// HeaderDeadline carries the milliseconds that the caller still waits.
	HeaderDeadline = "Sardine-Deadline-Ms"
	// HeaderRefused is set by a server that refused a request before running it: "Busy" or "Draining".
	HeaderRefused = "Sardine-Refused"
	// HeaderFreeSlots carries the server's free slots at the time of the answer.
	HeaderFreeSlots = "Sardine-Free-Slots"
)

// The values of HeaderRefused.
const (
	RefusedBusy     = "Busy"
	RefusedDraining = "Draining"
)

// HeaderPrefix starts the headers that concern an instance and a backend server. A caller's own are not passed on.
const HeaderPrefix = "Sardine-"

// HeaderAccount carries the client account of the request's caller.
const HeaderAccount = "Sardine-Account"
