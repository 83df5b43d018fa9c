package lint

import (
	"fmt"

	"github.com/goccy/go-yaml"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/work"
)

// Inventory lists the workers of an environment.
type Inventory struct {
	Workers []WorkerSet `yaml:"Workers"`
}

// WorkerSet describes workers that differ only in their names.
type WorkerSet struct {
	// Service is the service whose jobs the workers run.
	Service work.Service `yaml:"Service"`
	// DataCentre and Rack say where the workers are.
	DataCentre ident.DataCentre `yaml:"DataCentre"`
	Rack       ident.Rack       `yaml:"Rack"`
	// Count is the number of workers.
	Count int `yaml:"Count"`
	// Accelerators is the number of accelerators of each worker.
	Accelerators ident.Accelerators `yaml:"Accelerators"`
}

const (
	// maxWorkers bounds the workers of an inventory.
	maxWorkers = 100_000
	// maxAccelerators bounds the accelerators of a worker.
	maxAccelerators = 64
)

// ParseInventory decodes an inventory in YAML or JSON.
func ParseInventory(text []byte) (*Inventory, error) {
	const step = "read inventory"
	inventory := &Inventory{}
	if err := yaml.UnmarshalWithOptions(text, inventory, yaml.Strict()); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, step, "")
	}
	count := 0
	for i, set := range inventory.Workers {
		if set.Count < 1 || set.Count > maxWorkers {
			return nil, fault.New(fault.Invalid, step, "", "Workers[%d].Count: %d is not between 1 and %d", i, set.Count, maxWorkers)
		}
		if set.Accelerators < 0 || set.Accelerators > maxAccelerators {
			return nil, fault.New(fault.Invalid, step, "", "Workers[%d].Accelerators: %d is not between 0 and %d", i, set.Accelerators, maxAccelerators)
		}
		count += set.Count
	}
	if count > maxWorkers {
		return nil, fault.New(fault.Invalid, step, "", "there are %d workers, the maximum is %d", count, maxWorkers)
	}
	return inventory, nil
}

// byService returns the accelerators of each service that has workers.
func (inv *Inventory) byService() map[work.Service]ident.Accelerators {
	sums := map[work.Service]ident.Accelerators{}
	for _, set := range inv.Workers {
		sums[set.Service] += set.Accelerators * ident.Accelerators(set.Count)
	}
	return sums
}

// sites returns the workers by data centre, in the order of the inventory.
func (inv *Inventory) sites() []place.Site {
	var sites []place.Site
	index := map[ident.DataCentre]int{}
	for _, set := range inv.Workers {
		i, ok := index[set.DataCentre]
		if !ok {
			i = len(sites)
			index[set.DataCentre] = i
			sites = append(sites, place.Site{DataCentre: set.DataCentre})
		}
		for n := range set.Count {
			name := ident.Worker(fmt.Sprintf("%s-%d", set.Rack, n))
			sites[i].Workers = append(sites[i].Workers, place.Worker{Name: name, Rack: set.Rack, Accelerators: set.Accelerators})
		}
	}
	return sites
}
