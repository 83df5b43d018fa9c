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
	"github.com/sardineline/sardineline/sard/route"
)

// HeaderIdempotencyKey carries a caller's own name for a submission or a request.
const HeaderIdempotencyKey = "Idempotency-Key"

// maxJobBody bounds the body of a job call in bytes.
const maxJobBody = "1M"

// Config configures the API.
type Config struct {
	// Jobs takes job calls; nil leaves out the jobs API.
	Jobs gang.JobService
	// Router forwards requests; nil leaves out the requests API.
	Router *route.Router
	// CheckServing tells why requests and submissions must not be taken now; nil when they always may. A process that was
	// paused for long is asked here before it acts on an old document.
	CheckServing func() error
	// Tokens knows the client accounts.
	Tokens *creds.Tokens
	// Logger takes errors; nil for none.
	Logger hclog.Logger
}

// ErrorResponse is the body of an answer that tells of an error.
type ErrorResponse struct {
	Error string
	// Kind is the name of a fault.Kind.
	Kind string
	// Step is what was being done.
	Step string
	// RetryAfterMs is when to come back in milliseconds; 0 when not known.
	RetryAfterMs int64
}

// New makes the API of callers.
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

// statuses are the HTTP statuses of the kinds of errors.
var statuses = map[fault.Kind]int{
	fault.Invalid:        http.StatusBadRequest,
	fault.Denied:         http.StatusForbidden,
	fault.NotFound:       http.StatusNotFound,
	fault.Conflict:       http.StatusConflict,
	fault.Fenced:         http.StatusServiceUnavailable,
	fault.Throttled:      http.StatusTooManyRequests,
	fault.Unavailable:    http.StatusServiceUnavailable,
	fault.OutcomeUnknown: http.StatusBadGateway,
}

// writeError answers with an error that a handler returned.
func writeError(log hclog.Logger, err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, body := describe(err)
	if status == http.StatusInternalServerError {
		log.Error("call failed", "path", c.Path(), "error", err)
	}
	if err := writeFault(c, status, body); err != nil {
		log.Debug("caller left", "path", c.Path(), "error", err)
	}
}

func describe(err error) (int, ErrorResponse) {
	var refused *echo.HTTPError
	if errors.As(err, &refused) {
		message, _ := refused.Message.(string)
		return refused.Code, ErrorResponse{Error: message, Kind: kindOfStatus(refused.Code).String()}
	}
	status, ok := statuses[fault.KindOf(err)]
	if !ok {
		status = http.StatusInternalServerError
	}
	return status, bodyOf(err)
}

func bodyOf(err error) ErrorResponse {
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

func writeFault(c echo.Context, status int, body ErrorResponse) error {
	if body.RetryAfterMs > 0 {
		wait := time.Duration(body.RetryAfterMs) * time.Millisecond
		c.Response().Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	return c.JSON(status, body)
}
