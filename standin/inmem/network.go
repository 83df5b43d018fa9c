// Package inmem provides an in-memory network within one process, for tests in virtual time.
package inmem

import (
	"context"
	"net"
	"sync"

	"github.com/sardineline/sardineline/sard/fault"
)

// Network connects clients to listeners in this process by address. The zero value has no listeners and is ready to
// use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// listener is a net.Listener that accepts the connections opened to its address on the Network.
type listener struct {
	network   *Network
	address   string
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// netAddr is the address of a listener, as a net.Addr.
type netAddr string

// Network returns "tcp", the kind of network that is simulated.
func (a netAddr) Network() string { return "tcp" }

// String returns the address as it was given to Listen.
func (a netAddr) String() string { return string(a) }

// Listen opens a listener at an address. It fails if the address is in use.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	if n.listeners[address] != nil {
		return nil, fault.New(fault.Conflict, "listen", address, "address is already in use")
	}
	l := &listener{network: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// DialContext connects to the listener at an address. It fails immediately if there is none.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: netAddr(address), Err: net.ErrClosed}
	}
	clientConn, serverConn := net.Pipe()
	select {
	case l.conns <- serverConn:
		return clientConn, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: netAddr(address), Err: net.ErrClosed}
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

// Close closes the listener and releases its address.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
		close(l.closed)
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return netAddr(l.address) }
