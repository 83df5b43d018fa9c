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

// attemptEnd is how an attempt at a backend server ended. It is sealed.
type attemptEnd interface{ end() string }

// answered is a whole answer, or the start of a long one. A failing one has a status of 500 or more.
type answered struct {
	answer  Answered
	failing bool
}

// refused is a request that the server said it did not run.
type refused struct {
	after time.Duration
	fault *fault.Error
}

// unreached is a request of which no byte left.
type unreached struct{ fault *fault.Error }

// lost is a request that may have run.
type lost struct {
	late  bool
	fault *fault.Error
}

func (answered) end() string  { return "Answered" }
func (refused) end() string   { return "Refused" }
func (unreached) end() string { return "Unreached" }
func (lost) end() string      { return "Lost" }

func (l lost) status() int {
	if l.late {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// attempt sends the request to the slot's server. The slot is released, or held by the body of a long answer.
func (r *Router) attempt(ctx context.Context, s *slot, c *call) attemptEnd {
	end := r.exchange(ctx, s, c)
	r.metrics.attempts.WithLabelValues(end.end()).Inc()
	return end
}

func (r *Router) exchange(ctx context.Context, s *slot, c *call) attemptEnd {
	if err := r.connect(ctx, s); err != nil {
		r.release(s, failedEnd)
		return unreached{fault.Wrap(err, fault.Unavailable, "connect", s.peer())}
	}
	request, err := c.outgoing(ctx, s.backend.server.Address)
	if err != nil {
		r.release(s, idleEnd)
		return unreached{fault.Wrap(err, fault.Invalid, "make request", "")}
	}
	if !r.maySend(c) {
		r.release(s, idleEnd)
		return lost{false, fault.New(fault.OutcomeUnknown, "send request", s.peer(), "the request was sent before")}
	}
	c.spent = c.spent || !c.payload.whole()
	response, err := s.conn.Do(request) //nolint:bodyclose // receive and stream close it
	c.sent = c.sent || s.conn.MayHaveSent()
	if err != nil {
		return r.failed(ctx, s, err)
	}
	return r.receive(ctx, s, c, response)
}

// connect opens a connection when the slot has none.
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

// failed ends an attempt without an answer. The connection is closed, so that nothing more can leave.
func (r *Router) failed(ctx context.Context, s *slot, err error) attemptEnd {
	s.conn.Close()
	sent := s.conn.MayHaveSent()
	late := ctx.Err() != nil
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		r.release(s, idleEnd)
	case !sent && !late && s.reused:
		r.release(s, idleEnd)
	default:
		r.release(s, failedEnd)
	}
	if !sent {
		return unreached{fault.Wrap(err, fault.Unavailable, "send request", s.peer())}
	}
	return lost{late, fault.Wrap(err, fault.OutcomeUnknown, "await answer", s.peer())}
}

// receive checks the head of an answer and takes its body.
func (r *Router) receive(ctx context.Context, s *slot, c *call, response *http.Response) attemptEnd {
	if echoed := response.Header.Get(server.HeaderRequest); echoed != string(c.ID) {
		return r.failed(ctx, s, fault.New(fault.OutcomeUnknown, "check answer", s.peer(), "the answer is for request %q", echoed))
	}
	if err := r.delimited(c, response); err != nil {
		return r.failed(ctx, s, err)
	}
	s.learn(response.Header)
	if sign := response.Header.Get(server.HeaderRefused); sign != "" {
		return r.refusedBy(s, sign, response)
	}
	if response.Close {
		r.noticeLeaving(s.backend, "connection closed")
	}
	return r.take(ctx, s, c, response)
}

// delimited returns an error for an answer whose end cannot be told from a broken connection, or which is too large.
func (r *Router) delimited(c *call, response *http.Response) error {
	if response.ContentLength > r.cfg.MaxResponseBytes {
		return errAnswerTooLarge
	}
	chunked := len(response.TransferEncoding) > 0
	if response.ContentLength >= 0 || chunked || response.Body == http.NoBody || c.Method == http.MethodHead {
		return nil
	}
	return errors.New("the answer tells neither its length nor its end")
}

// refusedBy ends an attempt that the server refused to run.
func (r *Router) refusedBy(s *slot, sign string, response *http.Response) attemptEnd {
	_, err := io.CopyN(io.Discard, response.Body, maxRefusal)
	if !errors.Is(err, io.EOF) {
		s.conn.Close()
	}
	after := retryAfter(response.Header)
	if sign == server.RefusedDraining {
		r.noticeLeaving(s.backend, "refused while draining")
	}
	s.refusedFor = after
	r.release(s, refusedEnd)
	f := fault.New(fault.Throttled, "send request", s.peer(), "the server refused: %s", sign)
	return refused{after: after, fault: f}
}

// maxRefusal bounds the body of a refusal in bytes.
const maxRefusal = 4 << 10

// retryAfter reads a Retry-After in seconds; 0 when there is none.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// outgoing makes the request for a backend server.
func (c *call) outgoing(ctx context.Context, address string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.Path, nil)
	if err != nil {
		return nil, err
	}
	request.Header = endToEnd(c.Header)
	for name := range request.Header {
		if strings.HasPrefix(name, server.HeaderPrefix) || name == "Authorization" || name == "Expect" {
			request.Header.Del(name)
		}
	}
	request.Header.Set(server.HeaderRequest, string(c.ID))
	request.Header.Set(server.HeaderAccount, string(c.Account))
	request.Header.Set(server.HeaderDeadline, strconv.FormatInt(time.Until(c.deadline).Milliseconds(), 10))
	if c.payload.length != 0 {
		request.Body = c.payload.reader()
		request.ContentLength = c.payload.length
	}
	return request, nil
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// endToEnd copies the headers that are passed on.
func endToEnd(h http.Header) http.Header {
	passed := h.Clone()
	if passed == nil {
		passed = http.Header{}
	}
	for _, names := range h.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		passed.Del(name)
	}
	return passed
}
