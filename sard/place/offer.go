package place

import (
	"cmp"
	"slices"
	"time"
)

const (
	// candidateHomes is how many regions are weighed for an unused guarantee.
	candidateHomes = 6
	// candidateSpots is how many cells of a region are weighed in full.
	candidateSpots = 8
	// checkpointFailure is the share of checkpoints that are taken not to be written within the grace.
	checkpointFailure = 0.1
)

// offer is a way to run a gang within a guarantee.
type offer struct {
	grant *grant
	parts []share
	// victims must be reclaimed first; lost is what that costs in accelerator-seconds.
	victims []*gang
	lost    float64
	// home and region are where the guarantee has to be bound; region is nil when it stays.
	home   int32
	region []share
}

// offer finds the guarantee of the gang's account in which it costs the least to run it. closed tells which nodes
// to leave out; nil for none.
func (e *Engine) offer(g *gang, closed func(v int32) bool) (offer, bool) {
	if len(g.account.grants) == 0 {
		return offer{}, false
	}
	key := e.memoKey(g, closed != nil)
	if _, failed := e.memo[key]; failed {
		return offer{}, false
	}
	best, ok := e.offerUsed(g, closed)
	if ok && len(best.victims) == 0 {
		return best, true
	}
	if o, found := e.offerUnused(g, closed); found && (!ok || o.lost < best.lost) {
		best, ok = o, true
	}
	if !ok {
		e.memo[key] = struct{}{}
	}
	return best, ok
}

// offerUsed looks in the guarantees that other gangs of the account use, the smallest first.
func (e *Engine) offerUsed(g *gang, closed func(v int32) bool) (offer, bool) {
	var best offer
	found := false
	for _, r := range g.account.grants {
		if !r.inUse() || !r.admits(g) || r.size-r.taken() < g.size() && !g.mayEvictOwn() || (closed != nil && closed(r.home)) {
			continue
		}
		o, ok := e.offerWithin(g, r)
		if ok && (!found || o.lost < best.lost) {
			best, found = o, true
		}
		if found && len(best.victims) == 0 {
			return best, true
		}
	}
	return best, found
}

// offerUnused looks in the guarantees that nobody uses; one of each size stands for the others.
func (e *Engine) offerUnused(g *gang, closed func(v int32) bool) (offer, bool) {
	var best offer
	found := false
	last := 0
	for _, r := range g.account.grants {
		if r.inUse() || r.size == last || !r.admits(g) || e.leavesToLarger(g, r) {
			continue
		}
		last = r.size
		o, ok := e.offerAnew(g, r, closed)
		if ok && (!found || o.lost < best.lost) {
			best, found = o, true
		}
		if found && len(best.victims) == 0 {
			return best, true
		}
	}
	return best, found
}

// admits tells whether a gang may use the grant.
func (r *grant) admits(g *gang) bool {
	return r.bound() && r.size >= g.size() && (r.kept == nil || r.kept == g || g.Urgent)
}

// taken is the number of accelerators that the grant's users have or claim.
func (r *grant) taken() int {
	n := 0
	for _, g := range r.users {
		n += g.size()
	}
	return n
}

// mayEvictOwn tells whether the gang may reclaim gangs of its own account within the guarantee.
func (g *gang) mayEvictOwn() bool {
	return g.Urgent || g.aged
}

// leavesToLarger tells whether the gang leaves an unused guarantee to a larger gang of its account that waits: it
// could run on half of it or less, and it can borrow.
func (e *Engine) leavesToLarger(g *gang, r *grant) bool {
	return g.Checkpointable && !g.Urgent && 2*g.size() <= r.size && g.account.largestWaiting > r.size/2
}

// reclaimable returns the accelerators of a grant's region that are free or that may be reclaimed for g.
func (e *Engine) reclaimable(g *gang, r *grant) masks {
	sets := make(map[int32]uint64, len(r.region))
	for _, p := range r.region {
		s := &e.ledger.slots[p.worker]
		set := p.set & s.alive &^ s.sure
		for _, v := range s.gangs {
			if !e.yields(v, g) {
				set &^= v.on(p.worker)
			}
		}
		sets[p.worker] = set
	}
	return func(w int32) uint64 { return sets[w] }
}

// yields tells whether gang v may be reclaimed for g, or ends soon anyway.
func (e *Engine) yields(v, g *gang) bool {
	switch {
	case v.phase == phaseReclaiming || v.phase == phaseStopping:
		return true
	case !v.Checkpointable:
		return false
	case v.grant == nil:
		return true
	default:
		return v.account == g.account && !v.Urgent && g.mayEvictOwn() && (g.Urgent || v.size() < g.size())
	}
}

// on returns the gang's accelerators on worker w.
func (g *gang) on(w int32) uint64 {
	for _, p := range g.parts {
		if p.worker == w {
			return p.set
		}
	}
	return 0
}

// offerAnew weighs where an unused guarantee could be bound so that the gang gets its place.
func (e *Engine) offerAnew(g *gang, r *grant, closed func(v int32) bool) (offer, bool) {
	var best offer
	found := false
	for _, s := range e.homes(g, r, closed) {
		limited := s.limit(e.ledger.unheld)
		o, ok := e.pickIn(g, s, limited)
		if !ok || (found && o.lost >= best.lost) {
			continue
		}
		o.grant = r
		if !r.covers(o.parts) {
			o.home = s.node
			o.region = e.ledger.regionAround(s, o.parts, r.size, limited)
			if !e.ledger.canMove(r, o.home, o.region) {
				continue
			}
		}
		best, found = o, true
		if o.lost == 0 {
			break
		}
	}
	if found || closed != nil && closed(r.home) {
		return best, found
	}
	return e.offerWithin(g, r)
}

// offerWithin looks for the gang's place in a grant's region as it is.
func (e *Engine) offerWithin(g *gang, r *grant) (offer, bool) {
	o, ok := e.pickIn(g, spot{node: r.home}, e.reclaimable(g, r))
	o.grant = r
	return o, ok
}

// unheld returns the loose accelerators that no claim within a guarantee holds.
func (l *ledger) unheld(w int32) uint64 {
	return l.loose.mask[w] &^ l.slots[w].sure
}

// home is a cell in which a guarantee could be bound.
type home struct {
	spot
	cost cost
}

// homes returns the cells that promise to be the cheapest, the best first, and that of the present region, from
// which no other guarantee has to give way.
func (e *Engine) homes(g *gang, r *grant, closed func(v int32) bool) []spot {
	var top []home
	e.ledger.loose.visit(r.size, closed, func(s spot) {
		h := home{spot: s, cost: e.homeCost(g, r, s)}
		if len(top) == candidateHomes && !h.cost.less(top[len(top)-1].cost) {
			return
		}
		i, _ := slices.BinarySearchFunc(top, h, func(a, b home) int { return slices.Compare(a.cost[:], b.cost[:]) })
		top = slices.Insert(top, i, h)
		top = top[:min(len(top), candidateHomes)]
	})
	spots := make([]spot, 0, len(top))
	for _, h := range top {
		spots = append(spots, h.spot)
	}
	if own, ok := e.ledger.topo.spotAround(r.region, r.size); ok && (closed == nil || !closed(own.node)) {
		spots = append(spots, own)
	}
	return spots
}

// homeCost estimates what it costs to run g in a guarantee bound at s: accelerators to reclaim, other guarantees
// to move, cells to break.
func (e *Engine) homeCost(g *gang, r *grant, s spot) cost {
	l := e.ledger
	used, free := l.load(s)
	missing := int64(max(0, int32(g.size())-free))
	if s.block == 0 && missing == 0 && int(l.free.cells[s.node].best[class(g.size())]) < g.size() {
		missing = 1
	}
	others := int64(0)
	if s.block == 0 {
		others = int64(l.loose.cells[s.node].count - l.room.cells[s.node].count)
	} else {
		others = int64(ones(l.loose.mask[s.node]&s.block) - ones(l.room.mask[s.node]&s.block))
	}
	if r.home == s.node && r.bound() {
		others = max(0, others-int64(r.size))
	}
	if g.size() < r.size {
		return cost{missing, int64(free), others, int64(l.around(s))}
	}
	return cost{missing, int64(l.around(s)), others, int64(used)}
}

// pickIn chooses the cell within s where the gang costs the least, of the available accelerators.
func (e *Engine) pickIn(g *gang, s spot, avail masks) (offer, bool) {
	n := g.size()
	free := func(w int32) uint64 { return avail(w) & e.ledger.free.mask[w] }
	var tight spot
	found := false
	var paid []spot
	e.ledger.topo.spots(s.node, n, avail, func(c spot) {
		have := e.ledger.topo.countSpot(c, free)
		if have >= n {
			c.rest = int32(have - n)
			if !found || c.rest < tight.rest {
				tight, found = c, true
			}
			return
		}
		c.rest = int32(n - have)
		paid = append(paid, c)
	})
	if found {
		return offer{parts: e.ledger.topo.take(tight, n, free)}, true
	}
	slices.SortStableFunc(paid, func(a, b spot) int { return cmp.Compare(a.rest, b.rest) })
	var best offer
	for _, c := range paid[:min(len(paid), candidateSpots)] {
		if o, ok := e.pickVictims(n, c, avail); ok && (!found || o.lost < best.lost) {
			best, found = o, true
		}
	}
	return best, found
}

// countSpot returns the number of available accelerators of a spot.
func (t *topology) countSpot(s spot, avail masks) int {
	return t.count(s.node, s.limit(avail))
}

// victim is a gang that could be reclaimed.
type victim struct {
	gang *gang
	gain int
	lost float64
}

// pickVictims chooses the gangs to reclaim in a cell: the least lost work for each accelerator gained.
func (e *Engine) pickVictims(n int, s spot, avail masks) (offer, bool) {
	l := e.ledger
	limited := s.limit(avail)
	allowed := map[int32]uint64{}
	gains := map[*gang]int{}
	var victims []victim
	have := 0
	nd := &l.topo.nodes[s.node]
	for w := nd.first; w < nd.last; w++ {
		mask := limited(w)
		allowed[w] = mask & (l.free.mask[w] | l.slots[w].held&^l.slots[w].used)
		have += int(ones(allowed[w]))
		for _, v := range l.slots[w].gangs {
			if set := v.on(w) & mask; set != 0 {
				if gains[v] == 0 {
					victims = append(victims, victim{gang: v})
				}
				gains[v] += int(ones(set))
			}
		}
	}
	for i := range victims {
		victims[i].gain = gains[victims[i].gang]
		victims[i].lost = e.lostWork(victims[i].gang)
	}
	slices.SortStableFunc(victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.lost/float64(a.gain), b.lost/float64(b.gain)), cmp.Compare(a.gang.ID, b.gang.ID))
	})
	for _, v := range victims {
		if have >= n {
			break
		}
		have += v.gain
		for _, p := range v.gang.parts {
			if p.worker >= nd.first && p.worker < nd.last {
				allowed[p.worker] |= p.set & limited(p.worker)
			}
		}
	}
	if have < n {
		return offer{}, false
	}
	o := offer{parts: l.topo.take(s, n, func(w int32) uint64 { return allowed[w] })}
	for _, v := range victims {
		if v.gang.overlaps(o.parts) {
			o.victims = append(o.victims, v.gang)
			o.lost += v.lost
		}
	}
	return o, true
}

// lostWork is what reclaiming a gang is expected to cost in accelerator-seconds.
func (e *Engine) lostWork(v *gang) float64 {
	if v.phase != phasePlaced {
		return 0
	}
	ran := time.Duration(0)
	if !v.started.IsZero() {
		ran = e.now.Sub(v.started)
	}
	each := e.config.MoveCost.Seconds() + checkpointFailure*ran.Seconds()
	return each * float64(v.size())
}

func (g *gang) overlaps(parts []share) bool {
	for _, p := range parts {
		if g.on(p.worker)&p.set != 0 {
			return true
		}
	}
	return false
}
