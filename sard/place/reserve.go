package place

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxCriticalReservations is how many cells may be reserved while critical gangs add reservations;
	// maxReservations is the limit for aged and urgent ones.
	maxCriticalReservations = 2
	maxReservations         = 3
	// maxReserveSearches caps the searches for a cell to reserve in one pass.
	maxReserveSearches = 2
	// lostWorkWeight weighs lost work against the accelerator time that passes until a reserved cell is free.
	lostWorkWeight = 20
)

// reservation keeps a cell for a gang, or keeps it clear for a while after gangs were moved out of it. Until
// backfillUntil, gangs that end before ready may run in it.
type reservation struct {
	gang *gang
	node int32
	// ready is when the cell is expected to have room for the gang.
	ready time.Time
	// backfillUntil is when the cell stops taking other gangs, so that wrong estimates can't delay the gang
	// forever.
	backfillUntil time.Time
}

// hasReservation reports whether a cell or a guarantee is reserved for the gang.
func (e *Engine) hasReservation(g *gang) bool {
	return slices.ContainsFunc(e.reserved, func(r *reservation) bool { return r.gang == g }) || e.hasReservedGrant(g)
}

// hasReservedGrant reports whether a guarantee is reserved for the gang.
func (e *Engine) hasReservedGrant(g *gang) bool {
	return slices.ContainsFunc(g.account.grants, func(r *grant) bool { return r.reservedFor == g })
}

// dropReservation releases what is reserved for the gang.
func (e *Engine) dropReservation(g *gang) {
	e.reserved = slices.DeleteFunc(e.reserved, func(r *reservation) bool { return r.gang == g })
	for _, r := range g.account.grants {
		if r.reservedFor == g {
			r.reservedFor = nil
		}
	}
}

// reserve reserves a cell for a critical, aged or urgent gang, or a guarantee of its account if it can't be
// checkpointed.
func (e *Engine) reserve(g *gang) {
	if e.reserveSearches >= maxReserveSearches || e.hasReservation(g) {
		return
	}
	if !g.Checkpointable {
		e.reserveGrant(g)
		return
	}
	limit := maxReservations
	if g.tier() == tierCritical {
		limit = maxCriticalReservations
	}
	if len(e.reserved) >= limit {
		return
	}
	e.reserveSearches++
	if v, ready, ok := e.earliestCell(g); ok {
		backfillUntil := ready.Add(ready.Sub(e.now)/2 + time.Minute)
		e.reserved = append(e.reserved, &reservation{gang: g, node: v, ready: ready, backfillUntil: backfillUntil})
	}
}

// reserveGrant reserves the least used guarantee that admits the gang.
func (e *Engine) reserveGrant(g *gang) {
	var best *grant
	for _, r := range g.account.grants {
		if r.admits(g) && r.reservedFor == nil && (best == nil || r.usedSize() < best.usedSize()) {
			best = r
		}
	}
	if best != nil {
		best.reservedFor = g
	}
}

// earliestCell finds the cell that is expected to have room for the gang first.
func (e *Engine) earliestCell(g *gang) (node int32, ready time.Time, ok bool) {
	topo := e.ledger.topo
	for v := range topo.nodes {
		v := int32(v)
		if !topo.isMinimal(v, g.size()) || e.overlapsReservation(v) {
			continue
		}
		at, possible := e.estimateReady(v, g.size(), g.Checkpointable)
		if possible && (!ok || at.Before(ready)) {
			node, ready, ok = v, at, true
		}
	}
	return node, ready, ok
}

// overlapsReservation reports whether a reserved cell overlaps node v.
func (e *Engine) overlapsReservation(v int32) bool {
	return slices.ContainsFunc(e.reserved, func(r *reservation) bool {
		return e.ledger.topo.inside(v, r.node) || e.ledger.topo.inside(r.node, v)
	})
}

// expectedRelease is when a gang is expected to free n accelerators of a cell.
type expectedRelease struct {
	at time.Time
	n  int
}

// estimateReady estimates when n accelerators of node v are free. With countMovable, movable gangs count as free.
func (e *Engine) estimateReady(v int32, n int, countMovable bool) (time.Time, bool) {
	l := e.ledger
	free := int(l.free.summaries[v].count)
	if free >= n {
		return e.now, true
	}
	var ends []expectedRelease
	nd := &l.topo.nodes[v]
	for w := nd.first; w < nd.last; w++ {
		for _, g := range l.states[w].gangs {
			set := g.maskOn(w) & l.states[w].inService
			switch {
			case set == 0:
			case countMovable && e.movable(g):
				free += int(popCount(set))
			default:
				ends = append(ends, expectedRelease{at: g.expectedEnd(e.now), n: int(popCount(set))})
			}
		}
	}
	if free >= n {
		return e.now, true
	}
	slices.SortFunc(ends, func(a, b expectedRelease) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.n, b.n)) })
	for _, r := range ends {
		if free += r.n; free >= n {
			return r.at, true
		}
	}
	return time.Time{}, false
}

// updateReservations updates the expected times and drops reservations that are no longer needed or possible.
func (e *Engine) updateReservations() {
	e.reserveSearches = 0
	e.reserved = slices.DeleteFunc(e.reserved, func(r *reservation) bool {
		if r.gang == nil {
			return !e.now.Before(r.backfillUntil)
		}
		if r.gang.phase != phaseWaiting || r.gang.tier() == tierNormal {
			return true
		}
		at, possible := e.estimateReady(r.node, r.gang.size(), true)
		r.ready = at
		return !possible
	})
}

// excludedNodes returns a function that reports which nodes the reservations of other gangs close to g; nil for
// none. With borrowing, gangs that can be moved out later may enter.
func (e *Engine) excludedNodes(g *gang, borrowing bool) func(v int32) bool {
	var excluded []int32
	ends := e.now.Add(g.estimate)
	for _, r := range e.reserved {
		if r.gang != g && !e.canBackfill(r, ends) && (!borrowing || !e.mayEnterTemporarily(r, g)) {
			excluded = append(excluded, r.node)
		}
	}
	if len(excluded) == 0 {
		return nil
	}
	topo := e.ledger.topo
	return func(v int32) bool {
		for _, c := range excluded {
			if topo.inside(v, c) || (topo.inside(c, v) && topo.isMinimal(v, g.size())) {
				return true
			}
		}
		return false
	}
}

// canBackfill reports whether a gang that ends at a time doesn't delay a reservation.
func (e *Engine) canBackfill(r *reservation, ends time.Time) bool {
	return r.gang != nil && !ends.After(r.ready) && e.now.Before(r.backfillUntil)
}

// mayEnterTemporarily reports whether a gang may run in a reserved cell until it is moved out.
func (e *Engine) mayEnterTemporarily(r *reservation, g *gang) bool {
	return r.gang != nil && g.Checkpointable && !g.Urgent && r.ready.Sub(e.now) > moveCooldown
}

// claimReserved moves gangs of at most half its size out of the cell that is reserved for g, when nothing else
// occupies it and waiting for them to end would cost more. Gangs of about its own size are not moved: that would
// gain nothing, and they could reclaim the cell in turn.
func (e *Engine) claimReserved(g *gang) {
	i := slices.IndexFunc(e.reserved, func(r *reservation) bool { return r.gang == g })
	if i < 0 || g.phase != phaseWaiting {
		return
	}
	r := e.reserved[i]
	avail := e.clearableMasks(r.node, g.size()/2)
	var best offer
	found := false
	e.ledger.topo.visitCandidates(r.node, g.size(), avail, func(s candidate) {
		if o, ok := e.selectVictims(g.size(), s, avail); ok && (!found || o.lostWork < best.lostWork) {
			best, found = o, true
		}
	})
	if !found {
		return
	}
	withoutMoves, _ := e.estimateReady(r.node, g.size(), false)
	if withoutMoves.Sub(e.now).Seconds()*float64(g.size()) > best.lostWork*lostWorkWeight {
		e.acceptOffer(g, best)
	}
}

// clearableMasks returns the accelerators of a node's workers that are free or used by movable gangs of at most
// maxSize.
func (e *Engine) clearableMasks(v int32, maxSize int) availability {
	sets := map[int32]uint64{}
	nd := &e.ledger.topo.nodes[v]
	for w := nd.first; w < nd.last; w++ {
		s := &e.ledger.states[w]
		set := s.inService &^ s.claimed
		for _, g := range s.gangs {
			if g.phase != phaseReclaiming && (g.size() > maxSize || !e.movable(g)) {
				set &^= g.maskOn(w)
			}
		}
		sets[w] = set
	}
	return func(w int32) uint64 { return sets[w] }
}
