package route

import (
	"io"
	"net/http"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// Request is a caller's request.
type Request struct {
	// ID is unique over all instances; empty for a new one.
	ID      ident.Request
	Account ident.Account
	// IdempotencyKey is the caller's own name for a request that is not to be repeated; empty for none.
	IdempotencyKey ident.IdempotencyKey
	Method         string
	// Path is the escaped path with its query, as the backend server is to see it.
	Path   string
	Header http.Header
	Body   io.Reader
	// ContentLength is the length of Body in bytes; -1 when not known.
	ContentLength int64
	// Timeout is how long the caller waits; 0 means the route's timeout, which also bounds it.
	Timeout time.Duration
}

// Result is what became of a request. It is sealed.
type Result interface {
	// Outcome names the result in headers and metrics.
	Outcome() ident.Outcome
}

// Answered is an answer of a backend server.
type Answered struct {
	Status int
	Header http.Header
	// Body gives the whole answer or an error. It must be closed.
	Body io.ReadCloser
	// ContentLength is the length of Body in bytes; -1 when not known.
	ContentLength int64
}

// NotRun is a request that surely did not run.
type NotRun struct {
	// Status is the HTTP status for the caller.
	Status int
	Fault  *fault.Error
}

// Unknown is a request that may or may not have run.
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
