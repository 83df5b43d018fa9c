package bench

import (
	"fmt"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// workersPerRack is the number of workers in a full rack.
const workersPerRack = 8

// site is a simulated data centre: a number of identical workers, with the accounts and the settings of the scheduler.
type site struct {
	name                  string
	workers               int
	acceleratorsPerWorker ident.Accelerators
	// burstJobs is the number of jobs in a closing burst; a mixed load has more.
	burstJobs int
	config    place.Configure
}

// accelerators returns the number of accelerators of the site.
func (s site) accelerators() int {
	return s.workers * int(s.acceleratorsPerWorker)
}

// topology returns the workers of the site, in racks of workersPerRack.
func (s site) topology() place.Topology {
	list := make([]place.Worker, 0, s.workers)
	for i := range s.workers {
		list = append(list, place.Worker{
			Name:         ident.Worker(fmt.Sprintf("r%d-w%d", i/workersPerRack, i%workersPerRack)),
			Rack:         ident.Rack(fmt.Sprintf("r%d", i/workersPerRack)),
			Accelerators: s.acceleratorsPerWorker,
		})
	}
	return place.Topology{Workers: list}
}

// kowhai returns the configuration of the Kowhai sites, whose objective gives more weight to completion time.
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

// observatory returns the configuration of the observatory sites, whose objective gives more weight to fragmentation.
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

// teams returns a configuration with 46 accounts: a few with large guarantees, most with small ones or none.
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

// sites returns the domains of both organisations: as they are today, and as expected in two years with 283 workers of
// 2 accelerators each and 46 accounts.
func sites() []site {
	return []site{
		{name: "kowhai.today", workers: 50, acceleratorsPerWorker: 8, burstJobs: 400, config: kowhai()},
		{name: "observatory.today", workers: 50, acceleratorsPerWorker: 8, burstJobs: 400, config: observatory()},
		{name: "kowhai.2years", workers: 283, acceleratorsPerWorker: 2, burstJobs: 920, config: teams(kowhai().Objective)},
		{name: "observatory.2years", workers: 283, acceleratorsPerWorker: 2, burstJobs: 920, config: teams(observatory().Objective)},
	}
}
