package main

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sardineline/sardineline/standin/inmem"
)

// links is a network in memory whose connections can be held and cut by the names of their ends.
type links struct {
	inmem inmem.Network

	mu     sync.Mutex
	owners map[string]string
	held   map[pair]bool
	conns  map[*conn]bool
	// changed is closed at each change of what is held.
	changed chan struct{}
}

// pair is two names between which nothing passes; an empty name stands for all.
type pair struct{ a, b string }

func (p pair) joins(a, b string) bool {
	return (p.a == "" || p.a == a) && (p.b == "" || p.b == b)
}

func newLinks() *links {
	return &links{owners: map[string]string{}, held: map[pair]bool{}, conns: map[*conn]bool{}, changed: make(chan struct{})}
}

// own names the end that listens at an address.
func (l *links) own(address, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owners[address] = name
}

// hold holds all that passes between the names of a pair, or lets it go.
func (l *links) hold(p pair, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.held, p)
	if on {
		l.held[p] = true
	}
	l.notify()
}

// release lets all go.
func (l *links) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.held)
	l.notify()
}

// notify wakes all that wait. The caller holds the lock.
func (l *links) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// blocked tells whether the ends are held apart, and returns a channel that is closed when that may have changed.
func (l *links) blocked(a, b string) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.held {
		if p.joins(a, b) || p.joins(b, a) {
			return true, l.changed
		}
	}
	return false, l.changed
}

// endpoint is the network of one process.
type endpoint struct {
	links *links
	name  string

	mu        sync.Mutex
	dead      bool
	died      chan struct{}
	listeners []net.Listener
}

func (l *links) endpoint(name string) *endpoint {
	return &endpoint{links: l, name: name, died: make(chan struct{})}
}

// Listen opens a listener. It fails when the process is dead.
func (e *endpoint) Listen(address string) (net.Listener, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return nil, net.ErrClosed
	}
	l, err := e.links.inmem.Listen(address)
	if err != nil {
		return nil, err
	}
	e.links.own(address, e.name)
	e.listeners = append(e.listeners, l)
	return l, nil
}

// DialContext opens a connection. It waits while the ends are held apart.
func (e *endpoint) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	e.links.mu.Lock()
	to := e.links.owners[address]
	e.links.mu.Unlock()
	for {
		blocked, changed := e.links.blocked(e.name, to)
		if !blocked {
			break
		}
		select {
		case <-changed:
		case <-e.died:
			return nil, refused(address)
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
	}
	inner, err := e.links.inmem.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, links: e.links, from: e.name, to: to, closed: make(chan struct{}), retimed: make(chan struct{})}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		_ = inner.Close()
		return nil, refused(address)
	}
	e.links.mu.Lock()
	e.links.conns[c] = true
	e.links.mu.Unlock()
	return c, nil
}

func refused(address string) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: &net.AddrError{Err: "process is dead", Addr: address}}
}

// kill cuts off all that the process has open, and all that it opens later.
func (e *endpoint) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return
	}
	e.dead = true
	close(e.died)
	for _, l := range e.listeners {
		_ = l.Close()
	}
	for _, c := range e.links.of(e.name) {
		_ = c.Close()
	}
}

func (e *endpoint) isDead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

// of returns the connections from and to a name.
func (l *links) of(name string) []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*conn
	for c := range l.conns {
		if c.from == name || c.to == name {
			out = append(out, c)
		}
	}
	return out
}

// conn is the dialled end of a connection. What passes waits while its ends are held apart.
type conn struct {
	net.Conn
	links    *links
	from, to string
	closed   chan struct{}
	once     sync.Once

	mu          sync.Mutex
	read, write time.Time
	// retimed is closed when a deadline changes.
	retimed chan struct{}
}

// Read hands on what came once the ends are not held apart.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if os.IsTimeout(err) {
		return n, err
	}
	if held := c.wait(func() time.Time { return c.read }); held != nil {
		return 0, held
	}
	return n, err
}

// Write sends once the ends are not held apart.
func (c *conn) Write(p []byte) (int, error) {
	if held := c.wait(func() time.Time { return c.write }); held != nil {
		return 0, held
	}
	return c.Conn.Write(p)
}

func (c *conn) wait(deadline func() time.Time) error {
	for {
		blocked, changed := c.links.blocked(c.from, c.to)
		if !blocked {
			return nil
		}
		c.mu.Lock()
		at, retimed := deadline(), c.retimed
		c.mu.Unlock()
		var late <-chan time.Time
		if !at.IsZero() {
			late = time.After(time.Until(at))
		}
		select {
		case <-changed:
		case <-retimed:
		case <-late:
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
		c.links.mu.Lock()
		defer c.links.mu.Unlock()
		delete(c.links.conns, c)
	})
	return c.Conn.Close()
}

func (c *conn) SetDeadline(t time.Time) error {
	c.retime(func() { c.read, c.write = t, t })
	return c.Conn.SetDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.retime(func() { c.read = t })
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.retime(func() { c.write = t })
	return c.Conn.SetWriteDeadline(t)
}

func (c *conn) retime(set func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set()
	close(c.retimed)
	c.retimed = make(chan struct{})
}
