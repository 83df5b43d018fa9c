// Package setup reads the environment file of the stand-in, which defines the data centres, machines, delays and
// initial faults of the simulated platform. Machines are workers and backend servers.
package setup

import (
	"fmt"
	"os"

	"github.com/goccy/go-yaml"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/standin/faults"
)

// Environment holds the settings of an environment file.
type Environment struct {
	// Seed seeds the random choice of the calls that faults affect.
	Seed uint64 `yaml:"Seed"`
	// Lag is the delay with which the fleet list shows a change.
	Lag ident.Duration `yaml:"Lag"`
	// UsageLag is how old the running times of parts are when a worker reports them.
	UsageLag ident.Duration `yaml:"UsageLag"`
	// CheckpointTime is how long a worker takes to write a checkpoint.
	CheckpointTime ident.Duration `yaml:"CheckpointTime"`
	// Accelerators is the number of accelerators in each worker; 0 means 8.
	Accelerators ident.Accelerators `yaml:"Accelerators"`
	// Slots and Connections are the maximum numbers of running requests and of open connections of each backend server;
	// 0 means 8 and 60.
	Slots       int `yaml:"Slots"`
	Connections int `yaml:"Connections"`
	// NotRepeated are path prefixes. Requests whose path starts with one of them must run at most once.
	NotRepeated []string     `yaml:"NotRepeated"`
	DataCentres []DataCentre `yaml:"DataCentres"`
	// Instances are the entry instances that the fleet list contains initially.
	Instances []Instance `yaml:"Instances"`
	// Faults are the faults that are active initially.
	Faults []faults.Fault `yaml:"Faults"`
}

// DataCentre describes a data centre by its racks of workers and its number of backend servers. Consecutive racks are
// physically adjacent.
type DataCentre struct {
	Name    ident.DataCentre `yaml:"Name"`
	Racks   []Rack           `yaml:"Racks"`
	Servers int              `yaml:"Servers"`
}

// Rack describes a rack by its number of workers.
type Rack struct {
	Name    ident.Rack `yaml:"Name"`
	Workers int        `yaml:"Workers"`
}

// Instance describes an entry instance in the initial fleet list.
type Instance struct {
	Name       ident.Instance   `yaml:"Name"`
	Address    string           `yaml:"Address"`
	DataCentre ident.DataCentre `yaml:"DataCentre"`
}

// MaxMachines is the maximum number of workers, and also of backend servers, in an environment.
const MaxMachines = 400

// Defaults of an Environment, and the maximum number of accelerators per worker.
const (
	defaultAccelerators = 8
	defaultSlots        = 8
	defaultConnections  = 60
	maxAccelerators     = 64
)

// Load reads and validates an environment file. It fails on unknown keys and on numbers out of range.
func Load(path string) (Environment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Environment{}, fault.Wrap(err, fault.Invalid, "read environment", path)
	}
	return Parse(text)
}

// Parse parses the text of an environment file, fills in the defaults and validates the result.
func Parse(text []byte) (Environment, error) {
	var env Environment
	if err := yaml.UnmarshalWithOptions(text, &env, yaml.Strict()); err != nil {
		return Environment{}, fault.Wrap(err, fault.Invalid, "read environment", "")
	}
	if env.Accelerators == 0 {
		env.Accelerators = defaultAccelerators
	}
	if env.Slots == 0 {
		env.Slots = defaultSlots
	}
	if env.Connections == 0 {
		env.Connections = defaultConnections
	}
	return env, env.check()
}

// check validates the number of machines and of accelerators per worker.
func (e Environment) check() error {
	workers, servers := 0, 0
	for _, dc := range e.DataCentres {
		servers += dc.Servers
		for _, rack := range dc.Racks {
			workers += rack.Workers
		}
	}
	if workers > MaxMachines || servers > MaxMachines {
		return fault.New(fault.Invalid, "check environment", "", "%d workers and %d servers configured, at most %d of each allowed", workers, servers, MaxMachines)
	}
	if e.Accelerators < 0 || e.Accelerators > maxAccelerators {
		return fault.New(fault.Invalid, "check environment", "", "%d accelerators per worker configured, at most %d allowed", e.Accelerators, maxAccelerators)
	}
	return nil
}

// FleetSnapshot returns the fleet list of the environment, with the addresses that ports assigns to the machines.
func (e Environment) FleetSnapshot(ports Ports) fleet.Snapshot {
	var snapshot fleet.Snapshot
	for _, dc := range e.DataCentres {
		for _, rack := range dc.Racks {
			for i := range rack.Workers {
				snapshot.Workers = append(snapshot.Workers, fleet.Worker{
					Name:         ident.Worker(fmt.Sprintf("%s-w%d", rack.Name, i)),
					Address:      ports.WorkerAddr(len(snapshot.Workers)),
					DataCentre:   dc.Name,
					Rack:         rack.Name,
					Accelerators: e.Accelerators,
					Index:        i,
				})
			}
		}
		for i := range dc.Servers {
			snapshot.Servers = append(snapshot.Servers, fleet.Server{
				Name:        ident.Server(fmt.Sprintf("%s-s%d", dc.Name, i)),
				Address:     ports.ServerAddr(len(snapshot.Servers)),
				DataCentre:  dc.Name,
				Slots:       e.Slots,
				Connections: e.Connections,
			})
		}
	}
	for _, instance := range e.Instances {
		snapshot.Instances = append(snapshot.Instances, fleet.Instance{
			Name:       instance.Name,
			Address:    instance.Address,
			DataCentre: instance.DataCentre,
		})
	}
	return snapshot
}
