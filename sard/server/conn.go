package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// DialFunc opens a connection to a backend server's address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// errSpent is the error of a second dial of a Conn.
var errSpent = errors.New("the connection is no longer open")

// maxHeaderBytes bounds the header of an answer.
const maxHeaderBytes = 64 << 10

// Conn is one connection to a backend server. It carries one request at a time.
//
// It is a net/http transport that can dial only once, so that no request can be sent a second time on another
// connection by the transport's own retries.
type Conn struct {
	wire      *wire
	transport *http.Transport
}

// Dial opens a connection.
func Dial(ctx context.Context, dial DialFunc, address string) (*Conn, error) {
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &Conn{wire: &wire{Conn: raw}}
	var once sync.Once
	c.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			var first net.Conn
			once.Do(func() { first = c.wire })
			if first == nil {
				return nil, errSpent
			}
			return first, nil
		},
	}
	return c, nil
}

// Do sends a request and returns the answer, whose body the caller reads to the end or closes. After an error
// the connection is closed, and Sent tells whether any byte of the request left.
func (c *Conn) Do(r *http.Request) (*http.Response, error) {
	c.wire.begin()
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		c.Close()
		return nil, err
	}
	return response, nil
}

// MayHaveSent tells whether any byte of the last request may have left. It is final once the connection is closed.
func (c *Conn) MayHaveSent() bool {
	return c.wire.sent()
}

// Close closes the connection. No byte is written after it returns, but for a write already under way, which
// counts as sent.
func (c *Conn) Close() {
	_ = c.wire.Close()
	c.transport.CloseIdleConnections()
}

// Closed tells whether either end has closed the connection.
func (c *Conn) Closed() bool {
	return c.wire.isClosed()
}

// wire is a net.Conn that knows whether bytes of the current request have left.
type wire struct {
	net.Conn

	mu      sync.Mutex
	written int
	writing bool
	closed  bool
}

func (w *wire) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written = 0
}

// Write counts the bytes that left, and refuses once the connection is closed.
func (w *wire) Write(p []byte) (int, error) {
	if !w.enter() {
		return 0, net.ErrClosed
	}
	n, err := w.Conn.Write(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
	w.written += n
	return n, err
}

func (w *wire) enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	w.writing = true
	return true
}

// Close closes the connection.
func (w *wire) Close() error {
	w.mu.Lock()
	closed := w.closed
	w.closed = true
	w.mu.Unlock()
	if closed {
		return nil
	}
	return w.Conn.Close()
}

func (w *wire) sent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writing || w.written > 0
}

func (w *wire) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}
