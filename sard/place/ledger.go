package place

import "slices"

// workerState is the allocation state of one worker. Its masks are sets of the worker's accelerators.
type workerState struct {
	// inService are the accelerators that may be allocated.
	inService uint64
	// used are the accelerators of placed gangs, claimed those of claiming gangs.
	used, claimed uint64
	// guaranteeClaimed is the subset of claimed that is claimed within guarantees. Other claims yield to
	// guarantees.
	guaranteeClaimed uint64
	// protected are the accelerators of gangs that other accounts can't reclaim.
	protected uint64
	// bound are the accelerators in the regions of guarantees, pinned those in regions that are in use.
	bound, pinned uint64

	gangs  []*gang
	grants []*grant
}

// ledger records which accelerators gangs use and claim and which ones guarantees are bound to, with indexes over them.
type ledger struct {
	topo   *topology
	states []workerState
	// capacity is the number of accelerators in service.
	capacity int
	// cellCounts caches the results of cellsOfClass by size class; 0 means not counted since accelerators went in
	// or out of service.
	cellCounts [classCount]int
	// free indexes the accelerators that are neither used nor claimed.
	free *cellIndex
	// unbound indexes the accelerators to which a guarantee can be bound while all others keep their regions.
	unbound *cellIndex
	// rebindable indexes the accelerators to which a guarantee can be bound if unused guarantees are rebound
	// elsewhere.
	rebindable *cellIndex
}

// newLedger returns a ledger in which no accelerator is in service.
func newLedger(topo *topology) *ledger {
	return &ledger{
		topo:       topo,
		states:     make([]workerState, len(topo.workers)),
		free:       newIndex(topo),
		unbound:    newIndex(topo),
		rebindable: newIndex(topo),
	}
}

// updateIndexes updates the indexes after the state of worker w has changed.
func (l *ledger) updateIndexes(w int32) {
	s := &l.states[w]
	l.free.set(w, s.inService&^s.used&^s.claimed)
	l.unbound.set(w, s.inService&^s.bound&^s.protected)
	l.rebindable.set(w, s.inService&^s.pinned&^s.protected)
}

// setInService sets the accelerators of a worker that are in service.
func (l *ledger) setInService(w int32, mask uint64) {
	if l.states[w].inService == mask {
		return
	}
	l.capacity += int(popCount(mask) - popCount(l.states[w].inService))
	l.states[w].inService = mask
	l.topo.resize(w, popCount(mask))
	l.cellCounts = [classCount]int{}
	l.updateIndexes(w)
	for _, x := range []*cellIndex{l.free, l.unbound, l.rebindable} {
		x.refresh(w)
	}
}

// cellsOfClass returns the number of nodes that are smallest aligned cells for gangs of 2^k accelerators, at least 1.
func (l *ledger) cellsOfClass(k int) int {
	if l.cellCounts[k] == 0 {
		l.cellCounts[k] = max(1, l.topo.countMinimal(1<<k))
	}
	return l.cellCounts[k]
}

// freeTotal returns the number of free accelerators.
func (l *ledger) freeTotal() int32 {
	if l.topo.root == none {
		return 0
	}
	return l.free.summaries[l.topo.root].count
}

// occupy records that a placed gang uses the accelerators of its parts.
func (l *ledger) occupy(g *gang) {
	for _, p := range g.parts {
		s := &l.states[p.worker]
		s.used |= p.set
		if g.protected() {
			s.protected |= p.set
		}
		s.gangs = append(s.gangs, g)
		l.updateIndexes(p.worker)
	}
}

// vacate records that a gang no longer uses the accelerators of its parts.
func (l *ledger) vacate(g *gang) {
	for _, p := range g.parts {
		s := &l.states[p.worker]
		s.used &^= p.set
		s.protected &^= p.set
		s.gangs = remove(s.gangs, g)
		l.updateIndexes(p.worker)
	}
}

// claim records that a gang claims the accelerators of its parts, so that no other gang is placed on them.
func (l *ledger) claim(g *gang) {
	for _, p := range g.parts {
		s := &l.states[p.worker]
		s.claimed |= p.set
		if g.grant != nil {
			s.guaranteeClaimed |= p.set
		}
		l.updateIndexes(p.worker)
	}
}

// releaseClaim records that the accelerators of parts are no longer claimed.
func (l *ledger) releaseClaim(parts []workerPart) {
	for _, p := range parts {
		s := &l.states[p.worker]
		s.claimed &^= p.set
		s.guaranteeClaimed &^= p.set
		l.updateIndexes(p.worker)
	}
}

// unused reports whether no gang uses any accelerator of parts.
func (l *ledger) unused(parts []workerPart) bool {
	for _, p := range parts {
		if l.states[p.worker].used&p.set != 0 {
			return false
		}
	}
	return true
}

// allInService reports whether all accelerators of parts are in service.
func (l *ledger) allInService(parts []workerPart) bool {
	for _, p := range parts {
		if l.states[p.worker].inService&p.set != p.set {
			return false
		}
	}
	return true
}

// remove deletes the first occurrence of value from list.
func remove[T comparable](list []T, value T) []T {
	i := slices.Index(list, value)
	if i < 0 {
		return list
	}
	return slices.Delete(list, i, i+1)
}
