// Package oper serves the HTTP API of operators.
//
// Every call requires the bearer token of an operator. Bodies are JSON with the Go field names as keys, except
// configuration documents, which may also be YAML. Errors are returned as an ErrorResponse with the HTTP status of
// their kind.
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

// The paths of the API. PathVersions is also the prefix of "/<version>", and PathJobs of "/<job>/explain".
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

// The request headers of PUT PathDocument.
const (
	// HeaderIfMatch carries the quoted version on which the document is based; "0" for the first document.
	HeaderIfMatch = "If-Match"
	// HeaderWriteToken carries the token that identifies the proposal when it is repeated.
	HeaderWriteToken = "Sardine-Write-Token"
)

// MaxBodyBytes is the maximum size of a request body. The largest holds a document and its proof.
const MaxBodyBytes = 2 * envdoc.MaxBytes

// DocumentView is the response to GET PathDocument: the configuration document in force, with its plan of guarantees
// and its proof.
type DocumentView struct {
	config.Head
	// Since is when the document came into force at the instance that serves the call.
	Since    time.Time
	Document json.RawMessage
	Plan     []config.DataCentreShare
	Proof    *config.Proof
}

// RestoreRequest is the body of POST PathRestore. It proposes the content of an earlier version of the configuration
// document as a new version.
type RestoreRequest struct {
	// Version is the earlier version.
	Version ident.Version
	// BasedOn is the latest version that the operator knows. The proposal conflicts with any later version.
	BasedOn ident.Version
	// Token identifies the proposal when it is repeated.
	Token ident.WriteToken
}

// PromoteRequest is the body of POST PathPromote. It proposes a configuration document together with the proof that the
// document was in force in a trial environment.
type PromoteRequest struct {
	Document json.RawMessage
	// BasedOn is the latest version that the operator knows. The proposal conflicts with any later version.
	BasedOn ident.Version
	// Token identifies the proposal when it is repeated.
	Token ident.WriteToken
	Proof config.Proof
}

// DrainRequest is the body of POST PathDrain. It names the instance that is to shut down gracefully.
type DrainRequest struct{ Instance ident.Instance }

// ErrorResponse is the JSON body of each response to a call that failed.
type ErrorResponse struct {
	Error string
	// Kind is the name of a fault.Kind.
	Kind string
	// Step is the operation that failed; empty when it is not known.
	Step string
	// RetryAfterMs is the delay in milliseconds after which to retry; 0 when it is not known.
	RetryAfterMs int64
	// Problems are the errors in the text of a configuration document.
	Problems []envdoc.Problem `json:",omitempty"`
	// Winner is the conflicting version of the document that was accepted, and Changes are the differences from it to
	// the rejected document.
	Winner  *config.Head    `json:",omitempty"`
	Changes []envdoc.Change `json:",omitempty"`
}

// writeError writes an error response with the HTTP status of the error's kind, and a Retry-After header in whole
// seconds when a delay is known.
func writeError(c echo.Context, err error) error {
	body := ErrorResponse{Error: err.Error(), Kind: fault.KindOf(err).String()}
	var f *fault.Error
	if errors.As(err, &f) {
		body.Step = f.Step
	}
	if retryAfter := fault.RetryAfterOf(err); retryAfter > 0 {
		body.RetryAfterMs = retryAfter.Milliseconds()
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(int((retryAfter+time.Second-1)/time.Second)))
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

// HTTPStatusOf returns the HTTP status of a response with the given kind of error.
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
