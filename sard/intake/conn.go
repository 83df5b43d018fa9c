package intake

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// writeTimeout is how long a client may take to read a piece of a response.
	writeTimeout = 10 * time.Second
	// lingerTime is how long what is left of a body is discarded after an early response.
	lingerTime = time.Second
	// pieceBytes is the number of bytes of a response that writeTimeout applies to.
	pieceBytes = 64 << 10
)

// conn is a connection of a client.
type conn struct {
	net.Conn
	guard *Guard
	// inPhase is the phase, for reading without the lock.
	inPhase atomic.Int32
	// retired is set once the connection is to be closed after its next response.
	retired atomic.Bool
	// header counts the lines of the header that is being received.
	header lineCounter
	// reading and writing are the deadlines.
	reading, writing deadline

	// The other fields are guarded by the lock of the connTable.

	phase Phase
	// since is when the connection entered its phase, and openedAt when it was admitted.
	since, openedAt time.Time
	previous, next  *conn
	// gone is set once the connection has left the table.
	gone bool
	// exchange is the request with a body that is being handled; nil if there is none.
	exchange *exchange
}

// newConn returns the conn for an accepted connection.
func newConn(accepted net.Conn, g *Guard) *conn {
	return &conn{
		Conn: accepted, guard: g,
		reading: deadline{apply: accepted.SetReadDeadline}, writing: deadline{apply: accepted.SetWriteDeadline},
	}
}

// Read reads from the connection. It notices the first bytes of a request, and fails if its header has too many lines.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.encrypted() && c.reading.extend() {
		n, err = c.Conn.Read(p)
	}
	switch Phase(c.inPhase.Load()) {
	case AwaitingRequest, Idle:
		if n == 0 {
			break
		}
		c.header = lineCounter{}
		c.guard.conns.move(c, ReceivingHeader, nil)
		fallthrough
	case ReceivingHeader:
		if c.header.count(p[:n]) > maxHeaderLines {
			c.guard.note(TooManyHeaderFields)
			return 0, errTooManyLines
		}
	}
	return n, err
}

// SetDeadline sets the deadlines for reading and writing.
func (c *conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// SetReadDeadline sets the deadline for reading.
func (c *conn) SetReadDeadline(at time.Time) error {
	if c.encrypted() {
		return c.Conn.SetReadDeadline(at)
	}
	return c.reading.change(at)
}

// SetWriteDeadline sets the deadline for writing.
func (c *conn) SetWriteDeadline(at time.Time) error {
	if c.encrypted() {
		return c.Conn.SetWriteDeadline(at)
	}
	return c.writing.change(at)
}

// encrypted reports whether the connection uses TLS. Its operations can't go on after a deadline has passed.
func (c *conn) encrypted() bool {
	_, ok := c.Conn.(*tls.Conn)
	return ok
}

// errTooManyLines means that the header of a request has more than maxHeaderLines.
var errTooManyLines = errors.New("too many header lines")

// Write writes a part of a response. It fails if the client does not read it in time. The connection is in the phase Responding
// only meanwhile, so that a response that the process still waits for is not cut off.
func (c *conn) Write(p []byte) (int, error) {
	former := Phase(c.inPhase.Load())
	c.guard.conns.move(c, Responding, nil)
	defer c.guard.conns.move(c, former, nil)
	written := 0
	for {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := c.writePiece(p[written:min(written+pieceBytes, len(p))])
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.guard.note(ResponseNotRead)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// writePiece writes a piece of a response until its deadline.
func (c *conn) writePiece(p []byte) (int, error) {
	written := 0
	for {
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || c.encrypted() || !c.writing.extend() {
			return written, err
		}
	}
}

// linger lets the server discard what is left of a body for lingerTime, after a response that was sent before the request had
// arrived whole. Closing the connection at once could keep the client from reading the response.
func (c *conn) linger() {
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	c.guard.conns.end(c, Lingering)
}

// CloseWrite closes the writing side, if the connection can do that.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *conn) Close() error {
	c.guard.conns.remove(c)
	return c.Conn.Close()
}

// abort closes the connection at once, without waiting for the client.
func (c *conn) abort() {
	if encrypted, ok := c.Conn.(*tls.Conn); ok {
		_ = encrypted.NetConn().Close()
		return
	}
	_ = c.Conn.Close()
}
