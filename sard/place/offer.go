package place

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRegionCandidates is the number of cells that are evaluated as a new place for the region of an unused
	// guarantee.
	maxRegionCandidates = 6
	// maxCellCandidates is the number of cells within a region for which the gangs to reclaim are selected, to
	// compare the lost work.
	maxCellCandidates = 8
	// checkpointFailureRate is the assumed share of reclaimed gangs that don't write their checkpoint within the
	// grace and lose their run time.
	checkpointFailureRate = 0.1
)

// offer is a way to run a gang: the accelerators, and which gangs must be reclaimed and which guarantee rebound for it.
type offer struct {
	grant *grant
	parts []workerPart
	// victims are the gangs that must be reclaimed first; lostWork is the expected cost of that in
	// accelerator-seconds.
	victims  []*gang
	lostWork float64
	// node and region are where grant must be rebound; a nil region leaves it in place.
	node   int32
	region []workerPart
}

// findOffer returns the offer with the least lost work for running a gang within its account's guarantees. It skips the
// nodes for which excluded is true; a nil excluded skips none.
func (e *Engine) findOffer(g *gang, excluded func(v int32) bool) (offer, bool) {
	if len(g.account.grants) == 0 {
		return offer{}, false
	}
	key := e.searchKey(g, excluded != nil)
	if _, failed := e.failedSearches[key]; failed {
		return offer{}, false
	}
	best, ok := e.offerInUsed(g, excluded)
	if ok && len(best.victims) == 0 {
		return best, true
	}
	if o, found := e.offerInUnused(g, excluded); found && (!ok || o.lostWork < best.lostWork) {
		best, ok = o, true
	}
	if !ok {
		e.failedSearches[key] = struct{}{}
	}
	return best, ok
}

// offerInUsed returns the offer with the least lost work in guarantees that other gangs of the account use. It tries
// the smallest guarantee first and stops at an offer without victims.
func (e *Engine) offerInUsed(g *gang, excluded func(v int32) bool) (offer, bool) {
	var best offer
	found := false
	for _, r := range g.account.grants {
		if !r.inUse() || !r.admits(g) || r.size-r.usedSize() < g.size() && !g.mayReclaimOwn() || (excluded != nil && excluded(r.node)) {
			continue
		}
		o, ok := e.offerInRegion(g, r)
		if ok && (!found || o.lostWork < best.lostWork) {
			best, found = o, true
		}
		if found && len(best.victims) == 0 {
			return best, true
		}
	}
	return best, found
}

// offerInUnused returns the offer with the least lost work in the account's unused guarantees. It tries one of each
// size, since those of equal size are interchangeable, and stops at an offer without victims.
func (e *Engine) offerInUnused(g *gang, excluded func(v int32) bool) (offer, bool) {
	var best offer
	found := false
	lastSize := 0
	for _, r := range g.account.grants {
		if r.inUse() || r.size == lastSize || !r.admits(g) || e.defersToLarger(g, r) {
			continue
		}
		lastSize = r.size
		o, ok := e.offerRebound(g, r, excluded)
		if ok && (!found || o.lostWork < best.lostWork) {
			best, found = o, true
		}
		if found && len(best.victims) == 0 {
			return best, true
		}
	}
	return best, found
}

// admits reports whether a gang may use the grant: it is bound, large enough and not reserved for another gang.
// Reservations don't hold back urgent gangs.
func (r *grant) admits(g *gang) bool {
	return r.bound() && r.size >= g.size() && (r.reservedFor == nil || r.reservedFor == g || g.Urgent)
}

// usedSize returns the number of accelerators that the grant's users have or claim.
func (r *grant) usedSize() int {
	n := 0
	for _, g := range r.users {
		n += g.size()
	}
	return n
}

// mayReclaimOwn reports whether gangs of the gang's own account may be reclaimed for it although they run within
// guarantees.
func (g *gang) mayReclaimOwn() bool {
	return g.Urgent || g.aged
}

// defersToLarger reports whether the gang leaves an unused guarantee to a larger waiting gang of its account,
// because it needs at most half of it and can borrow.
func (e *Engine) defersToLarger(g *gang, r *grant) bool {
	return g.Checkpointable && !g.Urgent && 2*g.size() <= r.size && g.account.largestWaiting > r.size/2
}

// reclaimable returns a function that returns the accelerators of a grant's region on a worker that are free or may be
// reclaimed for g.
func (e *Engine) reclaimable(g *gang, r *grant) availability {
	sets := make(map[int32]uint64, len(r.region))
	for _, p := range r.region {
		s := &e.ledger.states[p.worker]
		set := p.set & s.inService &^ s.guaranteeClaimed
		for _, v := range s.gangs {
			if !e.canReclaim(v, g) {
				set &^= v.maskOn(p.worker)
			}
		}
		sets[p.worker] = set
	}
	return func(w int32) uint64 { return sets[w] }
}

// canReclaim reports whether gang v may be reclaimed for g or is ending anyway.
func (e *Engine) canReclaim(v, g *gang) bool {
	switch {
	case v.phase == phaseReclaiming || v.phase == phaseStopping:
		return true
	case !v.Checkpointable:
		return false
	case v.grant == nil:
		return true
	default:
		return v.account == g.account && !v.Urgent && g.mayReclaimOwn() && (g.Urgent || v.size() < g.size())
	}
}

// maskOn returns the gang's accelerators on worker w.
func (g *gang) maskOn(w int32) uint64 {
	for _, p := range g.parts {
		if p.worker == w {
			return p.set
		}
	}
	return 0
}

// offerRebound returns the offer with the least lost work for running g within the unused guarantee r. It may rebind
// the guarantee to another region for that.
func (e *Engine) offerRebound(g *gang, r *grant, excluded func(v int32) bool) (offer, bool) {
	var best offer
	found := false
	for _, s := range e.regionCandidates(g, r, excluded) {
		limited := s.restrict(e.ledger.claimable)
		o, ok := e.offerIn(g, s, limited)
		if !ok || (found && o.lostWork >= best.lostWork) {
			continue
		}
		o.grant = r
		if !r.covers(o.parts) {
			o.node = s.node
			o.region = e.ledger.regionAround(s, o.parts, r.size, limited)
			if !e.ledger.canRebind(r, o.node, o.region) {
				continue
			}
		}
		best, found = o, true
		if o.lostWork == 0 {
			break
		}
	}
	if found || excluded != nil && excluded(r.node) {
		return best, found
	}
	return e.offerInRegion(g, r)
}

// offerInRegion returns the offer with the least lost work for running g in the present region of grant r.
func (e *Engine) offerInRegion(g *gang, r *grant) (offer, bool) {
	o, ok := e.offerIn(g, candidate{node: r.node}, e.reclaimable(g, r))
	o.grant = r
	return o, ok
}

// claimable returns the accelerators of a worker to which a guarantee can be bound if unused guarantees are rebound,
// and which no gang claims within a guarantee.
func (l *ledger) claimable(w int32) uint64 {
	return l.rebindable.mask[w] &^ l.states[w].guaranteeClaimed
}

// scoredCandidate is a cell in which the region of a guarantee could be placed, with its estimated cost.
type scoredCandidate struct {
	candidate
	cost cost
}

// regionCandidates returns the cells to which the region of the unused guarantee r, that is the accelerators set aside
// for it, could be moved to run gang g there. These are up to maxRegionCandidates cells with the lowest estimated
// costs, the best first, followed by the cell in which the region lies now; no other guarantee has to move for that
// one. Cells for which excluded is true are left out.
func (e *Engine) regionCandidates(g *gang, r *grant, excluded func(v int32) bool) []candidate {
	var cheapest []scoredCandidate
	e.ledger.rebindable.visit(r.size, excluded, func(s candidate) {
		h := scoredCandidate{candidate: s, cost: e.regionCost(g, r, s)}
		if len(cheapest) == maxRegionCandidates && !h.cost.less(cheapest[len(cheapest)-1].cost) {
			return
		}
		i, _ := slices.BinarySearchFunc(cheapest, h, func(a, b scoredCandidate) int { return slices.Compare(a.cost[:], b.cost[:]) })
		cheapest = slices.Insert(cheapest, i, h)
		cheapest = cheapest[:min(len(cheapest), maxRegionCandidates)]
	})
	candidates := make([]candidate, 0, len(cheapest))
	for _, h := range cheapest {
		candidates = append(candidates, h.candidate)
	}
	if current, ok := e.ledger.topo.candidateAround(r.region, r.size); ok && (excluded == nil || !excluded(current.node)) {
		candidates = append(candidates, current)
	}
	return candidates
}

// regionCost estimates the cost of running g within guarantee r if the region of r is moved to cell s: accelerators to
// reclaim, other guarantees to move, and free cells to split.
func (e *Engine) regionCost(g *gang, r *grant, s candidate) cost {
	l := e.ledger
	used, free := l.usage(s)
	missing := int64(max(0, int32(g.size())-free))
	if s.block == 0 && missing == 0 && int(l.free.summaries[s.node].largestFit[sizeClass(g.size())]) < g.size() {
		missing = 1
	}
	others := int64(0)
	if s.block == 0 {
		others = int64(l.rebindable.summaries[s.node].count - l.unbound.summaries[s.node].count)
	} else {
		others = int64(popCount(l.rebindable.mask[s.node]&s.block) - popCount(l.unbound.mask[s.node]&s.block))
	}
	if r.node == s.node && r.bound() {
		others = max(0, others-int64(r.size))
	}
	if g.size() < r.size {
		return cost{missing, int64(free), others, int64(l.freeNearby(s))}
	}
	return cost{missing, int64(l.freeNearby(s)), others, int64(used)}
}

// offerIn returns the offer with the least lost work for running g in cell s on the accelerators that avail returns,
// which are free or may be reclaimed.
func (e *Engine) offerIn(g *gang, s candidate, avail availability) (offer, bool) {
	n := g.size()
	free := func(w int32) uint64 { return avail(w) & e.ledger.free.mask[w] }
	var tightest candidate
	found := false
	var needVictims []candidate
	e.ledger.topo.visitCandidates(s.node, n, avail, func(c candidate) {
		have := e.ledger.topo.countCandidate(c, free)
		if have >= n {
			c.leftover = int32(have - n)
			if !found || c.leftover < tightest.leftover {
				tightest, found = c, true
			}
			return
		}
		c.leftover = int32(n - have)
		needVictims = append(needVictims, c)
	})
	if found {
		return offer{parts: e.ledger.topo.pick(tightest, n, free)}, true
	}
	slices.SortStableFunc(needVictims, func(a, b candidate) int { return cmp.Compare(a.leftover, b.leftover) })
	var best offer
	for _, c := range needVictims[:min(len(needVictims), maxCellCandidates)] {
		if o, ok := e.selectVictims(n, c, avail); ok && (!found || o.lostWork < best.lostWork) {
			best, found = o, true
		}
	}
	return best, found
}

// countCandidate returns the number of available accelerators of a candidate.
func (t *topology) countCandidate(s candidate, avail availability) int {
	return t.countAvailable(s.node, s.restrict(avail))
}

// victim is a gang that could be reclaimed to make room for another gang in a cell.
type victim struct {
	gang *gang
	// gained is the number of accelerators that reclaiming the gang frees in the cell.
	gained   int
	lostWork float64
}

// selectVictims selects the gangs to reclaim so that n accelerators of cell s can be used, by the least lost work for
// each accelerator gained. It reports false if there are too few. Only accelerators that avail returns are used.
func (e *Engine) selectVictims(n int, s candidate, avail availability) (offer, bool) {
	l := e.ledger
	limited := s.restrict(avail)
	allowed := map[int32]uint64{}
	gains := map[*gang]int{}
	var victims []victim
	have := 0
	nd := &l.topo.nodes[s.node]
	for w := nd.first; w < nd.last; w++ {
		mask := limited(w)
		allowed[w] = mask & (l.free.mask[w] | l.states[w].claimed&^l.states[w].used)
		have += int(popCount(allowed[w]))
		for _, v := range l.states[w].gangs {
			if set := v.maskOn(w) & mask; set != 0 {
				if gains[v] == 0 {
					victims = append(victims, victim{gang: v})
				}
				gains[v] += int(popCount(set))
			}
		}
	}
	for i := range victims {
		victims[i].gained = gains[victims[i].gang]
		victims[i].lostWork = e.lostWork(victims[i].gang)
	}
	slices.SortStableFunc(victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.lostWork/float64(a.gained), b.lostWork/float64(b.gained)), cmp.Compare(a.gang.ID, b.gang.ID))
	})
	for _, v := range victims {
		if have >= n {
			break
		}
		have += v.gained
		for _, p := range v.gang.parts {
			if p.worker >= nd.first && p.worker < nd.last {
				allowed[p.worker] |= p.set & limited(p.worker)
			}
		}
	}
	if have < n {
		return offer{}, false
	}
	o := offer{parts: l.topo.pick(s, n, func(w int32) uint64 { return allowed[w] })}
	for _, v := range victims {
		if v.gang.overlaps(o.parts) {
			o.victims = append(o.victims, v.gang)
			o.lostWork += v.lostWork
		}
	}
	return o, true
}

// lostWork estimates the cost of reclaiming a gang in accelerator-seconds; 0 for a gang that is ending anyway.
func (e *Engine) lostWork(v *gang) float64 {
	if v.phase != phasePlaced {
		return 0
	}
	elapsed := time.Duration(0)
	if !v.started.IsZero() {
		elapsed = e.now.Sub(v.started)
	}
	perAccelerator := e.config.MoveCost.Seconds() + checkpointFailureRate*elapsed.Seconds()
	return perAccelerator * float64(v.size())
}

// overlaps reports whether any accelerators of the gang are also in parts.
func (g *gang) overlaps(parts []workerPart) bool {
	for _, p := range parts {
		if g.maskOn(p.worker)&p.set != 0 {
			return true
		}
	}
	return false
}
