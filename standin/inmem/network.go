// Package inmem is a network of pipes within one process, for tests in virtual time.
package inmem

import (
	"context"
	"net"
	"sync"

	"github.com/sardineline/sardineline/sard/fault"
)

// Network connects dialers with listeners by address. The zero value is empty.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

type listener struct {
	network *Network
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

type address string

func (a address) Network() string { return "tcp" }

func (a address) String() string { return string(a) }

// Listen opens a listener at an address. It fails when the address is taken.
func (n *Network) Listen(at string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	if n.listeners[at] != nil {
		return nil, fault.New(fault.Conflict, "listen", at, "address is taken")
	}
	l := &listener{network: n, address: at, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[at] = l
	return l, nil
}

// DialContext connects to the listener at an address. It fails at once when there is none.
func (n *Network) DialContext(ctx context.Context, _, at string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[at]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: address(at), Err: net.ErrClosed}
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: address(at), Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close frees the address.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
		close(l.closed)
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return address(l.address) }
