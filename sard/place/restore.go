package place

import "slices"

// restore adds a gang that an earlier engine has placed.
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

// adopt lets a running gang without a guarantee use one of its account: one whose region covers the gang, or an unused
// one that can be bound around it. Peers are other gangs that may come into the same region.
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

// assignCovered makes users of a guarantee all gangs of its account in the list that lie within its region and use no
// other guarantee.
func (e *Engine) assignCovered(r *grant, gangs []*gang) {
	for _, g := range gangs {
		if g.account == r.account && g.grant == nil && len(g.parts) > 0 && r.covers(g.parts) {
			e.assignGrant(g, r)
		}
	}
}

// assignGrant makes a running gang a user of a guarantee whose region covers the gang.
func (e *Engine) assignGrant(g *gang, r *grant) {
	e.ledger.addUser(g, r)
	for _, p := range g.parts {
		e.ledger.states[p.worker].protected |= p.set
		e.ledger.updateIndexes(p.worker)
	}
}

// bindAround binds the unused guarantee r to a region that contains the accelerators of g, and of those peers that
// share its cell and may use r too. It reports whether it could.
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

// canShareGrant reports whether gang p may use the same guarantee as g: it belongs to the same account, uses no
// guarantee and has no accelerators in the region of one in use.
func (e *Engine) canShareGrant(p, g *gang) bool {
	return p.account == g.account && p.grant == nil && !e.ledger.overlapsPinned(p.parts)
}

// overlapsPinned reports whether any accelerator of parts belongs to a pinned region: accelerators set aside for a
// guarantee that gangs are using, so that they can't be exchanged for others.
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

// containsParts reports whether all accelerators of parts lie within a candidate cell.
func (t *topology) containsParts(parts []workerPart, s candidate) bool {
	for _, p := range parts {
		if !t.inside(p.worker, s.node) || (s.block != 0 && p.set&^s.block != 0) {
			return false
		}
	}
	return true
}

// partsSize returns the number of accelerators in the gang's parts. It is less than the gang's size after workers were
// removed.
func (g *gang) partsSize() int {
	n := 0
	for _, p := range g.parts {
		n += int(popCount(p.set))
	}
	return n
}

// candidateAround returns the smallest aligned cell that has n accelerators and contains parts, or false if there is
// none.
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

// blockAround returns the smallest aligned block of worker w for n accelerators that contains set, or false if there is
// none.
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
