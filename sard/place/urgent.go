package place

// maxUrgentCandidates is how many cells are evaluated for an urgent gang that must borrow.
const maxUrgentCandidates = 32

// claimUrgent claims accelerators of borrowing gangs for an urgent gang that finds no room in its account's guarantees,
// and reclaims these gangs. The urgent gang then borrows.
func (e *Engine) claimUrgent(g *gang) {
	topo := e.ledger.topo
	if topo.root == none {
		return
	}
	avail := func(w int32) uint64 { return e.reclaimableMask(w) }
	var best offer
	found, seen := false, 0
	topo.visitCandidates(topo.root, g.size(), avail, func(s candidate) {
		if seen++; seen > maxUrgentCandidates {
			return
		}
		if o, ok := e.selectVictims(g.size(), s, avail); ok && (!found || o.lostWork < best.lostWork) {
			best, found = o, true
		}
	})
	if found {
		e.acceptOffer(g, best)
	}
}

// reclaimableMask returns the accelerators of a worker that are free or used by borrowing gangs that can be
// reclaimed.
func (e *Engine) reclaimableMask(w int32) uint64 {
	s := &e.ledger.states[w]
	set := s.inService &^ s.claimed
	for _, v := range s.gangs {
		if v.grant != nil || !v.Checkpointable || v.Urgent {
			set &^= v.maskOn(w)
		}
	}
	return set
}
