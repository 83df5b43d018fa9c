package place

import (
	"slices"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// Site is a data centre with its workers, in the order of their racks and of their positions in a rack.
type Site struct {
	DataCentre ident.DataCentre
	Workers    []Worker
}

// SiteAllocation is the part of all guarantees that a data centre carries.
type SiteAllocation struct {
	DataCentre ident.DataCentre
	Accounts   []Account
}

// Plan places all guarantees at once on the sites, the largest cells first. Each cell lies within one data
// centre. The error is of kind fault.Invalid and names the client account, the shape and what is missing.
func Plan(accounts []Account, sites []Site) ([]SiteAllocation, error) {
	ledgers := make([]*ledger, len(sites))
	for i, s := range sites {
		ledgers[i] = emptyLedger(s.Workers)
	}
	counts := make([]map[*grant]bool, len(sites))
	for i := range counts {
		counts[i] = map[*grant]bool{}
	}
	grants, err := allGrants(accounts)
	if err != nil {
		return nil, err
	}
	for _, r := range grants {
		i := roomiest(ledgers, r.size)
		if i < 0 || !ledgers[i].settle(r) {
			return nil, shortage(r, grants, ledgers)
		}
		counts[i][r] = true
	}
	shares := make([]SiteAllocation, 0, len(sites))
	for i, s := range sites {
		shares = append(shares, SiteAllocation{DataCentre: s.DataCentre, Accounts: shareOf(accounts, counts[i])})
	}
	return shares, nil
}

func emptyLedger(workers []Worker) *ledger {
	l := newLedger(newTopology(workers))
	for w, worker := range workers {
		if !worker.Leaving {
			l.setAlive(int32(w), fullMask(worker.Accelerators))
		}
	}
	return l
}

// allGrants returns the cells of all guarantees, the largest first.
func allGrants(accounts []Account) ([]*grant, error) {
	var all []*grant
	for _, spec := range accounts {
		for _, gu := range spec.Guarantees {
			if gu.Accelerators < 1 || gu.Accelerators > MaxGangSize || gu.Count < 0 {
				return nil, fault.New(fault.Invalid, "plan guarantees", "",
					"client account %s: a guarantee of %d cells of %d accelerators; cells have 1 to %d",
					spec.Name, gu.Count, gu.Accelerators, MaxGangSize)
			}
		}
		all = append(all, spec.grants(&account{name: spec.Name})...)
	}
	slices.SortStableFunc(all, bySize)
	return all, nil
}

// roomiest returns the site with the most room of those that hold a cell of n, or -1.
func roomiest(ledgers []*ledger, n int) int {
	best := -1
	room := int32(0)
	for i, l := range ledgers {
		if l.topo.root == none {
			continue
		}
		if _, ok := l.cheapest(n); !ok {
			continue
		}
		if left := l.room.cells[l.topo.root].count; left > room {
			best, room = i, left
		}
	}
	return best
}

// shortage says which guarantee can't be placed.
func shortage(r *grant, grants []*grant, ledgers []*ledger) error {
	asked, placed := 0, 0
	for _, o := range grants {
		if o.account == r.account && o.size == r.size {
			asked++
			if o.bound() {
				placed++
			}
		}
	}
	left, widest := int32(0), 0
	for _, l := range ledgers {
		if l.topo.root == none {
			continue
		}
		left += l.room.cells[l.topo.root].count
		for _, n := range l.room.cells[l.topo.root].best {
			widest = max(widest, int(n))
		}
	}
	return fault.New(fault.Invalid, "plan guarantees", "",
		"client account %s: %d of %d cells of %d accelerators can't be placed; %d accelerators are left, the largest cell of them has %d",
		r.account.name, asked-placed, asked, r.size, left, widest)
}

// shareOf returns the accounts with the guarantees whose cells a site carries. Every account is listed, since
// its jobs may borrow at any site.
func shareOf(accounts []Account, here map[*grant]bool) []Account {
	list := make([]Account, 0, len(accounts))
	for _, spec := range accounts {
		mine := Account{Name: spec.Name, Weight: spec.Weight}
		for _, gu := range spec.Guarantees {
			if n := countCells(spec.Name, int(gu.Accelerators), here); n > 0 && !lists(mine, gu.Accelerators) {
				mine.Guarantees = append(mine.Guarantees, Guarantee{Accelerators: gu.Accelerators, Count: n})
			}
		}
		list = append(list, mine)
	}
	return list
}

func countCells(name ident.Account, size int, here map[*grant]bool) int {
	n := 0
	for r := range here {
		if r.account.name == name && r.size == size {
			n++
		}
	}
	return n
}

func lists(a Account, size ident.Accelerators) bool {
	return slices.ContainsFunc(a.Guarantees, func(g Guarantee) bool { return g.Accelerators == size })
}
