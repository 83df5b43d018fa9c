package main

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sardineline/sardineline/standin/inmem"
)

// testNetwork is an in-memory network of endpoints. The connections between two endpoints can be blocked by the
// endpoints' names.
type testNetwork struct {
	inmem inmem.Network

	mu           sync.Mutex
	owners       map[string]string
	blockedPairs map[namePair]bool
	conns        map[*conn]bool
	// changed is closed and replaced when blockedPairs changes.
	changed chan struct{}
}

// namePair is a pair of endpoint names. An empty name stands for any endpoint.
type namePair struct{ a, b string }

// matches reports whether the first name of the pair matches a and the second matches b.
func (p namePair) matches(a, b string) bool {
	return (p.a == "" || p.a == a) && (p.b == "" || p.b == b)
}

// newTestNetwork returns a network without endpoints and with no blocked connections.
func newTestNetwork() *testNetwork {
	return &testNetwork{owners: map[string]string{}, blockedPairs: map[namePair]bool{}, conns: map[*conn]bool{}, changed: make(chan struct{})}
}

// setOwner records the name of the endpoint that listens at an address.
func (n *testNetwork) setOwner(address, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owners[address] = name
}

// setBlocked blocks or unblocks the connections between the endpoints of a pair.
func (n *testNetwork) setBlocked(p namePair, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.blockedPairs, p)
	if blocked {
		n.blockedPairs[p] = true
	}
	n.notifyChanged()
}

// unblockAll unblocks all connections.
func (n *testNetwork) unblockAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blockedPairs)
	n.notifyChanged()
}

// notifyChanged wakes the calls that wait for a change of blockedPairs. The caller must hold the lock.
func (n *testNetwork) notifyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// isBlocked reports whether the connections between the endpoints a and b are blocked, and returns a channel that is
// closed when that may have changed.
func (n *testNetwork) isBlocked(a, b string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.blockedPairs {
		if p.matches(a, b) || p.matches(b, a) {
			return true, n.changed
		}
	}
	return false, n.changed
}

// endpoint is the access of one process to a testNetwork.
type endpoint struct {
	network *testNetwork
	name    string

	mu        sync.Mutex
	dead      bool
	killed    chan struct{}
	listeners []net.Listener
}

// endpoint returns a new endpoint with a name.
func (n *testNetwork) endpoint(name string) *endpoint {
	return &endpoint{network: n, name: name, killed: make(chan struct{})}
}

// Listen opens a listener at an address. It fails after kill.
func (e *endpoint) Listen(address string) (net.Listener, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return nil, net.ErrClosed
	}
	l, err := e.network.inmem.Listen(address)
	if err != nil {
		return nil, err
	}
	e.network.setOwner(address, e.name)
	e.listeners = append(e.listeners, l)
	return l, nil
}

// DialContext opens a connection. It waits while connections between the two endpoints are blocked.
func (e *endpoint) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	e.network.mu.Lock()
	to := e.network.owners[address]
	e.network.mu.Unlock()
	for {
		blocked, changed := e.network.isBlocked(e.name, to)
		if !blocked {
			break
		}
		select {
		case <-changed:
		case <-e.killed:
			return nil, deadProcessError(address)
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
	}
	inner, err := e.network.inmem.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, network: e.network, from: e.name, to: to, closed: make(chan struct{}), deadlineChanged: make(chan struct{})}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		_ = inner.Close()
		return nil, deadProcessError(address)
	}
	e.network.mu.Lock()
	e.network.conns[c] = true
	e.network.mu.Unlock()
	return c, nil
}

// deadProcessError returns the error for opening a connection to an address after kill.
func deadProcessError(address string) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: &net.AddrError{Err: "process is dead", Addr: address}}
}

// kill closes all listeners and connections of the endpoint, as the end of its process does. Opening new ones then
// fails.
func (e *endpoint) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return
	}
	e.dead = true
	close(e.killed)
	for _, l := range e.listeners {
		_ = l.Close()
	}
	for _, c := range e.network.connsOf(e.name) {
		_ = c.Close()
	}
}

// isDead reports whether kill was called.
func (e *endpoint) isDead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

// connsOf returns the open connections from and to the endpoint with a name.
func (n *testNetwork) connsOf(name string) []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*conn
	for c := range n.conns {
		if c.from == name || c.to == name {
			out = append(out, c)
		}
	}
	return out
}

// conn is the end of a connection at the endpoint that opened it. Reads and writes wait while the connection is
// blocked.
type conn struct {
	net.Conn
	network  *testNetwork
	from, to string
	closed   chan struct{}
	once     sync.Once

	mu                          sync.Mutex
	readDeadline, writeDeadline time.Time
	// deadlineChanged is closed and replaced when a read or write deadline changes.
	deadlineChanged chan struct{}
}

// Read reads data and returns it once the connection is not blocked.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if os.IsTimeout(err) {
		return n, err
	}
	if waitErr := c.waitUnblocked(func() time.Time { return c.readDeadline }); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write writes data once the connection is not blocked.
func (c *conn) Write(p []byte) (int, error) {
	if waitErr := c.waitUnblocked(func() time.Time { return c.writeDeadline }); waitErr != nil {
		return 0, waitErr
	}
	return c.Conn.Write(p)
}

// waitUnblocked waits until the connection is not blocked. It fails at the deadline and when the connection is closed.
func (c *conn) waitUnblocked(deadline func() time.Time) error {
	for {
		blocked, changed := c.network.isBlocked(c.from, c.to)
		if !blocked {
			return nil
		}
		c.mu.Lock()
		expiry, deadlineChanged := deadline(), c.deadlineChanged
		c.mu.Unlock()
		var timeout <-chan time.Time
		if !expiry.IsZero() {
			if !time.Now().Before(expiry) {
				return os.ErrDeadlineExceeded
			}
			timeout = time.After(time.Until(expiry))
		}
		select {
		case <-changed:
		case <-deadlineChanged:
		case <-timeout:
			return os.ErrDeadlineExceeded
		case <-c.closed:
			return net.ErrClosed
		}
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		delete(c.network.conns, c)
	})
	return c.Conn.Close()
}

// SetDeadline sets the read and the write deadline. It also affects calls that are already waiting.
func (c *conn) SetDeadline(t time.Time) error {
	c.updateDeadline(func() { c.readDeadline, c.writeDeadline = t, t })
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline sets the read deadline. It also affects calls that are already waiting.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.updateDeadline(func() { c.readDeadline = t })
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the write deadline. It also affects calls that are already waiting.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.updateDeadline(func() { c.writeDeadline = t })
	return c.Conn.SetWriteDeadline(t)
}

// updateDeadline calls set, which changes deadlines, and wakes the calls that are waiting.
func (c *conn) updateDeadline(set func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set()
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
}
