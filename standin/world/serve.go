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

// endpoint is a handler at an address.
type endpoint struct {
	address string
	handler http.Handler
	// place is the machine that serves the endpoint: while it is dead, connections are refused. Nil for the platform.
	place *faults.Component
	// wrap, when set, holds the listener to a limit.
	wrap func(net.Listener) net.Listener
}

// ListenFunc opens a listener at an address.
type ListenFunc func(address string) (net.Listener, error)

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

// ListenTCP opens a TCP listener.
func ListenTCP(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// Serve listens at all addresses, calls ready, and serves until ctx ends. A call that a fault holds may outlast it.
func (w *Platform) Serve(ctx context.Context, listen ListenFunc, ready func()) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, e := range w.endpoints {
		l, err := listen(e.address)
		if err != nil {
			return fault.Wrap(err, fault.Invalid, "listen", e.address)
		}
		group.Go(func() error { return w.host(ctx, e, l, listen) })
	}
	if ready != nil {
		ready()
	}
	return group.Wait()
}

// host serves an endpoint, and closes it while its machine is dead.
func (w *Platform) host(ctx context.Context, e endpoint, l net.Listener, listen ListenFunc) error {
	for {
		if err := w.serveLife(ctx, e, l); err != nil {
			return err
		}
		if !w.await(ctx, func() bool { return !w.dead(e) }) {
			return nil
		}
		var err error
		if l, err = listen(e.address); err != nil {
			return fault.Wrap(err, fault.Internal, "listen again", e.address)
		}
	}
}

// serveLife serves until the machine dies or ctx ends.
func (w *Platform) serveLife(ctx context.Context, e endpoint, l net.Listener) error {
	if e.wrap != nil {
		l = e.wrap(l)
	}
	s := &http.Server{Handler: e.handler, ReadHeaderTimeout: headerTimeout, ErrorLog: discard}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.Serve(l) })
	group.Go(func() error {
		w.await(ctx, func() bool { return w.dead(e) })
		return s.Close()
	})
	if err := group.Wait(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (w *Platform) dead(e endpoint) bool {
	return e.place != nil && w.Faults.Has(*e.place, faults.Die)
}

// await waits until the faults are such that cond holds. It returns false when ctx ends before.
func (w *Platform) await(ctx context.Context, cond func() bool) bool {
	for {
		changed := w.Faults.Changed()
		if ctx.Err() != nil {
			return false
		}
		if cond() {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// discard drops the log lines of net/http on connections that were cut on purpose.
var discard = hclog.NewNullLogger().StandardLogger(nil)
