// Package setup reads the environment file of the stand-in: its data centres, machines, lag and first faults.
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

// Environment is the content of an environment file.
type Environment struct {
	// Seed makes the draws of faults repeat.
	Seed uint64 `yaml:"Seed"`
	// Lag is how far the fleet list lies back.
	Lag ident.Duration `yaml:"Lag"`
	// UsageLag is how far the usage in workers' reports lies back.
	UsageLag ident.Duration `yaml:"UsageLag"`
	// CheckpointTime is how long a worker takes to write a checkpoint.
	CheckpointTime ident.Duration `yaml:"CheckpointTime"`
	// Accelerators is the number in each worker; 0 means 8.
	Accelerators ident.Accelerators `yaml:"Accelerators"`
	// Slots and Connections are of each backend server; 0 means 8 and 60.
	Slots       int `yaml:"Slots"`
	Connections int `yaml:"Connections"`
	// NotRepeated are the path prefixes of requests that must run at most once.
	NotRepeated []string     `yaml:"NotRepeated"`
	DataCentres []DataCentre `yaml:"DataCentres"`
	// Instances are the entry instances that are in the list from the start.
	Instances []Instance `yaml:"Instances"`
	// Faults are on from the start.
	Faults []faults.Fault `yaml:"Faults"`
}

// DataCentre is a data centre. Its neighbouring racks are adjacent.
type DataCentre struct {
	Name    ident.DataCentre `yaml:"Name"`
	Racks   []Rack           `yaml:"Racks"`
	Servers int              `yaml:"Servers"`
}

// Rack is a rack of workers.
type Rack struct {
	Name    ident.Rack `yaml:"Name"`
	Workers int        `yaml:"Workers"`
}

// Instance is an entry instance.
type Instance struct {
	Name       ident.Instance   `yaml:"Name"`
	Address    string           `yaml:"Address"`
	DataCentre ident.DataCentre `yaml:"DataCentre"`
}

// MaxMachines is the most workers, and the most servers, of an environment.
const MaxMachines = 400

const (
	defaultAccelerators = 8
	defaultSlots        = 8
	defaultConnections  = 60
	maxAccelerators     = 64
)

// Load reads an environment file. It fails on unknown keys and impossible sizes.
func Load(path string) (Environment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Environment{}, fault.Wrap(err, fault.Invalid, "read environment", path)
	}
	return Parse(text)
}

// Parse reads the text of an environment file.
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

func (e Environment) check() error {
	workers, servers := 0, 0
	for _, dc := range e.DataCentres {
		servers += dc.Servers
		for _, rack := range dc.Racks {
			workers += rack.Workers
		}
	}
	if workers > MaxMachines || servers > MaxMachines {
		return fault.New(fault.Invalid, "check environment", "", "%d workers and %d servers, at most %d each", workers, servers, MaxMachines)
	}
	if e.Accelerators < 0 || e.Accelerators > maxAccelerators {
		return fault.New(fault.Invalid, "check environment", "", "%d accelerators, at most %d", e.Accelerators, maxAccelerators)
	}
	return nil
}

// FleetSnapshot lists the machines at the addresses of a layout of ports.
func (e Environment) FleetSnapshot(ports Ports) fleet.Snapshot {
	var out fleet.Snapshot
	for _, dc := range e.DataCentres {
		for _, rack := range dc.Racks {
			for i := range rack.Workers {
				out.Workers = append(out.Workers, fleet.Worker{
					Name:         ident.Worker(fmt.Sprintf("%s-w%d", rack.Name, i)),
					Address:      ports.WorkerAddr(len(out.Workers)),
					DataCentre:   dc.Name,
					Rack:         rack.Name,
					Accelerators: e.Accelerators,
					Index:        i,
				})
			}
		}
		for i := range dc.Servers {
			out.Servers = append(out.Servers, fleet.Server{
				Name:        ident.Server(fmt.Sprintf("%s-s%d", dc.Name, i)),
				Address:     ports.ServerAddr(len(out.Servers)),
				DataCentre:  dc.Name,
				Slots:       e.Slots,
				Connections: e.Connections,
			})
		}
	}
	for _, i := range e.Instances {
		out.Instances = append(out.Instances, fleet.Instance{Name: i.Name, Address: i.Address, DataCentre: i.DataCentre})
	}
	return out
}
