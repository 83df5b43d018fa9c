// Package world puts the parts of the stand-in together and serves them.
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
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/standin/blobs"
	"github.com/sardineline/sardineline/standin/faults"
	"github.com/sardineline/sardineline/standin/fleets"
	"github.com/sardineline/sardineline/standin/ledger"
	"github.com/sardineline/sardineline/standin/server"
	"github.com/sardineline/sardineline/standin/setup"
	"github.com/sardineline/sardineline/standin/tables"
	"github.com/sardineline/sardineline/standin/worker"
)

// Config makes a world.
type Config struct {
	Environment setup.Environment
	Ports       setup.Ports
	// Log takes a line for each change of a part of a gang; nil for none.
	Log hclog.Logger
	// RecordWrites keeps all writes of the table.
	RecordWrites bool
}

// World is a platform with its workers and backend servers.
type World struct {
	Ports   setup.Ports
	Faults  *faults.Set
	Ledger  *ledger.Ledger
	Table   *tables.Service
	Objects *blobs.Store
	Fleet   *fleets.List
	Workers map[ident.Worker]*worker.Worker
	Servers map[ident.Server]*server.Server

	listeners []endpoint
}

// endpoint is a handler at an address. wrap, when set, holds its listener to a limit.
type endpoint struct {
	address string
	handler http.Handler
	wrap    func(net.Listener) net.Listener
}

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

// New makes a world with the faults of its environment on.
func New(config Config) (*World, error) {
	env := config.Environment
	machines := env.Fleet(config.Ports)
	set := faults.New(env.Seed)
	w := &World{
		Ports:   config.Ports,
		Faults:  set,
		Ledger:  ledger.New(env.NotRepeated),
		Table:   tables.New(tables.Config{Faults: set, Record: config.RecordWrites}),
		Objects: blobs.New(set),
		Fleet: fleets.New(fleets.Config{
			Workers:   machines.Workers,
			Servers:   machines.Servers,
			Instances: machines.Instances,
			Lag:       env.Lag.Std(),
			Faults:    set,
		}),
		Workers: map[ident.Worker]*worker.Worker{},
		Servers: map[ident.Server]*server.Server{},
	}
	w.serve(config.Ports.Table(), w.Table)
	w.serve(config.Ports.Object(), w.Objects)
	w.serve(config.Ports.Fleet(), w.Fleet)
	w.serve(config.Ports.Control(), w.control())
	w.addMachines(config)
	for _, f := range env.Faults {
		if err := set.Switch(f); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *World) addMachines(config Config) {
	machines := w.Fleet.Truth()
	for _, m := range machines.Workers {
		made := worker.New(worker.Config{
			Name:           m.Name,
			Rack:           m.Rack,
			DataCentre:     m.DataCentre,
			Accelerators:   m.Accelerators,
			CheckpointTime: config.Environment.CheckpointTime.Std(),
			Faults:         w.Faults,
			Ledger:         w.Ledger,
			Log:            config.Log,
		})
		w.Workers[m.Name] = made
		w.serve(m.Address, made)
	}
	for _, m := range machines.Servers {
		made := server.New(server.Config{
			Name:        m.Name,
			DataCentre:  m.DataCentre,
			Slots:       m.Slots,
			Connections: m.Connections,
			Faults:      w.Faults,
			Ledger:      w.Ledger,
		})
		w.Servers[m.Name] = made
		w.listeners = append(w.listeners, endpoint{address: m.Address, handler: made, wrap: made.Listener})
	}
}

func (w *World) serve(address string, handler http.Handler) {
	w.listeners = append(w.listeners, endpoint{address: address, handler: handler})
}

// ListenFunc opens a listener at an address.
type ListenFunc func(address string) (net.Listener, error)

// ListenTCP opens a TCP listener.
func ListenTCP(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// Serve listens at all addresses, calls ready, and serves until ctx ends.
func (w *World) Serve(ctx context.Context, listen ListenFunc, ready func()) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, e := range w.listeners {
		l, err := listen(e.address)
		if err != nil {
			return fault.Wrap(err, fault.Invalid, "listen", e.address)
		}
		if e.wrap != nil {
			l = e.wrap(l)
		}
		s := &http.Server{Handler: e.handler, ReadHeaderTimeout: headerTimeout, ErrorLog: discard}
		group.Go(func() error { return s.Serve(l) })
		group.Go(func() error {
			<-ctx.Done()
			return s.Close()
		})
	}
	if ready != nil {
		ready()
	}
	if err := group.Wait(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// discard drops the log lines of net/http on connections that were cut on purpose.
var discard = hclog.NewNullLogger().StandardLogger(nil)
