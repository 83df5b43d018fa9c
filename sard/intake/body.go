package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// defaultBodyTime is how long a body may take whose handler sets no time limit.
const defaultBodyTime = 30 * time.Second

// Body is the body of a request on a guarded connection. Its reading has a time limit, and may be given up for the sake of
// others.
type Body struct {
	source  io.ReadCloser
	request *http.Request
	guard   *Guard
	conn    *conn
	// exchange is the exchange that the body belongs to.
	exchange *exchange
	// begun is set by the first reading, and timed once the connection has a read deadline.
	begun, timed bool
	// account is the account that the body counts for. It does not change any more once the body holds memory.
	account ident.Account
	// startedAt is when the body was first read.
	startedAt time.Time

	// mu orders the end of the body and that of its handler, as some handlers leave a reader behind.
	mu sync.Mutex
	// complete is set once the body was read whole, and done once its handler has ended.
	complete, done bool

	// The other fields are guarded by the lock of the budget.

	held int64
	// interrupt ends what the body is waiting for; nil while it can't be given up, and place is its index in budget.open.
	interrupt func()
	place     int
	givenUp   bool
}

// errBodyAfterHandler means that a body was read after its handler had ended.
var errBodyAfterHandler = errors.New("the handler of the request has ended")

// SetBodyDeadline sets until when the body of a request may be read. Without a guarded connection it does nothing.
func SetBodyDeadline(r *http.Request, at time.Time) {
	if b, ok := r.Body.(*Body); ok && !b.isComplete() {
		b.setDeadline(at)
	}
}

// setDeadline sets the read deadline of the connection.
func (b *Body) setDeadline(at time.Time) {
	b.timed = true
	_ = b.conn.SetReadDeadline(at)
}

// Read reads a part of the body.
func (b *Body) Read(p []byte) (int, error) {
	if !b.begin() {
		return 0, errBodyAfterHandler
	}
	n, err := b.source.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		if refused := b.finish(); refused != nil {
			return 0, refused
		}
	default:
		err = b.translate(err)
	}
	return n, err
}

// Close closes the body.
func (b *Body) Close() error {
	return b.source.Close()
}

// isComplete reports whether the body was read whole.
func (b *Body) isComplete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete
}

// begin prepares a reading. It returns false if the handler has ended.
func (b *Body) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done || b.begun {
		return !b.done
	}
	b.begun, b.startedAt = true, time.Now()
	b.guard.conns.move(b.conn, ReceivingBody, b.exchange)
	if !b.timed {
		b.setDeadline(b.startedAt.Add(defaultBodyTime))
	}
	b.guard.bodies.enter(b, func() { _ = b.conn.SetReadDeadline(longAgo) })
	return true
}

// longAgo is a read deadline that ends a reading at once.
var longAgo = time.Unix(1, 0)

// finish records that the body was read whole. It fails if the body was given up meanwhile.
func (b *Body) finish() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.complete || b.done {
		return nil
	}
	b.complete = true
	kept := b.guard.bodies.leave(b)
	_ = b.conn.SetReadDeadline(time.Time{})
	b.request.Trailer = nil
	b.guard.conns.move(b.conn, Serving, b.exchange)
	if !kept {
		return ErrGivenUp
	}
	return nil
}

// end releases what the body holds when its handler has ended. If the body has not arrived whole, the connection lingers.
func (b *Body) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.done = true
	if b.complete {
		b.guard.conns.end(b.conn, Serving)
	} else {
		b.guard.bodies.leave(b)
		b.conn.linger()
	}
	b.release()
}

// skip discards a small body that is not needed. It returns false if the body does not arrive soon.
func (b *Body) skip() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.begun || b.request.ContentLength < 0 || b.request.ContentLength > smallBody {
		return false
	}
	b.begun = true
	b.setDeadline(time.Now().Add(smallBodyWait))
	_, err := io.Copy(io.Discard, b.source)
	b.complete = err == nil
	if b.complete {
		_ = b.conn.SetReadDeadline(time.Time{})
	}
	return b.complete
}

// release refunds all that the body holds.
func (b *Body) release() {
	b.guard.bodies.mu.Lock()
	defer b.guard.bodies.mu.Unlock()
	b.guard.bodies.count(b, -b.held)
}

// translate returns the error for a client whose body can't be read.
func (b *Body) translate(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if !b.guard.bodies.leave(b) {
		return ErrGivenUp
	}
	b.guard.note(BodyTooLate)
	return ErrBodyLate
}

// Offer returns a context that ends when the body is given up, for a request that waits. The returned function ends the offer.
// A nil Body is never given up.
func (b *Body) Offer(ctx context.Context) (context.Context, func()) {
	if b == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	withdraw := b.guard.bodies.offer(b, cancel)
	return ctx, func() {
		withdraw()
		cancel()
	}
}

// GivenUp reports whether the body was given up for want of memory.
func (b *Body) GivenUp() bool {
	if b == nil {
		return false
	}
	b.guard.bodies.mu.Lock()
	defer b.guard.bodies.mu.Unlock()
	return b.givenUp
}

// burden says how much a body burdens others: what it holds, and for how long.
func (b *Body) burden(now time.Time) float64 {
	return float64(b.held+1) * now.Sub(b.startedAt).Seconds()
}
