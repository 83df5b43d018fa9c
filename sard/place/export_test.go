package place

import "github.com/sardineline/sardineline/sard/ident"

// Region describes the binding of a guaranteed cell to tests.
type Region struct {
	Account ident.Account
	Size    ident.Accelerators
	// Parts are empty when the cell is short.
	Parts    []Part
	Users    []ident.Job
	Reserved bool
}

// Regions returns the bindings of all guaranteed cells.
func (e *Engine) Regions() []Region {
	var list []Region
	for _, r := range e.grants {
		x := Region{
			Account: r.account.name, Size: ident.Accelerators(r.size),
			Parts: e.ledger.topo.parts(r.region), Reserved: r.reservedFor != nil,
		}
		for _, g := range r.users {
			x.Users = append(x.Users, g.ID)
		}
		list = append(list, x)
	}
	return list
}

// IsClaiming reports whether accelerators are being reclaimed for a job.
func (e *Engine) IsClaiming(id ident.Job) bool {
	g, ok := e.gangs[id]
	return ok && g.phase == phaseClaiming
}

// InconsistentWorker recomputes the ledger's state from the gangs and grants. It returns the first worker that
// differs, or "".
func (e *Engine) InconsistentWorker() string {
	l := e.ledger
	for w := range l.states {
		s := &l.states[w]
		var used, protected, claimed, bound, pinned uint64
		for _, g := range s.gangs {
			used |= g.maskOn(int32(w))
			if g.protected() {
				protected |= g.maskOn(int32(w))
			}
		}
		for _, g := range e.claims {
			claimed |= g.maskOn(int32(w))
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
		same := s.used == used && s.protected == protected && s.claimed == claimed && s.bound == bound && s.pinned == pinned
		if !same || l.free.mask[w] != s.inService&^used&^claimed {
			return string(l.topo.workers[w].Name)
		}
	}
	return ""
}
