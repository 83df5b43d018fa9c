package place

import (
	"cmp"
	"slices"
	"time"
)

const (
	// criticalReservations is how many cells may be reserved for critical gangs, agedReservations for all.
	criticalReservations = 2
	agedReservations     = 3
	// reserveTries bounds the searches for a cell in one pass.
	reserveTries = 2
	// claimCost weighs lost work against the time for which a reserved cell would stay partly idle.
	claimCost = 20
)

// reservation keeps a cell for a gang, or clear for a while after gangs were moved out of it. Gangs that end
// before ready may run in it until closes.
type reservation struct {
	gang *gang
	node int32
	// ready is when the cell is expected to hold the gang.
	ready time.Time
	// closes is when the cell stops to take other gangs in, so that wrong estimates can't delay the gang for ever.
	closes time.Time
}

func (e *Engine) holds(g *gang) bool {
	return slices.ContainsFunc(e.reserved, func(r *reservation) bool { return r.gang == g }) || e.keeps(g)
}

// keeps tells whether a guarantee is kept for the gang.
func (e *Engine) keeps(g *gang) bool {
	return slices.ContainsFunc(g.account.grants, func(r *grant) bool { return r.kept == g })
}

func (e *Engine) dropReservation(g *gang) {
	e.reserved = slices.DeleteFunc(e.reserved, func(r *reservation) bool { return r.gang == g })
	for _, r := range g.account.grants {
		if r.kept == g {
			r.kept = nil
		}
	}
}

// reserve keeps a cell, or a guarantee of its account, for a gang that must not wait much longer.
func (e *Engine) reserve(g *gang) {
	if e.tries >= reserveTries || e.holds(g) {
		return
	}
	if !g.Checkpointable {
		e.keepGrant(g)
		return
	}
	limit := agedReservations
	if g.tier() == tierCritical {
		limit = criticalReservations
	}
	if len(e.reserved) >= limit {
		return
	}
	e.tries++
	if v, ready, ok := e.earliest(g); ok {
		closes := ready.Add(ready.Sub(e.now)/2 + time.Minute)
		e.reserved = append(e.reserved, &reservation{gang: g, node: v, ready: ready, closes: closes})
	}
}

// keepGrant keeps the least used guarantee that the gang fits in from the account's other gangs.
func (e *Engine) keepGrant(g *gang) {
	var best *grant
	for _, r := range g.account.grants {
		if r.admits(g) && r.kept == nil && (best == nil || r.taken() < best.taken()) {
			best = r
		}
	}
	if best != nil {
		best.kept = g
	}
}

// earliest finds the cell that is expected to hold the gang first.
func (e *Engine) earliest(g *gang) (node int32, ready time.Time, ok bool) {
	topo := e.ledger.topo
	for v := range topo.nodes {
		v := int32(v)
		if !topo.minimal(v, g.size()) || e.reservedNear(v) {
			continue
		}
		at, possible := e.ready(v, g.size(), g.Checkpointable)
		if possible && (!ok || at.Before(ready)) {
			node, ready, ok = v, at, true
		}
	}
	return node, ready, ok
}

// reservedNear tells whether a reserved cell overlaps with node v.
func (e *Engine) reservedNear(v int32) bool {
	return slices.ContainsFunc(e.reserved, func(r *reservation) bool {
		return e.ledger.topo.inside(v, r.node) || e.ledger.topo.inside(r.node, v)
	})
}

// ending is when a gang frees accelerators of a cell.
type ending struct {
	at time.Time
	n  int
}

// ready estimates when n accelerators of node v are free. With moving, gangs that can be moved count as free.
func (e *Engine) ready(v int32, n int, moving bool) (time.Time, bool) {
	l := e.ledger
	free := int(l.free.cells[v].count)
	if free >= n {
		return e.now, true
	}
	var ends []ending
	nd := &l.topo.nodes[v]
	for w := nd.first; w < nd.last; w++ {
		for _, g := range l.slots[w].gangs {
			set := g.on(w) & l.slots[w].alive
			switch {
			case set == 0:
			case moving && e.movable(g):
				free += int(ones(set))
			default:
				ends = append(ends, ending{at: g.end(e.now), n: int(ones(set))})
			}
		}
	}
	if free >= n {
		return e.now, true
	}
	slices.SortFunc(ends, func(a, b ending) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.n, b.n)) })
	for _, r := range ends {
		if free += r.n; free >= n {
			return r.at, true
		}
	}
	return time.Time{}, false
}

// renewReservations brings the expected times up to date and drops what is not needed any more.
func (e *Engine) renewReservations() {
	e.tries = 0
	e.reserved = slices.DeleteFunc(e.reserved, func(r *reservation) bool {
		if r.gang == nil {
			return !e.now.Before(r.closes)
		}
		if r.gang.phase != phaseWaiting || r.gang.tier() == tierPlain {
			return true
		}
		at, possible := e.ready(r.node, r.gang.size(), true)
		r.ready = at
		return !possible
	})
}

// closedTo tells which nodes are closed to a gang by the reservations of others; nil for none. Borrowing gangs that
// can be moved away later may enter for a while.
func (e *Engine) closedTo(g *gang, borrowing bool) func(v int32) bool {
	var closed []int32
	ends := e.now.Add(g.estimate)
	for _, r := range e.reserved {
		if r.gang != g && !e.backfills(r, ends) && (!borrowing || !e.passes(r, g)) {
			closed = append(closed, r.node)
		}
	}
	if len(closed) == 0 {
		return nil
	}
	topo := e.ledger.topo
	return func(v int32) bool {
		for _, c := range closed {
			if topo.inside(v, c) || (topo.inside(c, v) && topo.minimal(v, g.size())) {
				return true
			}
		}
		return false
	}
}

// backfills tells whether a gang that ends at a time does not delay a reservation.
func (e *Engine) backfills(r *reservation, ends time.Time) bool {
	return r.gang != nil && !ends.After(r.ready) && e.now.Before(r.closes)
}

// passes tells whether a gang may run in a reserved cell until it is moved.
func (e *Engine) passes(r *reservation, g *gang) bool {
	return r.gang != nil && g.Checkpointable && !g.Urgent && r.ready.Sub(e.now) > moveRest
}

// claimReserved moves gangs of at most half its size out of the cell that is reserved for g, when nothing else is in
// the way and waiting for their ends would cost more. A gang never makes room for one of about its own size, which
// would gain nothing and could come back to claim the cell in turn.
func (e *Engine) claimReserved(g *gang) {
	i := slices.IndexFunc(e.reserved, func(r *reservation) bool { return r.gang == g })
	if i < 0 || g.phase != phaseWaiting {
		return
	}
	r := e.reserved[i]
	avail := e.clearable(r.node, g.size()/2)
	var best offer
	found := false
	e.ledger.topo.spots(r.node, g.size(), avail, func(s spot) {
		if o, ok := e.pickVictims(g.size(), s, avail); ok && (!found || o.lost < best.lost) {
			best, found = o, true
		}
	})
	if !found {
		return
	}
	natural, _ := e.ready(r.node, g.size(), false)
	if natural.Sub(e.now).Seconds()*float64(g.size()) > best.lost*claimCost {
		e.accept(g, best)
	}
}

// clearable returns the accelerators of a node's workers that are free or used by gangs up to a size that can be
// moved.
func (e *Engine) clearable(v int32, largest int) masks {
	sets := map[int32]uint64{}
	nd := &e.ledger.topo.nodes[v]
	for w := nd.first; w < nd.last; w++ {
		s := &e.ledger.slots[w]
		set := s.alive &^ s.held
		for _, g := range s.gangs {
			if g.phase != phaseReclaiming && (g.size() > largest || !e.movable(g)) {
				set &^= g.on(w)
			}
		}
		sets[w] = set
	}
	return func(w int32) uint64 { return sets[w] }
}
