package bench

import (
	"fmt"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// workersPerRack is the number of workers in a full rack.
const workersPerRack = 8

// site is a domain of alike workers with its document.
type site struct {
	name     string
	workers  int
	each     ident.Accelerators
	jobs     int
	document place.Configure
}

func (s site) accelerators() int {
	return s.workers * int(s.each)
}

func (s site) topology() place.Topology {
	list := make([]place.Worker, 0, s.workers)
	for i := range s.workers {
		list = append(list, place.Worker{
			Name:         ident.Worker(fmt.Sprintf("r%d-w%d", i/workersPerRack, i%workersPerRack)),
			Rack:         ident.Rack(fmt.Sprintf("r%d", i/workersPerRack)),
			Accelerators: s.each,
		})
	}
	return place.Topology{Workers: list}
}

// kowhai is Kowhai's document: completion time weighs more.
func kowhai() place.Configure {
	return place.Configure{
		Objective: place.Objective{CompletionTime: 3, Fragmentation: 1},
		Accounts: []place.Account{
			{Name: "north", Weight: 1, Guarantees: []place.Guarantee{{Accelerators: 64, Count: 2}}},
			{Name: "south", Weight: 1, Guarantees: []place.Guarantee{{Accelerators: 64, Count: 1}}},
			{Name: "field", Weight: 1, Guarantees: []place.Guarantee{{Accelerators: 32, Count: 1}}},
			{Name: "desk", Weight: 1, Guarantees: []place.Guarantee{{Accelerators: 16, Count: 2}}},
		},
	}
}

// observatory is the observatory's document: fragmentation weighs more.
func observatory() place.Configure {
	return place.Configure{
		Objective: place.Objective{CompletionTime: 1, Fragmentation: 3},
		Accounts: []place.Account{
			{Name: "orbits", Weight: 1, Guarantees: []place.Guarantee{{Accelerators: 128, Count: 1}}},
			{Name: "trajectories", Weight: 1, Guarantees: []place.Guarantee{{Accelerators: 64, Count: 1}}},
			{Name: "reports", Weight: 1, Guarantees: []place.Guarantee{{Accelerators: 32, Count: 1}}},
			{Name: "alerts", Weight: 1, Guarantees: []place.Guarantee{{Accelerators: 8, Count: 4}}},
		},
	}
}

// teams is a document of 46 accounts: a few large, most small.
func teams(objective place.Objective) place.Configure {
	c := place.Configure{Objective: objective}
	for i := range 46 {
		a := place.Account{Name: ident.Account(fmt.Sprintf("team%02d", i)), Weight: 1}
		switch {
		case i < 1:
			a.Guarantees = []place.Guarantee{{Accelerators: 64, Count: 1}}
		case i < 4:
			a.Guarantees = []place.Guarantee{{Accelerators: 32, Count: 1}}
		case i < 10:
			a.Guarantees = []place.Guarantee{{Accelerators: 16, Count: 1}}
		case i < 24:
			a.Guarantees = []place.Guarantee{{Accelerators: 4, Count: 1}}
		}
		c.Accounts = append(c.Accounts, a)
	}
	return c
}

// sites are today's domains and those of the size of two years: 283 workers with 2 accelerators, 46 teams.
func sites() []site {
	return []site{
		{name: "kowhai.today", workers: 50, each: 8, jobs: 400, document: kowhai()},
		{name: "observatory.today", workers: 50, each: 8, jobs: 400, document: observatory()},
		{name: "kowhai.2years", workers: 283, each: 2, jobs: 920, document: teams(kowhai().Objective)},
		{name: "observatory.2years", workers: 283, each: 2, jobs: 920, document: teams(observatory().Objective)},
	}
}
