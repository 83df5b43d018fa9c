package place

import "github.com/sardineline/sardineline/sard/ident"

// Region describes to tests a guaranteed cell and the accelerators to which it is bound.
type Region struct {
	Account ident.Account
	Size    ident.Accelerators
	// Parts are the accelerators to which the cell is bound; empty if it is bound to none.
	Parts    []Part
	Users    []ident.Job
	Reserved bool
}

// Regions returns all guaranteed cells with the accelerators to which they are bound.
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

// IsClaiming reports whether a job waits for claimed accelerators until the gangs on them have ended.
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
