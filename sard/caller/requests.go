package caller

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"github.com/sardineline/sardineline/sard/creds"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/route"
	"github.com/sardineline/sardineline/sard/server"
)

// HeaderOutcome tells a caller the outcome of its request: "Answered", "NotRun" or "Unknown".
const HeaderOutcome = "Sardine-Outcome"

// requestPrefix is the start of the path of requests that are forwarded.
const requestPrefix = "/r"

// copyBuffer is the size in bytes of the parts in which a long answer is passed on.
const copyBuffer = 32 << 10

// readMargin is how long after the deadline of a request its body may still be read.
const readMargin = time.Second

// comeBack is when a caller should try again after the instance took nothing.
const comeBack = time.Second

// requestsAPI forwards requests to backend servers.
type requestsAPI struct {
	serving func() error
	router  *route.Router
	log     hclog.Logger
}

func registerRequests(e *echo.Echo, cfg Config) {
	api := requestsAPI{serving: cfg.CheckServing, router: cfg.Router, log: cfg.Logger}
	e.Any(requestPrefix+"/*", api.forward, cfg.Tokens.RequireAccount)
}

func (a requestsAPI) forward(c echo.Context) error {
	if err := a.serving(); err != nil {
		f := fault.Wrap(err, fault.Unavailable, "take request", "").WithRetryAfter(comeBack)
		return writeOutcome(c, ident.NotRun, http.StatusServiceUnavailable, f)
	}
	r := c.Request()
	request := route.Request{
		Account:        creds.AccountOf(c),
		IdempotencyKey: ident.IdempotencyKey(r.Header.Get(HeaderIdempotencyKey)),
		Method:         r.Method,
		Path:           strings.TrimPrefix(r.URL.RequestURI(), requestPrefix),
		Header:         r.Header,
		Body:           r.Body,
		ContentLength:  r.ContentLength,
		Timeout:        waitOf(r.Header),
	}
	a.boundReading(c, request)
	result := a.router.Do(r.Context(), request)
	a.endBound(c)
	switch result := result.(type) {
	case route.Answered:
		return a.writeAnswer(c, result)
	case route.NotRun:
		return writeOutcome(c, ident.NotRun, result.Status, result.Fault)
	case route.Unknown:
		return writeOutcome(c, ident.Unknown, result.Status, result.Fault)
	}
	return nil
}

// boundReading bounds the time in which the caller's body is read.
func (a requestsAPI) boundReading(c echo.Context, request route.Request) {
	wait := a.router.RouteTimeout(request.Path)
	if request.Timeout > 0 {
		wait = min(wait, request.Timeout)
	}
	a.setReadDeadline(c, time.Now().Add(wait+readMargin))
}

func (a requestsAPI) endBound(c echo.Context) {
	a.setReadDeadline(c, time.Time{})
}

func (a requestsAPI) setReadDeadline(c echo.Context, at time.Time) {
	if err := http.NewResponseController(c.Response()).SetReadDeadline(at); err != nil {
		a.log.Debug("reading is not bounded", "error", err)
	}
}

// waitOf reads how long the caller waits; 0 when it does not tell.
func waitOf(h http.Header) time.Duration {
	wait, err := strconv.ParseInt(h.Get(server.HeaderDeadline), 10, 64)
	if err != nil || wait <= 0 {
		return 0
	}
	return time.Duration(wait) * time.Millisecond
}

// writeAnswer passes an answer on. When it turns out to be cut short, the caller's connection is aborted, so
// that the caller sees an error instead of a short answer.
func (a requestsAPI) writeAnswer(c echo.Context, answer route.Answered) error {
	defer answer.Body.Close()
	h := c.Response().Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	h.Set(HeaderOutcome, ident.Answered.String())
	if answer.ContentLength >= 0 && hasBody(answer.Status) {
		h.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	c.Response().WriteHeader(answer.Status)
	if _, err := io.CopyBuffer(onlyWriter{c.Response()}, answer.Body, make([]byte, copyBuffer)); err != nil {
		a.log.Warn("answer aborted", "path", c.Request().URL.Path, "error", err)
		panic(http.ErrAbortHandler)
	}
	return nil
}

func hasBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified && status >= http.StatusOK
}

// onlyWriter hides other methods of a response, so that long answers are copied in parts.
type onlyWriter struct{ io.Writer }

func writeOutcome(c echo.Context, outcome ident.Outcome, status int, f *fault.Error) error {
	c.Response().Header().Set(HeaderOutcome, outcome.String())
	return writeFault(c, status, bodyOf(f))
}
