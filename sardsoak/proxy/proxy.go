// Package proxy forwards TCP connections over loopback and injects faults into them. A Link accepts connections from
// clients and forwards each to one target address.
package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
)

// Limits of the forwarding.
const (
	// bufferSize is the size, in bytes, of the buffer for the data of one direction of a connection.
	bufferSize = 16 << 10
	// dialTimeout limits the time to connect to the target.
	dialTimeout = time.Second
)

// Faults are the faults of a Link. The zero value forwards all data without delay.
type Faults struct {
	// Delay is the time by which data is delayed in each direction.
	Delay time.Duration
	// Refuse makes the link reset new connections instead of forwarding them.
	Refuse bool
	// HoldUpstream holds back the data from clients to the target, and HoldDownstream the data from the target to
	// clients, until the fault ends.
	HoldUpstream, HoldDownstream bool
}

// Link accepts connections on an address of its own and forwards them to a target address.
type Link struct {
	listener net.Listener
	target   string
	group    *errgroup.Group
	ctx      context.Context

	mu     sync.Mutex
	faults Faults
	// changed is closed and replaced when SetFaults is called.
	changed chan struct{}
	// pairs holds the open connections of clients, each with its connection to the target.
	pairs map[*connPair]bool
}

// connPair is a client's connection and the connection to the target to which its data is forwarded.
type connPair struct {
	client, target *net.TCPConn
	// blackholed means that data is never again delivered in either direction, although the connections stay open.
	blackholed bool
}

// New opens a link to a target address. The link runs in group until ctx ends.
func New(ctx context.Context, group *errgroup.Group, target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "open link", target)
	}
	l := &Link{
		listener: listener, target: target, group: group, ctx: ctx,
		changed: make(chan struct{}), pairs: map[*connPair]bool{},
	}
	group.Go(l.acceptConns)
	group.Go(func() error {
		<-ctx.Done()
		_ = listener.Close()
		l.ResetConns()
		return nil
	})
	return l, nil
}

// Address returns the address to which clients connect.
func (l *Link) Address() string {
	return l.listener.Addr().String()
}

// SetFaults replaces the faults of the link, also for connections that are open already.
func (l *Link) SetFaults(faults Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
	close(l.changed)
	l.changed = make(chan struct{})
}

// ResetConns resets all open connections of the link.
func (l *Link) ResetConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.reset()
	}
}

// BlackholeConns stops the delivery of data on all open connections for good, but leaves them open. New connections are
// not affected.
func (l *Link) BlackholeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.blackholed = true
	}
}

// reset closes both connections so that the peers see a reset. Errors are ignored: they mean that a connection is
// closed already.
func (p *connPair) reset() {
	for _, c := range []*net.TCPConn{p.client, p.target} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// acceptConns accepts connections from clients until the listener is closed.
func (l *Link) acceptConns() error {
	for {
		conn, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fault.Wrap(err, fault.Internal, "accept", l.target)
		}
		client, ok := conn.(*net.TCPConn)
		if !ok {
			return fault.New(fault.Internal, "accept", l.target, "%T is not a TCP connection", conn)
		}
		l.group.Go(func() error {
			l.handleConn(client)
			return nil
		})
	}
}

// handleConn forwards one client's connection until it ends.
func (l *Link) handleConn(client *net.TCPConn) {
	if faults, _ := l.currentFaults(); faults.Refuse {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	conn, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		// The target is down: clients see a reset.
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	p := &connPair{client: client, target: conn.(*net.TCPConn)}
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pairs, p)
		l.mu.Unlock()
		_, _ = client.Close(), conn.Close()
	}()
	var group errgroup.Group
	group.Go(func() error {
		l.forward(p, p.client, p.target, func(f Faults) bool { return f.HoldUpstream })
		return nil
	})
	group.Go(func() error {
		l.forward(p, p.target, p.client, func(f Faults) bool { return f.HoldDownstream })
		return nil
	})
	_ = group.Wait()
}

// forward copies the data of one direction of a pair until its end, and then closes that direction of the receiving
// connection. isHeld reports whether the faults hold back this direction.
func (l *Link) forward(p *connPair, from, to *net.TCPConn, isHeld func(Faults) bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.waitForDelivery(p, isHeld)
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				p.reset()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			l.waitForDelivery(p, isHeld)
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			p.reset()
			return
		}
	}
}

// waitForDelivery blocks while the data of one direction is held back or the pair is blackholed, and then for the
// delay.
func (l *Link) waitForDelivery(p *connPair, isHeld func(Faults) bool) {
	for {
		faults, changed := l.currentFaults()
		l.mu.Lock()
		blackholed := p.blackholed
		l.mu.Unlock()
		if !blackholed && !isHeld(faults) {
			clock.Sleep(l.ctx, faults.Delay)
			return
		}
		select {
		case <-changed:
		case <-l.ctx.Done():
			return
		}
	}
}

// currentFaults returns the faults of the link and a channel that is closed when they change.
func (l *Link) currentFaults() (Faults, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults, l.changed
}
