package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// DialFunc opens a network connection to the address of a backend server.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// errAlreadyDialed is returned when the transport of a Conn tries to dial a second time.
var errAlreadyDialed = errors.New("connection is closed and cannot be dialed again")

// maxResponseHeaderBytes limits the total size of the headers of a response.
const maxResponseHeaderBytes = 64 << 10

// Conn is a single connection to a backend server. It carries one request at a time.
//
// It wraps an http.Transport that can dial only once. This prevents the automatic retries of the transport from
// sending a request a second time on a new connection.
type Conn struct {
	tracked   *trackedConn
	transport *http.Transport
}

// Dial opens a connection to the address with the given dial function.
func Dial(ctx context.Context, dial DialFunc, address string) (*Conn, error) {
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &Conn{tracked: &trackedConn{Conn: raw}}
	var once sync.Once
	c.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			var first net.Conn
			once.Do(func() { first = c.tracked })
			if first == nil {
				return nil, errAlreadyDialed
			}
			return first, nil
		},
	}
	return c, nil
}

// Do sends a request and returns the response. The caller must read the body to its end or close it. After an error
// the connection is closed, and MayHaveSent reports whether any byte of the request may have been sent.
func (c *Conn) Do(r *http.Request) (*http.Response, error) {
	c.tracked.startRequest()
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		c.Close()
		return nil, err
	}
	return response, nil
}

// MayHaveSent reports whether any byte of the last request may have been sent. The result is final once the
// connection is closed.
func (c *Conn) MayHaveSent() bool {
	return c.tracked.mayHaveSent()
}

// Close closes the connection. No write starts after it returns. A write already in progress counts as sent.
func (c *Conn) Close() {
	_ = c.tracked.Close()
	c.transport.CloseIdleConnections()
}

// Closed reports whether either end has closed the connection. http.Transport closes it when a read returns EOF or an
// error.
func (c *Conn) Closed() bool {
	return c.tracked.isClosed()
}

// trackedConn is a net.Conn that records whether bytes of the current request were written.
type trackedConn struct {
	net.Conn

	mu sync.Mutex
	// written counts the bytes written since startRequest.
	written int
	// writing is set while a write is in progress.
	writing bool
	closed  bool
}

// startRequest resets the count of bytes written, so that it covers only the request that follows.
func (t *trackedConn) startRequest() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.written = 0
}

// Write counts the bytes written. It returns net.ErrClosed once the connection is closed.
func (t *trackedConn) Write(p []byte) (int, error) {
	if !t.startWrite() {
		return 0, net.ErrClosed
	}
	n, err := t.Conn.Write(p)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writing = false
	t.written += n
	return n, err
}

// startWrite marks a write as in progress. It returns false when the connection is closed.
func (t *trackedConn) startWrite() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.writing = true
	return true
}

// Close closes the underlying connection once. Later calls do nothing.
func (t *trackedConn) Close() error {
	t.mu.Lock()
	closed := t.closed
	t.closed = true
	t.mu.Unlock()
	if closed {
		return nil
	}
	return t.Conn.Close()
}

// mayHaveSent reports whether a write is in progress or has written bytes.
func (t *trackedConn) mayHaveSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.writing || t.written > 0
}

// isClosed reports whether Close was called.
func (t *trackedConn) isClosed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}
