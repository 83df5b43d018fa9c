package place

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxCriticalReservations is how many cells may be reserved in total when a critical gang asks for one;
	// maxReservations is the limit when an aged or urgent one does.
	maxCriticalReservations = 2
	maxReservations         = 3
	// maxReserveSearches caps the searches for a cell to reserve in one pass.
	maxReserveSearches = 2
	// lostWorkWeight weighs the work that is lost by moving gangs out of a reserved cell against the accelerator
	// time that passes until the cell is free without moves.
	lostWorkWeight = 20
)

// reservation keeps a cell for a waiting gang. With a nil gang, it keeps the cell free for a while after compaction
// moved gangs out of it. Until backfillUntil, gangs that are expected to end before ready may run in a cell that is
// kept for a gang.
type reservation struct {
	gang *gang
	node int32
	// ready is when the cell is expected to have room for the gang.
	ready time.Time
	// backfillUntil is when the cell stops taking other gangs, so that wrong estimates can't delay the gang
	// forever. A reservation with a nil gang ends then.
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

// dropReservation releases the cell and the guarantees that are reserved for the gang.
func (e *Engine) dropReservation(g *gang) {
	e.reserved = slices.DeleteFunc(e.reserved, func(r *reservation) bool { return r.gang == g })
	for _, r := range g.account.grants {
		if r.reservedFor == g {
			r.reservedFor = nil
		}
	}
}

// reserve reserves a cell for a critical, aged or urgent gang. For a gang that can't be checkpointed it reserves a
// guarantee of its account instead.
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

// reserveGrant reserves for the gang the guarantee of its account of which the fewest accelerators are used, among
// those that it may use.
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

// earliestCell finds the unreserved cell that is expected to have room for the gang at the earliest time.
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

// overlapsReservation reports whether node v contains a reserved cell or lies within one.
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

// estimateReady estimates when n accelerators of node v will be free. With countMovable, accelerators of gangs that may
// be moved count as free. It reports false if there will never be n.
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

// updateReservations updates when reserved cells are expected to have room, and drops reservations that are no longer
// needed or possible.
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

// excludedNodes returns a function that reports whether g must not be placed in a node because of the reservations of
// other gangs; nil if there are no such nodes. With borrowing, g may enter reserved cells out of which it can be moved
// in time.
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

// canBackfill reports whether a gang that is expected to end at the given time may run in a reserved cell, since it
// doesn't delay the gang for which the cell is kept.
func (e *Engine) canBackfill(r *reservation, ends time.Time) bool {
	return r.gang != nil && !ends.After(r.ready) && e.now.Before(r.backfillUntil)
}

// mayEnterTemporarily reports whether gang g may run in a reserved cell until it is moved out: it can be checkpointed,
// and its exemption from moves ends before the cell is needed.
func (e *Engine) mayEnterTemporarily(r *reservation, g *gang) bool {
	return r.gang != nil && g.Checkpointable && !g.Urgent && r.ready.Sub(e.now) > moveCooldown
}

// claimReserved claims the cell that is reserved for g and moves gangs of at most half its size out of it, when nothing
// else occupies it and waiting for them to end would cost more. Gangs of about its own size are not moved: that would
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

// clearableMasks returns a function that returns the accelerators of a worker of node v that are free, used by gangs
// that are being reclaimed, or used by movable gangs of at most maxSize accelerators.
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
