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

// answerBuffer is how many bytes of an answer are read before any of it is passed on. An answer that fits is
// passed on only once it is whole.
const answerBuffer = 32 << 10

var errAnswerTooLarge = errors.New("the answer is too large")

// take reads a short answer whole, or returns a long one as a stream that ends the slot when it is closed.
func (r *Router) take(ctx context.Context, s *slot, c *call, response *http.Response) attemptEnd {
	answer := Answered{Status: response.StatusCode, Header: callersHeader(response.Header), ContentLength: response.ContentLength}
	head, whole, err := readHead(response.Body, response.ContentLength)
	if err != nil {
		_ = response.Body.Close()
		return r.failed(ctx, s, err)
	}
	failing := response.StatusCode >= http.StatusInternalServerError
	if whole {
		_ = response.Body.Close()
		r.finish(s, c, failing)
		answer.Body = io.NopCloser(bytes.NewReader(head))
		if c.Method != http.MethodHead {
			answer.ContentLength = int64(len(head))
		}
		return answered{answer, failing}
	}
	rest := io.LimitReader(response.Body, r.cfg.MaxResponseBytes-int64(len(head))+1)
	answer.Body = &stream{
		router: r, slot: s, call: c, failing: failing,
		body: io.MultiReader(bytes.NewReader(head), rest), left: r.cfg.MaxResponseBytes, closer: response.Body,
	}
	return answered{answer, failing}
}

// readHead reads the start of a body. The body is whole when it ended.
func readHead(body io.Reader, length int64) ([]byte, bool, error) {
	if length > answerBuffer {
		length = answerBuffer
	}
	size := answerBuffer
	if length >= 0 {
		size = int(length) + bytes.MinRead
	}
	buffer := bytes.NewBuffer(make([]byte, 0, min(size, 4<<10)))
	n, err := buffer.ReadFrom(io.LimitReader(body, answerBuffer))
	if err != nil {
		return nil, false, err
	}
	return buffer.Bytes(), n < answerBuffer, nil
}

// finish ends a slot after a whole answer.
func (r *Router) finish(s *slot, c *call, failing bool) {
	if failing {
		r.release(s, failedEnd)
		return
	}
	r.mu.Lock()
	r.service[c.route.Name].add(time.Since(s.since))
	r.mu.Unlock()
	r.release(s, answeredEnd)
}

// callersHeader copies the headers of an answer that a caller gets.
func callersHeader(h http.Header) http.Header {
	passed := endToEnd(h)
	for name := range passed {
		if strings.HasPrefix(name, server.HeaderPrefix) {
			passed.Del(name)
		}
	}
	return passed
}

// stream is the body of a long answer. It holds the slot until it is closed.
type stream struct {
	router  *Router
	slot    *slot
	call    *call
	failing bool
	body    io.Reader
	closer  io.Closer
	left    int64
	whole   bool
	broken  bool
	once    sync.Once
}

// Read gives the answer and fails when it is cut short, late or too large.
func (b *stream) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.left -= int64(n)
	switch {
	case b.left < 0:
		b.broken = true
		return 0, errAnswerTooLarge
	case errors.Is(err, io.EOF):
		b.whole = true
	case err != nil:
		b.broken = true
	}
	return n, err
}

// Close ends the slot. The connection is closed unless the answer was read to its end.
func (b *stream) Close() error {
	b.once.Do(b.end)
	return b.closer.Close()
}

func (b *stream) end() {
	switch {
	case b.whole:
		b.router.finish(b.slot, b.call, b.failing)
	case b.broken:
		b.slot.conn.Close()
		b.router.release(b.slot, failedEnd)
	default:
		b.slot.conn.Close()
		b.router.release(b.slot, idleEnd)
	}
}

// finisher calls finish once when it is closed.
type finisher struct {
	io.ReadCloser
	finish func()
	once   sync.Once
}

// Close closes the body.
func (f *finisher) Close() error {
	err := f.ReadCloser.Close()
	f.once.Do(f.finish)
	return err
}
