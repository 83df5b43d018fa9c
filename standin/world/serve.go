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

// endpoint is an HTTP handler of the stand-in and the address that it is served at.
type endpoint struct {
	address string
	handler http.Handler
	// component identifies the worker or backend server of the endpoint; nil for a platform service. Connections are
	// refused while a Die fault is active for it.
	component *faults.Component
	// wrapListener, if not nil, adds a limit on the number of connections to the listener.
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

// Serve listens at the addresses of all endpoints, calls ready if it is not nil, and serves until ctx is cancelled.
// Calls delayed by a fault may still be running when it returns.
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

// serveEndpoint serves an endpoint until ctx is cancelled. The listener is closed while a Die fault is active for its
// machine, and opened again with listen afterwards.
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

// serveUntilDeath serves until a Die fault becomes active for the machine of the endpoint, or ctx is cancelled.
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

// isDead reports whether a Die fault is active for the machine of the endpoint.
func (p *Platform) isDead(e endpoint) bool {
	return e.component != nil && p.Faults.Has(*e.component, faults.Die)
}

// waitForFaults waits until condition holds, which it evaluates after each change of the active faults. It returns
// false if ctx is cancelled first.
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
