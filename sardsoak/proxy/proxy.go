// Package proxy carries TCP connections over loopback and disturbs them.
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

const (
	// bufferSize is how many bytes are carried at once.
	bufferSize = 16 << 10
	// dialTimeout bounds the opening of a connection to the target.
	dialTimeout = time.Second
)

// Faults is what a link does to its connections. The zero value carries everything at once.
type Faults struct {
	// Delay is added in each direction.
	Delay time.Duration
	// Refuse resets new connections.
	Refuse bool
	// HoldUpstream and HoldDownstream keep back what goes to the target and what comes from it.
	HoldUpstream, HoldDownstream bool
}

// Link carries connections to a target.
type Link struct {
	listener net.Listener
	target   string
	group    *errgroup.Group
	ctx      context.Context

	mu      sync.Mutex
	trouble Faults
	// changed is closed when trouble changes.
	changed chan struct{}
	// open are the connections on both sides. Those that are mute are kept silent for good.
	open map[*pair]bool
}

// pair is a connection of a client and the one to the target that belongs to it.
type pair struct {
	client, target *net.TCPConn
	// mute tells that nothing is delivered any more.
	mute bool
}

// New opens a link to a target in a group, until ctx ends.
func New(ctx context.Context, group *errgroup.Group, target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "open link", target)
	}
	l := &Link{
		listener: listener, target: target, group: group, ctx: ctx,
		changed: make(chan struct{}), open: map[*pair]bool{},
	}
	group.Go(l.accept)
	group.Go(func() error {
		<-ctx.Done()
		_ = listener.Close()
		l.ResetConns()
		return nil
	})
	return l, nil
}

// Address is where clients connect.
func (l *Link) Address() string {
	return l.listener.Addr().String()
}

// SetFaults changes what the link does.
func (l *Link) SetFaults(t Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trouble = t
	close(l.changed)
	l.changed = make(chan struct{})
}

// ResetConns resets all open connections.
func (l *Link) ResetConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.open {
		p.reset()
	}
}

// BlackholeConns silences the open connections for good; new ones work.
func (l *Link) BlackholeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.open {
		p.mute = true
	}
}

// reset closes both connections so that their peers see a reset. Errors mean that they are closed already.
func (p *pair) reset() {
	for _, c := range []*net.TCPConn{p.client, p.target} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (l *Link) accept() error {
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
			return fault.New(fault.Internal, "accept", l.target, "%T is no TCP connection", conn)
		}
		l.group.Go(func() error {
			l.carry(client)
			return nil
		})
	}
}

// carry serves one connection of a client.
func (l *Link) carry(client *net.TCPConn) {
	if trouble, _ := l.now(); trouble.Refuse {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	conn, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		// The target is down: its clients see a reset.
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	p := &pair{client: client, target: conn.(*net.TCPConn)}
	l.mu.Lock()
	l.open[p] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.open, p)
		l.mu.Unlock()
		_, _ = client.Close(), conn.Close()
	}()
	var group errgroup.Group
	group.Go(func() error {
		l.pump(p, p.client, p.target, func(t Faults) bool { return t.HoldUpstream })
		return nil
	})
	group.Go(func() error {
		l.pump(p, p.target, p.client, func(t Faults) bool { return t.HoldDownstream })
		return nil
	})
	_ = group.Wait()
}

// pump carries one direction until its end, which it passes on.
func (l *Link) pump(p *pair, from, to *net.TCPConn, held func(Faults) bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.wait(p, held)
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				p.reset()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			l.wait(p, held)
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			p.reset()
			return
		}
	}
}

// wait holds data back for as long as the link's trouble says.
func (l *Link) wait(p *pair, held func(Faults) bool) {
	for {
		trouble, changed := l.now()
		l.mu.Lock()
		mute := p.mute
		l.mu.Unlock()
		if !mute && !held(trouble) {
			clock.Sleep(l.ctx, trouble.Delay)
			return
		}
		select {
		case <-changed:
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *Link) now() (Faults, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.trouble, l.changed
}
