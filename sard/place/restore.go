package place

import "slices"

// restore adds a gang that was placed before a takeover.
func (e *Engine) restore(ev Restore) bool {
	if _, known := e.gangs[ev.Job.ID]; known {
		return false
	}
	g := &gang{Job: ev.Job, account: e.account(ev.Job.Account), probedWorker: none, phase: phasePlaced, placed: e.now}
	g.lastDecision = "restored after a takeover"
	g.estimate = e.runTimes.estimate(g)
	if ev.Running {
		g.started = ev.Started
		g.placed = ev.Started
	}
	for _, p := range ev.Parts {
		if w := e.ledger.topo.workerIndex(p.Worker); w != none {
			g.parts = append(g.parts, workerPart{worker: w, set: uint64(p.Accelerators)})
		}
	}
	e.gangs[g.ID] = g
	e.placed = append(e.placed, g)
	e.restored = append(e.restored, g)
	return false
}

// adoptRestored rebuilds the ledger with the restored gangs once all of them are known.
func (e *Engine) adoptRestored() {
	if len(e.restored) == 0 {
		return
	}
	guaranteed := append(e.guaranteedGangs(), e.restored...)
	e.restored = nil
	e.releaseAllGrants()
	e.rebuild(e.ledger.topo, guaranteed...)
}

// adopt assigns a running gang to a guarantee of its account if one can be bound around it. Peers are the gangs
// that may be adopted after it.
func (e *Engine) adopt(g *gang, peers []*gang) {
	if g.grant != nil || len(g.parts) == 0 {
		return
	}
	for _, r := range g.account.grants {
		if r.bound() && r.covers(g.parts) {
			e.assignGrant(g, r)
			return
		}
	}
	for _, r := range g.account.grants {
		if !r.inUse() && r.size >= g.size() && e.bindAround(g, r, peers) {
			e.assignCovered(r, peers)
			return
		}
	}
}

// assignCovered assigns to a guarantee all gangs of its account that its region covers.
func (e *Engine) assignCovered(r *grant, gangs []*gang) {
	for _, g := range gangs {
		if g.account == r.account && g.grant == nil && len(g.parts) > 0 && r.covers(g.parts) {
			e.assignGrant(g, r)
		}
	}
}

// assignGrant makes a running gang a user of a guarantee whose region covers it.
func (e *Engine) assignGrant(g *gang, r *grant) {
	e.ledger.addUser(g, r)
	for _, p := range g.parts {
		e.ledger.states[p.worker].protected |= p.set
		e.ledger.updateIndexes(p.worker)
	}
}

// bindAround binds an unused guarantee to a cell around a gang's parts and those of its account's other gangs
// there.
func (e *Engine) bindAround(g *gang, r *grant, peers []*gang) bool {
	s, ok := e.ledger.topo.candidateAround(g.parts, r.size)
	if !ok {
		return false
	}
	parts := slices.Clone(g.parts)
	room := r.size - g.partsSize()
	for _, p := range peers {
		if p != g && e.canShareGrant(p, g) && p.partsSize() <= room && e.ledger.topo.containsParts(p.parts, s) {
			parts = append(parts, p.parts...)
			room -= p.partsSize()
		}
	}
	if e.ledger.overlapsPinned(parts) {
		return false
	}
	avail := s.restrict(e.ledger.rebindable.available)
	remaining := func(w int32) uint64 { return avail(w) &^ maskOnWorker(parts, w) }
	if e.ledger.topo.countAvailable(s.node, remaining) < room {
		return false
	}
	return e.ledger.rebind(r, s.node, e.ledger.regionAround(s, parts, r.size, remaining))
}

// canShareGrant reports whether p may be adopted into the same guarantee as g.
func (e *Engine) canShareGrant(p, g *gang) bool {
	return p.account == g.account && p.grant == nil && !e.ledger.overlapsPinned(p.parts)
}

// overlapsPinned reports whether some of parts lie in the region of a guarantee in use.
func (l *ledger) overlapsPinned(parts []workerPart) bool {
	for _, p := range parts {
		if l.states[p.worker].pinned&p.set != 0 {
			return true
		}
	}
	return false
}

// maskOnWorker returns the accelerators of parts on worker w.
func maskOnWorker(parts []workerPart, w int32) uint64 {
	set := uint64(0)
	for _, p := range parts {
		if p.worker == w {
			set |= p.set
		}
	}
	return set
}

// containsParts reports whether parts lie within a candidate.
func (t *topology) containsParts(parts []workerPart, s candidate) bool {
	for _, p := range parts {
		if !t.inside(p.worker, s.node) || (s.block != 0 && p.set&^s.block != 0) {
			return false
		}
	}
	return true
}

// partsSize returns the number of accelerators that the gang has.
func (g *gang) partsSize() int {
	n := 0
	for _, p := range g.parts {
		n += int(popCount(p.set))
	}
	return n
}

// candidateAround returns the smallest aligned cell that holds n accelerators and contains parts.
func (t *topology) candidateAround(parts []workerPart, n int) (candidate, bool) {
	v := t.commonNode(parts)
	if v == none {
		return candidate{}, false
	}
	if t.isLeaf(v) && n <= int(t.workers[v].Accelerators) {
		return t.blockAround(v, parts[0].set, n)
	}
	v = t.enclosing(v, n)
	return candidate{node: v}, v != none
}

// blockAround returns the block of a worker for n accelerators that contains set.
func (t *topology) blockAround(w int32, set uint64, n int) (candidate, bool) {
	size := t.workers[w].Accelerators
	k := sizeClass(n)
	for i := range blockCount(k, int(size)) {
		if b := blockMask(k, i) & fullMask(size); set&^b == 0 {
			return candidate{node: w, block: b}, true
		}
	}
	return candidate{}, false
}

// commonNode returns the smallest node that contains all parts, or none.
func (t *topology) commonNode(parts []workerPart) int32 {
	if len(parts) == 0 {
		return none
	}
	v := parts[0].worker
	for _, p := range parts {
		for v != none && !t.inside(p.worker, v) {
			v = t.nodes[v].parent
		}
	}
	return v
}
