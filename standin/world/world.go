// Package world assembles the stand-in, the simulated platform with its services, workers and backend servers, and
// serves each component at its own address.
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

// Config configures a Platform.
type Config struct {
	Environment setup.Environment
	Ports       setup.Ports
	// Logger logs each state change of a part of a gang; nil disables logging.
	Logger hclog.Logger
	// RecordWrites makes the simulated table service keep a record of all applied writes.
	RecordWrites bool
}

// Platform is the simulated platform: its table service, object store, fleet list, workers and backend servers, the
// faults that are active, and a ledger of what was executed.
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

// New creates a Platform from its environment file, with the faults that are active initially.
func New(config Config) (*Platform, error) {
	env := config.Environment
	machines := env.FleetSnapshot(config.Ports)
	faultSet := faults.New(env.Seed)
	p := &Platform{
		Ports:   config.Ports,
		Faults:  faultSet,
		Ledger:  ledger.New(env.NotRepeated),
		Table:   tables.New(tables.Config{Faults: faultSet, RecordWrites: config.RecordWrites}),
		Objects: blobs.New(faultSet),
		Fleet: fleets.New(fleets.Config{
			Workers:   machines.Workers,
			Servers:   machines.Servers,
			Instances: machines.Instances,
			Lag:       env.Lag.Std(),
			Faults:    faultSet,
		}),
		Workers: map[ident.Worker]*worker.Worker{},
		Servers: map[ident.Server]*server.Server{},
	}
	p.addEndpoint(config.Ports.TableAddr(), p.Table)
	p.addEndpoint(config.Ports.ObjectAddr(), p.Objects)
	p.addEndpoint(config.Ports.FleetAddr(), p.Fleet)
	p.addEndpoint(config.Ports.ControlAddr(), p.controlHandler())
	p.addMachines(config)
	for _, f := range env.Faults {
		if err := faultSet.Inject(f); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// addMachines creates the workers and backend servers of the environment and adds their endpoints.
func (p *Platform) addMachines(config Config) {
	machines := p.Fleet.Current()
	for _, m := range machines.Workers {
		handler := worker.New(worker.Config{
			Name:           m.Name,
			Rack:           m.Rack,
			DataCentre:     m.DataCentre,
			Accelerators:   m.Accelerators,
			CheckpointTime: config.Environment.CheckpointTime.Std(),
			UsageLag:       config.Environment.UsageLag.Std(),
			Faults:         p.Faults,
			Ledger:         p.Ledger,
			Logger:         config.Logger,
		})
		p.Workers[m.Name] = handler
		component := faults.Component{Peer: faults.Worker, Name: string(m.Name), Rack: m.Rack, DataCentre: m.DataCentre}
		p.endpoints = append(p.endpoints, endpoint{address: m.Address, handler: handler, component: &component})
	}
	for _, m := range machines.Servers {
		handler := server.New(server.Config{
			Name:        m.Name,
			DataCentre:  m.DataCentre,
			Slots:       m.Slots,
			Connections: m.Connections,
			Faults:      p.Faults,
			Ledger:      p.Ledger,
		})
		p.Servers[m.Name] = handler
		component := faults.Component{Peer: faults.Server, Name: string(m.Name), DataCentre: m.DataCentre}
		p.endpoints = append(p.endpoints, endpoint{
			address:      m.Address,
			handler:      handler,
			component:    &component,
			wrapListener: handler.LimitListener,
		})
	}
}

// addEndpoint adds the endpoint of a platform service, which is not part of a worker or backend server.
func (p *Platform) addEndpoint(address string, handler http.Handler) {
	p.endpoints = append(p.endpoints, endpoint{address: address, handler: handler})
}
