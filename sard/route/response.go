package route

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/server"
)

// responseBufferBytes is the number of response bytes that are read before any are passed on. A response that fits is
// passed on only once it is complete.
const responseBufferBytes = 32 << 10

// errResponseTooLarge is returned for a response over Config.MaxResponseBytes.
var errResponseTooLarge = errors.New("response is too large")

// readResponse reads a short response completely. It returns a long one as a stream that holds the slot until it is
// closed.
func (r *Router) readResponse(ctx context.Context, s *slot, c *call, response *http.Response) attemptResult {
	result := Answered{Status: response.StatusCode, Header: responseHeader(response.Header), ContentLength: response.ContentLength}
	prefix, complete, err := readResponsePrefix(response.Body, response.ContentLength)
	if err != nil {
		_ = response.Body.Close()
		return r.failAttempt(ctx, s, err)
	}
	serverError := response.StatusCode >= http.StatusInternalServerError
	if complete {
		_ = response.Body.Close()
		r.finishResponse(s, c, serverError)
		result.Body = io.NopCloser(bytes.NewReader(prefix))
		if c.Method != http.MethodHead {
			result.ContentLength = int64(len(prefix))
		}
		return responseReceived{result, serverError}
	}
	remainder := io.LimitReader(response.Body, r.cfg.MaxResponseBytes-int64(len(prefix))+1)
	result.Body = &responseStream{
		router: r, slot: s, call: c, serverError: serverError,
		body: io.MultiReader(bytes.NewReader(prefix), remainder), remaining: r.cfg.MaxResponseBytes, closer: response.Body,
	}
	return responseReceived{result, serverError}
}

// readResponsePrefix reads up to responseBufferBytes of a body. The second result reports whether the body ended.
func readResponsePrefix(body io.Reader, contentLength int64) ([]byte, bool, error) {
	if contentLength > responseBufferBytes {
		contentLength = responseBufferBytes
	}
	size := responseBufferBytes
	if contentLength >= 0 {
		size = int(contentLength) + bytes.MinRead
	}
	buffer := bytes.NewBuffer(make([]byte, 0, min(size, 4<<10)))
	n, err := buffer.ReadFrom(io.LimitReader(body, responseBufferBytes))
	if err != nil {
		return nil, false, err
	}
	return buffer.Bytes(), n < responseBufferBytes, nil
}

// finishResponse releases a slot after a complete response.
func (r *Router) finishResponse(s *slot, c *call, serverError bool) {
	if serverError {
		r.release(s, slotFailed)
		return
	}
	r.mu.Lock()
	r.serviceTimes[c.route.Name].observe(time.Since(s.startedAt))
	r.mu.Unlock()
	r.release(s, slotAnswered)
}

// responseHeader returns the headers of a response that are forwarded to the caller.
func responseHeader(h http.Header) http.Header {
	forwarded := endToEndHeaders(h)
	for name := range forwarded {
		if strings.HasPrefix(name, server.HeaderPrefix) {
			forwarded.Del(name)
		}
	}
	return forwarded
}

// responseStream is the body of a long response. It holds the slot until it is closed.
type responseStream struct {
	router      *Router
	slot        *slot
	call        *call
	serverError bool
	body        io.Reader
	closer      io.Closer
	// remaining is the number of bytes left until MaxResponseBytes.
	remaining int64
	complete  bool
	failed    bool
	once      sync.Once
}

// Read reads from the response. It fails if the response is truncated, too late or too large.
func (b *responseStream) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.remaining -= int64(n)
	switch {
	case b.remaining < 0:
		b.failed = true
		return 0, errResponseTooLarge
	case errors.Is(err, io.EOF):
		b.complete = true
	case err != nil:
		b.failed = true
	}
	return n, err
}

// Close releases the slot. It closes the connection unless the response was read to its end.
func (b *responseStream) Close() error {
	b.once.Do(b.releaseSlot)
	return b.closer.Close()
}

// releaseSlot releases the slot with the outcome of the response.
func (b *responseStream) releaseSlot() {
	switch {
	case b.complete:
		b.router.finishResponse(b.slot, b.call, b.serverError)
	case b.failed:
		b.slot.conn.Close()
		b.router.release(b.slot, slotFailed)
	default:
		b.slot.conn.Close()
		b.router.release(b.slot, slotUnused)
	}
}

// closeNotifier is a body that calls onClose once when it is closed.
type closeNotifier struct {
	io.ReadCloser
	onClose func()
	once    sync.Once
}

// Close closes the body and calls onClose.
func (n *closeNotifier) Close() error {
	err := n.ReadCloser.Close()
	n.once.Do(n.onClose)
	return err
}
