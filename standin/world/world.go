// Package world puts the parts of the stand-in together and serves them.
package world

import (
	"net/http"

	"github.com/hashicorp/go-hclog"

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
	// Logger takes a line for each change of a part of a gang; nil for none.
	Logger hclog.Logger
	// RecordWrites keeps all writes of the table.
	RecordWrites bool
}

// Platform is a platform with its workers and backend servers.
type Platform struct {
	Ports   setup.Ports
	Faults  *faults.Set
	Ledger  *ledger.Ledger
	Table   *tables.Service
	Objects *blobs.Store
	Fleet   *fleets.List
	Workers map[ident.Worker]*worker.Worker
	Servers map[ident.Server]*server.Server

	endpoints []endpoint
}

// New makes a world with the faults of its environment on.
func New(config Config) (*Platform, error) {
	env := config.Environment
	machines := env.FleetSnapshot(config.Ports)
	set := faults.New(env.Seed)
	w := &Platform{
		Ports:   config.Ports,
		Faults:  set,
		Ledger:  ledger.New(env.NotRepeated),
		Table:   tables.New(tables.Config{Faults: set, RecordWrites: config.RecordWrites}),
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
	w.serve(config.Ports.TableAddr(), w.Table)
	w.serve(config.Ports.ObjectAddr(), w.Objects)
	w.serve(config.Ports.FleetAddr(), w.Fleet)
	w.serve(config.Ports.ControlAddr(), w.control())
	w.addMachines(config)
	for _, f := range env.Faults {
		if err := set.Inject(f); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *Platform) addMachines(config Config) {
	machines := w.Fleet.Current()
	for _, m := range machines.Workers {
		made := worker.New(worker.Config{
			Name:           m.Name,
			Rack:           m.Rack,
			DataCentre:     m.DataCentre,
			Accelerators:   m.Accelerators,
			CheckpointTime: config.Environment.CheckpointTime.Std(),
			UsageLag:       config.Environment.UsageLag.Std(),
			Faults:         w.Faults,
			Ledger:         w.Ledger,
			Logger:         config.Logger,
		})
		w.Workers[m.Name] = made
		at := faults.Component{Peer: faults.Worker, Name: string(m.Name), Rack: m.Rack, DataCentre: m.DataCentre}
		w.endpoints = append(w.endpoints, endpoint{address: m.Address, handler: made, place: &at})
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
		at := faults.Component{Peer: faults.Server, Name: string(m.Name), DataCentre: m.DataCentre}
		w.endpoints = append(w.endpoints, endpoint{address: m.Address, handler: made, place: &at, wrap: made.LimitListener})
	}
}

func (w *Platform) serve(address string, handler http.Handler) {
	w.endpoints = append(w.endpoints, endpoint{address: address, handler: handler})
}
