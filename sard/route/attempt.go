package route

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/server"
)

// attemptResult is the result of an attempt to send a request to a backend server. Its implementations are
// responseReceived, requestRefused, requestNotSent and responseLost.
type attemptResult interface{ label() string }

// responseReceived is the result of an attempt that got a complete response, or the start of a long one.
type responseReceived struct {
	response Answered
	// serverError is set if the status is 500 or more.
	serverError bool
}

// requestRefused is the result of an attempt that the server refused to run.
type requestRefused struct {
	retryAfter time.Duration
	fault      *fault.Error
}

// requestNotSent is the result of an attempt that sent no byte of the request.
type requestNotSent struct{ fault *fault.Error }

// responseLost is the result of an attempt that may have run the request but got no usable response.
type responseLost struct {
	// timedOut is set if the request's context ended before the response.
	timedOut bool
	fault    *fault.Error
}

// label returns the value of the End label in metrics.
func (responseReceived) label() string { return "Answered" }

// label returns the value of the End label in metrics.
func (requestRefused) label() string { return "Refused" }

// label returns the value of the End label in metrics.
func (requestNotSent) label() string { return "Unreached" }

// label returns the value of the End label in metrics.
func (responseLost) label() string { return "Lost" }

// httpStatus returns the HTTP status that tells the caller that the response was lost.
func (l responseLost) httpStatus() int {
	if l.timedOut {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// attempt sends the request to the slot's server. The slot is released on return, or held by the body of a long
// response.
func (r *Router) attempt(ctx context.Context, s *slot, c *call) attemptResult {
	result := r.sendRequest(ctx, s, c)
	r.metrics.attempts.WithLabelValues(result.label()).Inc()
	return result
}

// sendRequest connects if needed, sends the request and waits for the response.
func (r *Router) sendRequest(ctx context.Context, s *slot, c *call) attemptResult {
	if err := r.connect(ctx, s); err != nil {
		r.release(s, slotFailed)
		return requestNotSent{fault.Wrap(err, fault.Unavailable, "connect", s.description())}
	}
	request, err := c.newServerRequest(ctx, s.backend.server.Address)
	if err != nil {
		r.release(s, slotUnused)
		return requestNotSent{fault.Wrap(err, fault.Invalid, "make request", "")}
	}
	if !r.verifyNotResent(c) {
		r.release(s, slotUnused)
		return responseLost{false, fault.New(fault.OutcomeUnknown, "send request", s.description(), "request may already have been sent")}
	}
	c.bodyConsumed = c.bodyConsumed || !c.requestBody.isBuffered()
	response, err := s.conn.Do(request) //nolint:bodyclose // closed by handleResponse or responseStream
	c.mayHaveSent = c.mayHaveSent || s.conn.MayHaveSent()
	if err != nil {
		return r.failAttempt(ctx, s, err)
	}
	return r.handleResponse(ctx, s, c, response)
}

// connect opens a connection if the slot has none.
func (r *Router) connect(ctx context.Context, s *slot) error {
	if s.conn != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.DialTimeout)
	defer cancel()
	conn, err := server.Dial(ctx, r.cfg.Dial, s.backend.server.Address)
	s.conn = conn
	return err
}

// failAttempt ends an attempt that got no usable response. It closes the connection first, so that no more bytes can
// be sent.
func (r *Router) failAttempt(ctx context.Context, s *slot, err error) attemptResult {
	s.conn.Close()
	sent := s.conn.MayHaveSent()
	timedOut := ctx.Err() != nil
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		r.release(s, slotUnused)
	case !sent && !timedOut && s.reused:
		r.release(s, slotUnused)
	default:
		r.release(s, slotFailed)
	}
	if !sent {
		return requestNotSent{fault.Wrap(err, fault.Unavailable, "send request", s.description())}
	}
	return responseLost{timedOut, fault.Wrap(err, fault.OutcomeUnknown, "await answer", s.description())}
}

// handleResponse checks the header of a response and reads its body.
func (r *Router) handleResponse(ctx context.Context, s *slot, c *call, response *http.Response) attemptResult {
	if echoed := response.Header.Get(server.HeaderRequest); echoed != string(c.ID) {
		return r.failAttempt(ctx, s, fault.New(fault.OutcomeUnknown, "check answer", s.description(), "response is for request %q", echoed))
	}
	if err := r.checkFraming(c, response); err != nil {
		return r.failAttempt(ctx, s, err)
	}
	s.parseFreeSlots(response.Header)
	if reason := response.Header.Get(server.HeaderRefused); reason != "" {
		return r.handleRefusal(s, reason, response)
	}
	if response.Close {
		r.detectLeaving(s.backend, "connection closed")
	}
	return r.readResponse(ctx, s, c, response)
}

// checkFraming returns an error if the response is too large, or if its end cannot be distinguished from a broken
// connection.
func (r *Router) checkFraming(c *call, response *http.Response) error {
	if response.ContentLength > r.cfg.MaxResponseBytes {
		return errResponseTooLarge
	}
	chunked := len(response.TransferEncoding) > 0
	if response.ContentLength >= 0 || chunked || response.Body == http.NoBody || c.Method == http.MethodHead {
		return nil
	}
	return errors.New("response has neither a Content-Length nor chunked encoding")
}

// handleRefusal ends an attempt that the server refused to run. It keeps the connection if the body of the refusal is
// short.
func (r *Router) handleRefusal(s *slot, reason string, response *http.Response) attemptResult {
	_, err := io.CopyN(io.Discard, response.Body, maxRefusalBodyBytes)
	if !errors.Is(err, io.EOF) {
		s.conn.Close()
	}
	retryAfter := parseRetryAfter(response.Header)
	if reason == server.RefusedDraining {
		r.detectLeaving(s.backend, "refused while draining")
	}
	s.retryAfter = retryAfter
	r.release(s, slotRefused)
	f := fault.New(fault.Throttled, "send request", s.description(), "server refused the request: %s", reason)
	return requestRefused{retryAfter: retryAfter, fault: f}
}

// maxRefusalBodyBytes is the largest body of a refusal that is read to keep the connection open.
const maxRefusalBodyBytes = 4 << 10

// parseRetryAfter returns the value of a Retry-After header in seconds, or 0 if there is none.
func parseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// newServerRequest creates the HTTP request to a backend server.
func (c *call) newServerRequest(ctx context.Context, address string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.Path, nil)
	if err != nil {
		return nil, err
	}
	request.Header = endToEndHeaders(c.Header)
	for name := range request.Header {
		if strings.HasPrefix(name, server.HeaderPrefix) || name == "Authorization" || name == "Expect" {
			request.Header.Del(name)
		}
	}
	request.Header.Set(server.HeaderRequest, string(c.ID))
	request.Header.Set(server.HeaderAccount, string(c.Account))
	request.Header.Set(server.HeaderDeadline, strconv.FormatInt(time.Until(c.deadline).Milliseconds(), 10))
	if c.requestBody.length != 0 {
		request.Body = c.requestBody.reader()
		request.ContentLength = c.requestBody.length
	}
	return request, nil
}

// hopByHopHeaders are the headers that apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns the headers that a proxy forwards: all but the hop-by-hop headers and those that Connection
// lists.
func endToEndHeaders(h http.Header) http.Header {
	forwarded := h.Clone()
	if forwarded == nil {
		forwarded = http.Header{}
	}
	for _, names := range h.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}
