package world

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/standin/faults"
)

// endpoint is a handler and the address that it is served at.
type endpoint struct {
	address string
	handler http.Handler
	// component is the machine that serves the endpoint, nil for the platform. Connections are refused while it is dead.
	component *faults.Component
	// wrapListener, if set, adds a connection limit to the listener.
	wrapListener func(net.Listener) net.Listener
}

// ListenFunc opens a listener at an address.
type ListenFunc func(address string) (net.Listener, error)

// readHeaderTimeout is the time limit for reading the headers of a request.
const readHeaderTimeout = 10 * time.Second

// ListenTCP opens a TCP listener.
func ListenTCP(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// Serve listens at all addresses, calls ready if it is not nil, and serves until ctx is cancelled. Calls delayed by a
// fault may still be running when it returns.
func (p *Platform) Serve(ctx context.Context, listen ListenFunc, ready func()) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, e := range p.endpoints {
		l, err := listen(e.address)
		if err != nil {
			return fault.Wrap(err, fault.Invalid, "listen", e.address)
		}
		group.Go(func() error { return p.serveEndpoint(ctx, e, l, listen) })
	}
	if ready != nil {
		ready()
	}
	return group.Wait()
}

// serveEndpoint serves an endpoint until ctx is cancelled. Its listener is closed while its machine is dead.
func (p *Platform) serveEndpoint(ctx context.Context, e endpoint, l net.Listener, listen ListenFunc) error {
	for {
		if err := p.serveUntilDeath(ctx, e, l); err != nil {
			return err
		}
		if !p.waitForFaults(ctx, func() bool { return !p.isDead(e) }) {
			return nil
		}
		var err error
		if l, err = listen(e.address); err != nil {
			return fault.Wrap(err, fault.Internal, "listen again", e.address)
		}
	}
}

// serveUntilDeath serves until the machine dies or ctx is cancelled.
func (p *Platform) serveUntilDeath(ctx context.Context, e endpoint, l net.Listener) error {
	if e.wrapListener != nil {
		l = e.wrapListener(l)
	}
	s := &http.Server{Handler: e.handler, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: discardLogger}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.Serve(l) })
	group.Go(func() error {
		p.waitForFaults(ctx, func() bool { return p.isDead(e) })
		return s.Close()
	})
	if err := group.Wait(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// isDead reports whether the machine of the endpoint is dead.
func (p *Platform) isDead(e endpoint) bool {
	return e.component != nil && p.Faults.Has(*e.component, faults.Die)
}

// waitForFaults waits until condition holds, which it checks after each change of the active faults. It returns false if
// ctx is cancelled first.
func (p *Platform) waitForFaults(ctx context.Context, condition func() bool) bool {
	for {
		changed := p.Faults.Changed()
		if ctx.Err() != nil {
			return false
		}
		if condition() {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// discardLogger drops the log messages of net/http about connections that were closed by a fault.
var discardLogger = hclog.NewNullLogger().StandardLogger(nil)
