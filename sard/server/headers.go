// Package server is the HTTP client for backend servers, which process callers' short requests.
//
// A request is forwarded over HTTP/1.1 with its path, query, body and end-to-end headers, plus the headers defined in
// this package. A slot of a server is its capacity to process one request; a server with n slots processes n at a time.
package server

// The headers between an instance and a backend server.
const (
	// HeaderRequest carries the ID that the instance gave the request. The server echoes it in the response.
	HeaderRequest = "Sardine-Request"
	// HeaderDeadline carries the time left until the caller's deadline, in milliseconds.
	HeaderDeadline = "Sardine-Deadline-Ms"
	// HeaderRefused is set by a server that refused a request without running it. Its value is RefusedBusy or
	// RefusedDraining.
	HeaderRefused = "Sardine-Refused"
	// HeaderFreeSlots carries the number of free slots that the server had when it responded.
	HeaderFreeSlots = "Sardine-Free-Slots"
)

// The values of HeaderRefused.
const (
	// RefusedBusy means that no slot was free.
	RefusedBusy = "Busy"
	// RefusedDraining means that the server is shutting down.
	RefusedDraining = "Draining"
)

// HeaderPrefix is the prefix of all headers between an instance and a backend server. Headers with this prefix that a
// caller sends are not forwarded.
const HeaderPrefix = "Sardine-"

// HeaderAccount carries the name of the client account that sent the request.
const HeaderAccount = "Sardine-Account"
