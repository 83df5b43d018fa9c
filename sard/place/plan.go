package place

import (
	"slices"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// Site is a data centre with its workers, ordered by rack and position in the rack.
type Site struct {
	DataCentre ident.DataCentre
	Workers    []Worker
}

// SiteAllocation holds the accounts with those of their guarantees that a data centre provides.
type SiteAllocation struct {
	DataCentre ident.DataCentre
	Accounts   []Account
}

// Plan assigns the cells of all guarantees to data centres, the largest cells first. Each cell lies within one data
// centre. The error is of kind fault.Invalid and names the client account, the cell size and the number of missing
// cells.
func Plan(accounts []Account, sites []Site) ([]SiteAllocation, error) {
	ledgers := make([]*ledger, len(sites))
	for i, s := range sites {
		ledgers[i] = emptyLedger(s.Workers)
	}
	provided := make([]map[*grant]bool, len(sites))
	for i := range provided {
		provided[i] = map[*grant]bool{}
	}
	grants, err := allGrants(accounts)
	if err != nil {
		return nil, err
	}
	for _, r := range grants {
		i := siteWithMostRoom(ledgers, r.size)
		if i < 0 || !ledgers[i].bindCheapest(r) {
			return nil, shortageError(r, grants, ledgers)
		}
		provided[i][r] = true
	}
	allocations := make([]SiteAllocation, 0, len(sites))
	for i, s := range sites {
		allocations = append(allocations, SiteAllocation{DataCentre: s.DataCentre, Accounts: accountsAt(accounts, provided[i])})
	}
	return allocations, nil
}

// emptyLedger returns a ledger of workers without gangs.
func emptyLedger(workers []Worker) *ledger {
	l := newLedger(newTopology(workers))
	for w, worker := range workers {
		if !worker.Leaving {
			l.setInService(int32(w), fullMask(worker.Accelerators))
		}
	}
	return l
}

// allGrants returns a grant for each cell of all guarantees, the largest first, or an error for an invalid guarantee.
func allGrants(accounts []Account) ([]*grant, error) {
	var all []*grant
	for _, spec := range accounts {
		for _, gu := range spec.Guarantees {
			if gu.Accelerators < 1 || gu.Accelerators > MaxGangSize || gu.Count < 0 {
				return nil, fault.New(fault.Invalid, "plan guarantees", "",
					"client account %s: invalid guarantee of %d cells of %d accelerators; a cell has 1 to %d",
					spec.Name, gu.Count, gu.Accelerators, MaxGangSize)
			}
		}
		all = append(all, spec.grants(&account{name: spec.Name})...)
	}
	slices.SortStableFunc(all, compareGrants)
	return all, nil
}

// siteWithMostRoom returns the index of the site with the most accelerators outside the regions of guarantees, among
// those where a region of n accelerators fits, or -1.
func siteWithMostRoom(ledgers []*ledger, n int) int {
	best := -1
	room := int32(0)
	for i, l := range ledgers {
		if l.topo.root == none {
			continue
		}
		if _, ok := l.cheapestCandidate(n); !ok {
			continue
		}
		if unbound := l.unbound.summaries[l.topo.root].count; unbound > room {
			best, room = i, unbound
		}
	}
	return best
}

// shortageError returns the error for a guarantee that no site has room for.
func shortageError(r *grant, grants []*grant, ledgers []*ledger) error {
	requested, placed := 0, 0
	for _, o := range grants {
		if o.account == r.account && o.size == r.size {
			requested++
			if o.bound() {
				placed++
			}
		}
	}
	remaining, largest := int32(0), 0
	for _, l := range ledgers {
		if l.topo.root == none {
			continue
		}
		remaining += l.unbound.summaries[l.topo.root].count
		for _, n := range l.unbound.summaries[l.topo.root].largestFit {
			largest = max(largest, int(n))
		}
	}
	return fault.New(fault.Invalid, "plan guarantees", "",
		"client account %s: %d of %d cells of %d accelerators can't be placed; %d accelerators remain, the largest available cell has %d",
		r.account.name, requested-placed, requested, r.size, remaining, largest)
}

// accountsAt returns the accounts with the guarantees that a site provides. It includes accounts without any, since
// their jobs may borrow at any site.
func accountsAt(accounts []Account, provided map[*grant]bool) []Account {
	list := make([]Account, 0, len(accounts))
	for _, spec := range accounts {
		allocated := Account{Name: spec.Name, Weight: spec.Weight}
		for _, gu := range spec.Guarantees {
			if n := countCells(spec.Name, int(gu.Accelerators), provided); n > 0 && !hasGuarantee(allocated, gu.Accelerators) {
				allocated.Guarantees = append(allocated.Guarantees, Guarantee{Accelerators: gu.Accelerators, Count: n})
			}
		}
		list = append(list, allocated)
	}
	return list
}

// countCells counts the cells of an account and size that a site provides.
func countCells(name ident.Account, size int, provided map[*grant]bool) int {
	n := 0
	for r := range provided {
		if r.account.name == name && r.size == size {
			n++
		}
	}
	return n
}

// hasGuarantee reports whether the account has a guarantee of a size.
func hasGuarantee(a Account, size ident.Accelerators) bool {
	return slices.ContainsFunc(a.Guarantees, func(g Guarantee) bool { return g.Accelerators == size })
}
