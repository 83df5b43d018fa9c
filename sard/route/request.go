package route

import (
	"io"
	"net/http"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// Request is a request of a client account that is to be forwarded to a backend server.
type Request struct {
	// ID is unique across all instances; an empty ID is replaced by a random one.
	ID      ident.Request
	Account ident.Account
	// IdempotencyKey is the caller's identifier for a request that must not be repeated; empty if there is none.
	IdempotencyKey ident.IdempotencyKey
	Method         string
	// Path is the escaped path with its query, as sent to the backend server.
	Path   string
	Header http.Header
	Body   io.Reader
	// ContentLength is the length of Body in bytes; -1 if not known.
	ContentLength int64
	// Timeout is how long the caller waits. It is limited by the route's timeout, which applies if it is 0.
	Timeout time.Duration
}

// Result is the result of a request: Answered, NotRun or Unknown.
type Result interface {
	// Outcome returns the value used in headers and metrics.
	Outcome() ident.Outcome
}

// Answered is the result of a request that a backend server answered. It holds the response.
type Answered struct {
	Status int
	Header http.Header
	// Body returns the complete response or an error. It must be closed.
	Body io.ReadCloser
	// ContentLength is the length of Body in bytes; -1 if not known.
	ContentLength int64
}

// NotRun is the result of a request that is certain not to have run.
type NotRun struct {
	// Status is the HTTP status for the caller.
	Status int
	Fault  *fault.Error
}

// Unknown is the result of a request that may or may not have run.
type Unknown struct {
	// Status is the HTTP status for the caller.
	Status int
	Fault  *fault.Error
}

// Outcome returns ident.Answered.
func (Answered) Outcome() ident.Outcome { return ident.Answered }

// Outcome returns ident.NotRun.
func (NotRun) Outcome() ident.Outcome { return ident.NotRun }

// Outcome returns ident.Unknown.
func (Unknown) Outcome() ident.Outcome { return ident.Unknown }
