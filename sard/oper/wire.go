// Package oper serves the HTTP API of operators.
//
// Every call needs an operator's bearer token. Bodies are JSON with the field names as keys, but for documents,
// which may be YAML. Errors are an ErrorReply with the HTTP status of their kind.
package oper

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// The paths of the API. A version follows PathVersions, and a job and "/explain" follow PathJobs.
const (
	PathDocument = "/v1/document"
	PathHistory  = "/v1/document/history"
	PathVersions = "/v1/document/versions"
	PathCheck    = "/v1/document/check"
	PathRestore  = "/v1/document/restore"
	PathPromote  = "/v1/document/promote"
	PathProof    = "/v1/document/proof"
	PathStatus   = "/v1/status"
	PathDrain    = "/v1/drain"
	PathJobs     = "/v1/oper/jobs"
)

// The headers of PUT PathDocument.
const (
	// HeaderIfMatch carries the version that the document was based on, in quotes; "0" when there was none.
	HeaderIfMatch = "If-Match"
	// HeaderWriteToken carries the token of the proposal.
	HeaderWriteToken = "Sardine-Write-Token"
)

// MaxBodyBytes bounds the body of a call: a document with its proof.
const MaxBodyBytes = 2 * envdoc.MaxBytes

// DocumentView is the document in force.
type DocumentView struct {
	config.Head
	Since    time.Time
	Document json.RawMessage
	Plan     []config.DataCentreShare
	Proof    *config.Proof
}

// RestoreRequest asks for a new version with the content of an earlier one.
type RestoreRequest struct {
	Version ident.Version
	BasedOn ident.Version
	Token   ident.WriteToken
}

// PromoteRequest asks for a document that was proven in trial.
type PromoteRequest struct {
	Document json.RawMessage
	BasedOn  ident.Version
	Token    ident.WriteToken
	Proof    config.Proof
}

// DrainRequest names the instance to drain.
type DrainRequest struct{ Instance ident.Instance }

// ErrorResponse is the body of an error.
type ErrorResponse struct {
	Error string
	// Kind is the name of a fault.Kind.
	Kind string
	Step string
	// RetryAfterMs is when to try again, in milliseconds; 0 when not known.
	RetryAfterMs int64
	// Problems are the errors in a document's text.
	Problems []envdoc.Problem `json:",omitempty"`
	// Winner is the version that was accepted instead, and Changes lead from it to the document that was refused.
	Winner  *config.Head    `json:",omitempty"`
	Changes []envdoc.Change `json:",omitempty"`
}

// reply writes err with the HTTP status of its kind.
func reply(c echo.Context, err error) error {
	body := ErrorResponse{Error: err.Error(), Kind: fault.KindOf(err).String()}
	var located *fault.Error
	if errors.As(err, &located) {
		body.Step = located.Step
	}
	if wait := fault.RetryAfterOf(err); wait > 0 {
		body.RetryAfterMs = wait.Milliseconds()
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(int((wait+time.Second-1)/time.Second)))
	}
	var problems envdoc.Problems
	if errors.As(err, &problems) {
		body.Problems = problems
	}
	var conflict *config.ConflictError
	if errors.As(err, &conflict) {
		body.Winner = &conflict.Winner
		body.Changes = conflict.Changes
	}
	return c.JSON(HTTPStatusOf(fault.KindOf(err)), body)
}

// HTTPStatusOf returns the HTTP status of a kind of error.
func HTTPStatusOf(kind fault.Kind) int {
	switch kind {
	case fault.Invalid:
		return http.StatusBadRequest
	case fault.Denied:
		return http.StatusForbidden
	case fault.NotFound:
		return http.StatusNotFound
	case fault.Conflict:
		return http.StatusConflict
	case fault.Throttled:
		return http.StatusTooManyRequests
	case fault.Unavailable, fault.Fenced:
		return http.StatusServiceUnavailable
	case fault.OutcomeUnknown:
		return http.StatusBadGateway
	}
	return http.StatusInternalServerError
}
