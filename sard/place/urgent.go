package place

// urgentSpots is how many cells are weighed for an urgent gang.
const urgentSpots = 32

// claimUrgent takes accelerators of borrowing gangs for an urgent gang that finds no room in its account's
// guarantees. It borrows them in turn.
func (e *Engine) claimUrgent(g *gang) {
	topo := e.ledger.topo
	if topo.root == none {
		return
	}
	avail := func(w int32) uint64 { return e.borrowed(w) }
	var best offer
	found, seen := false, 0
	topo.spots(topo.root, g.size(), avail, func(s spot) {
		if seen++; seen > urgentSpots {
			return
		}
		if o, ok := e.pickVictims(g.size(), s, avail); ok && (!found || o.lost < best.lost) {
			best, found = o, true
		}
	})
	if found {
		e.accept(g, best)
	}
}

// borrowed returns the accelerators of a worker that are free or used by borrowing gangs.
func (e *Engine) borrowed(w int32) uint64 {
	s := &e.ledger.slots[w]
	set := s.alive &^ s.held
	for _, v := range s.gangs {
		if v.grant != nil || !v.Checkpointable || v.Urgent {
			set &^= v.on(w)
		}
	}
	return set
}
