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
	"github.com/sardineline/sardineline/sard/intake"
	"github.com/sardineline/sardineline/sard/route"
	"github.com/sardineline/sardineline/sard/server"
)

// HeaderOutcome is the response header that tells whether a forwarded request ran: "Answered" if a backend server
// answered it, "NotRun" if it definitely did not run, and "Unknown" otherwise.
const HeaderOutcome = "Sardine-Outcome"

// requestPathPrefix is the path prefix of all forwarded requests. It is stripped before a request is forwarded.
const requestPathPrefix = "/r"

// copyBufferSize is the size in bytes of the buffer through which response bodies are copied.
const copyBufferSize = 32 << 10

// bodyReadMargin is the time after the deadline of a request in which its body may still be read.
const bodyReadMargin = time.Second

// unavailableRetryAfter is the retry delay given to callers while the instance accepts no work.
const unavailableRetryAfter = time.Second

// requestsAPI handles requests that are forwarded to backend servers.
type requestsAPI struct {
	checkServing func() error
	router       *route.Router
	log          hclog.Logger
}

// registerRequests adds the routes of the requests API.
func registerRequests(e *echo.Echo, cfg Config) {
	handler := requestsAPI{checkServing: cfg.CheckServing, router: cfg.Router, log: cfg.Logger}
	e.Any(requestPathPrefix+"/*", handler.forward, cfg.Tokens.RequireAccount)
}

// forward passes a caller's request to the router, which sends it to a backend server, and writes the response.
func (api requestsAPI) forward(c echo.Context) error {
	if err := api.checkServing(); err != nil {
		f := fault.Wrap(err, fault.Unavailable, "take request", "").WithRetryAfter(unavailableRetryAfter)
		return writeOutcome(c, ident.NotRun, http.StatusServiceUnavailable, f)
	}
	r := c.Request()
	request := route.Request{
		Account:        creds.AccountOf(c),
		IdempotencyKey: ident.IdempotencyKey(r.Header.Get(HeaderIdempotencyKey)),
		Method:         r.Method,
		Path:           strings.TrimPrefix(r.URL.RequestURI(), requestPathPrefix),
		Header:         r.Header,
		Body:           r.Body,
		ContentLength:  r.ContentLength,
		Timeout:        callerTimeout(r.Header),
	}
	api.limitBodyTime(c, request)
	switch result := api.router.Do(r.Context(), request).(type) {
	case route.Answered:
		return api.writeResponse(c, result)
	case route.NotRun:
		return writeOutcome(c, ident.NotRun, result.Status, result.Fault)
	case route.Unknown:
		return writeOutcome(c, ident.Unknown, result.Status, result.Fault)
	}
	return nil
}

// limitBodyTime limits the time for reading the request body to the timeout of the route or of the caller, whichever is
// shorter, plus bodyReadMargin.
func (api requestsAPI) limitBodyTime(c echo.Context, request route.Request) {
	timeout := api.router.RouteTimeout(request.Path)
	if request.Timeout > 0 {
		timeout = min(timeout, request.Timeout)
	}
	intake.SetBodyDeadline(c.Request(), time.Now().Add(timeout+bodyReadMargin))
}

// callerTimeout returns the timeout in the deadline header of a request; 0 when it is missing or invalid.
func callerTimeout(header http.Header) time.Duration {
	millis, err := strconv.ParseInt(header.Get(server.HeaderDeadline), 10, 64)
	if err != nil || millis <= 0 {
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}

// writeResponse copies the response of a backend server to the caller. When the body ends early, the caller's
// connection is aborted, so that the caller sees an error instead of a truncated response.
func (api requestsAPI) writeResponse(c echo.Context, answered route.Answered) error {
	defer answered.Body.Close()
	header := c.Response().Header()
	for name, values := range answered.Header {
		header[name] = values
	}
	header.Set(HeaderOutcome, ident.Answered.String())
	if answered.ContentLength >= 0 && statusAllowsBody(answered.Status) {
		header.Set("Content-Length", strconv.FormatInt(answered.ContentLength, 10))
	}
	c.Response().WriteHeader(answered.Status)
	if _, err := io.CopyBuffer(writerOnly{c.Response()}, answered.Body, make([]byte, copyBufferSize)); err != nil {
		api.log.Warn("response aborted", "path", c.Request().URL.Path, "error", err)
		panic(http.ErrAbortHandler)
	}
	return nil
}

// statusAllowsBody reports whether a response with the given status may carry a body.
func statusAllowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified && status >= http.StatusOK
}

// writerOnly hides all other methods of a response, so that io.CopyBuffer copies through the given buffer.
type writerOnly struct{ io.Writer }

// writeOutcome writes an error response for a request that was not run or whose outcome is unknown.
func writeOutcome(c echo.Context, outcome ident.Outcome, status int, f *fault.Error) error {
	c.Response().Header().Set(HeaderOutcome, outcome.String())
	return writeErrorResponse(c, status, newErrorResponse(f))
}
