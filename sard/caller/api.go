package caller

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"github.com/sardineline/sardineline/sard/creds"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/intake"
	"github.com/sardineline/sardineline/sard/route"
)

// HeaderIdempotencyKey is the header with the key that a caller chooses for a job submission or a request, so that
// a retry is recognised.
const HeaderIdempotencyKey = "Idempotency-Key"

// Config configures the HTTP API that New returns.
type Config struct {
	// Jobs serves the jobs API; nil disables it.
	Jobs gang.JobService
	// Router forwards requests to backend servers; nil disables the requests API.
	Router *route.Router
	// CheckServing returns an error while requests and job submissions must be rejected; a nil function accepts them
	// always. It is called for each of them, so that a process that resumes after a long pause does not act on an
	// outdated configuration document.
	CheckServing func() error
	// Tokens authenticates client accounts.
	Tokens *creds.Tokens
	// Guard bounds what calls hold while they are served; nil bounds nothing.
	Guard *intake.Guard
	// Logger receives internal errors and aborted responses; nil disables logging.
	Logger hclog.Logger
}

// ErrorResponse is the JSON body of an error response.
type ErrorResponse struct {
	// Error is the message for the caller.
	Error string
	// Kind is the name of a fault.Kind.
	Kind string
	// Step is the operation that failed; empty when it is not known.
	Step string
	// RetryAfterMs is the delay in milliseconds after which to retry; 0 when it is not known.
	RetryAfterMs int64
}

// New returns an echo instance that serves the HTTP API of client accounts.
func New(cfg Config) *echo.Echo {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.CheckServing == nil {
		cfg.CheckServing = func() error { return nil }
	}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = func(err error, c echo.Context) { writeError(cfg.Logger, err, c) }
	if cfg.Jobs != nil {
		registerJobs(e, cfg)
	}
	if cfg.Router != nil {
		registerRequests(e, cfg)
	}
	return e
}

// statusByKind maps kinds of errors to HTTP statuses. Kinds that it lacks get status 500.
var statusByKind = map[fault.Kind]int{
	fault.Invalid:        http.StatusBadRequest,
	fault.Denied:         http.StatusForbidden,
	fault.NotFound:       http.StatusNotFound,
	fault.Conflict:       http.StatusConflict,
	fault.Fenced:         http.StatusServiceUnavailable,
	fault.Throttled:      http.StatusTooManyRequests,
	fault.Unavailable:    http.StatusServiceUnavailable,
	fault.OutcomeUnknown: http.StatusBadGateway,
}

// writeError writes the response for an error that a handler returned, unless the response has already begun.
func writeError(log hclog.Logger, err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, body := errorResponse(err)
	if status == http.StatusInternalServerError {
		log.Error("API call failed", "path", c.Path(), "error", err)
	}
	if err := writeErrorResponse(c, status, body); err != nil {
		log.Debug("caller disconnected", "path", c.Path(), "error", err)
	}
}

// errorResponse returns the HTTP status and the body for an error.
func errorResponse(err error) (int, ErrorResponse) {
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) {
		message, _ := httpErr.Message.(string)
		return httpErr.Code, ErrorResponse{Error: message, Kind: kindOfStatus(httpErr.Code).String()}
	}
	status, ok := statusByKind[fault.KindOf(err)]
	if !ok {
		status = http.StatusInternalServerError
	}
	return status, newErrorResponse(err)
}

// newErrorResponse returns the body for an error that a handler returned.
func newErrorResponse(err error) ErrorResponse {
	body := ErrorResponse{
		Error:        err.Error(),
		Kind:         fault.KindOf(err).String(),
		RetryAfterMs: fault.RetryAfterOf(err).Milliseconds(),
	}
	var f *fault.Error
	if errors.As(err, &f) {
		body.Step = f.Step
	}
	return body
}

// kindOfStatus returns the fault kind for the HTTP status of an error that echo itself reports, such as an unknown
// route.
func kindOfStatus(status int) fault.Kind {
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return fault.Denied
	case http.StatusNotFound:
		return fault.NotFound
	}
	if status < http.StatusInternalServerError {
		return fault.Invalid
	}
	return fault.Internal
}

// writeErrorResponse writes an error body, with a Retry-After header in whole seconds when a delay is known.
func writeErrorResponse(c echo.Context, status int, body ErrorResponse) error {
	if body.RetryAfterMs > 0 {
		retryAfter := time.Duration(body.RetryAfterMs) * time.Millisecond
		c.Response().Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	return c.JSON(status, body)
}
