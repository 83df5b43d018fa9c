package place

import "github.com/sardineline/sardineline/sard/ident"

// Region is where a cell of a guarantee is bound, for tests.
type Region struct {
	Account ident.Account
	Size    ident.Accelerators
	// Parts are empty when the cell is short.
	Parts []Part
	Users []ident.Job
	Kept  bool
}

// Regions returns the bindings that the engine relies on.
func (e *Engine) Regions() []Region {
	var list []Region
	for _, r := range e.grants {
		x := Region{
			Account: r.account.name, Size: ident.Accelerators(r.size),
			Parts: e.ledger.topo.parts(r.region), Kept: r.kept != nil,
		}
		for _, g := range r.users {
			x.Users = append(x.Users, g.ID)
		}
		list = append(list, x)
	}
	return list
}

// Claims tells whether a job's accelerators are being reclaimed for it.
func (e *Engine) Claims(id ident.Job) bool {
	g, ok := e.gangs[id]
	return ok && g.phase == phaseClaiming
}

// Consistent compares the indexes with sums made anew and returns the first worker that differs, or "".
func (e *Engine) Consistent() string {
	l := e.ledger
	for w := range l.slots {
		s := &l.slots[w]
		var used, firm, held, bound, pinned uint64
		for _, g := range s.gangs {
			used |= g.on(int32(w))
			if g.firm() {
				firm |= g.on(int32(w))
			}
		}
		for _, g := range e.claims {
			held |= g.on(int32(w))
		}
		for _, r := range s.grants {
			for _, p := range r.region {
				if p.worker != int32(w) {
					continue
				}
				bound |= p.set
				if r.inUse() {
					pinned |= p.set
				}
			}
		}
		same := s.used == used && s.firm == firm && s.held == held && s.bound == bound && s.pinned == pinned
		if !same || l.free.mask[w] != s.alive&^used&^held {
			return string(l.topo.workers[w].Name)
		}
	}
	return ""
}
