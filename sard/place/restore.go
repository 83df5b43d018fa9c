package place

import "slices"

// restore takes in a gang that the previous holder placed.
func (e *Engine) restore(ev Restore) bool {
	if _, known := e.gangs[ev.Job.ID]; known {
		return false
	}
	g := &gang{Job: ev.Job, account: e.account(ev.Job.Account), probe: none, phase: phasePlaced, placed: e.now}
	g.last = "restored after a takeover"
	g.estimate = e.runTimes.estimate(g)
	if ev.Running {
		g.started = ev.Started
		g.placed = ev.Started
	}
	for _, p := range ev.Parts {
		if w := e.ledger.topo.find(p.Worker); w != none {
			g.parts = append(g.parts, share{worker: w, set: uint64(p.Accelerators)})
		}
	}
	e.gangs[g.ID] = g
	e.placed = append(e.placed, g)
	e.restored = append(e.restored, g)
	return false
}

// adoptRestored rebuilds the guarantees around the gangs that were restored, once all of them are known.
func (e *Engine) adoptRestored() {
	if len(e.restored) == 0 {
		return
	}
	within := append(e.users(), e.restored...)
	e.restored = nil
	e.leaveAll()
	e.rebuild(e.ledger.topo, within...)
}

// adopt makes a gang that runs a user of a guarantee of its account, when one can be bound around it. Peers are
// the gangs that may be adopted after it.
func (e *Engine) adopt(g *gang, peers []*gang) {
	if g.grant != nil || len(g.parts) == 0 {
		return
	}
	for _, r := range g.account.grants {
		if r.bound() && r.covers(g.parts) {
			e.enter(g, r)
			return
		}
	}
	for _, r := range g.account.grants {
		if !r.inUse() && r.size >= g.size() && e.bindAround(g, r, peers) {
			e.enterAll(r, peers)
			return
		}
	}
}

// enterAll makes all gangs of the account that the region covers users of a guarantee.
func (e *Engine) enterAll(r *grant, gangs []*gang) {
	for _, g := range gangs {
		if g.account == r.account && g.grant == nil && len(g.parts) > 0 && r.covers(g.parts) {
			e.enter(g, r)
		}
	}
}

// enter makes a running gang a user of a guarantee around it.
func (e *Engine) enter(g *gang, r *grant) {
	e.ledger.join(g, r)
	for _, p := range g.parts {
		e.ledger.slots[p.worker].firm |= p.set
		e.ledger.touch(p.worker)
	}
}

// bindAround binds an unused guarantee to a cell around a gang's parts and those of its account's other gangs there.
func (e *Engine) bindAround(g *gang, r *grant, peers []*gang) bool {
	s, ok := e.ledger.topo.spotAround(g.parts, r.size)
	if !ok {
		return false
	}
	parts := slices.Clone(g.parts)
	left := r.size - g.held()
	for _, p := range peers {
		if p != g && e.joins(p, g) && p.held() <= left && e.ledger.topo.within(p.parts, s) {
			parts = append(parts, p.parts...)
			left -= p.held()
		}
	}
	if e.ledger.pinnedAt(parts) {
		return false
	}
	avail := s.limit(e.ledger.loose.at)
	outside := func(w int32) uint64 { return avail(w) &^ on(parts, w) }
	if e.ledger.topo.count(s.node, outside) < left {
		return false
	}
	return e.ledger.move(r, s.node, e.ledger.regionAround(s, parts, r.size, outside))
}

// joins tells whether p may be adopted together with g.
func (e *Engine) joins(p, g *gang) bool {
	return p.account == g.account && p.grant == nil && !e.ledger.pinnedAt(p.parts)
}

// pinnedAt tells whether some of parts lie in the region of a guarantee in use.
func (l *ledger) pinnedAt(parts []share) bool {
	for _, p := range parts {
		if l.slots[p.worker].pinned&p.set != 0 {
			return true
		}
	}
	return false
}

// on returns the accelerators of parts on worker w.
func on(parts []share, w int32) uint64 {
	set := uint64(0)
	for _, p := range parts {
		if p.worker == w {
			set |= p.set
		}
	}
	return set
}

// within tells whether parts lie in a spot.
func (t *topology) within(parts []share, s spot) bool {
	for _, p := range parts {
		if !t.inside(p.worker, s.node) || (s.block != 0 && p.set&^s.block != 0) {
			return false
		}
	}
	return true
}

// held is the number of accelerators that the gang has.
func (g *gang) held() int {
	n := 0
	for _, p := range g.parts {
		n += int(ones(p.set))
	}
	return n
}

// spotAround returns the smallest aligned cell that holds n accelerators and contains parts.
func (t *topology) spotAround(parts []share, n int) (spot, bool) {
	v := t.common(parts)
	if v == none {
		return spot{}, false
	}
	if t.leaf(v) && n <= int(t.workers[v].Accelerators) {
		return t.blockAround(v, parts[0].set, n)
	}
	v = t.around(v, n)
	return spot{node: v}, v != none
}

// blockAround returns the block of a worker for n accelerators that contains set.
func (t *topology) blockAround(w int32, set uint64, n int) (spot, bool) {
	size := t.workers[w].Accelerators
	k := class(n)
	for i := range blocks(k, int(size)) {
		if b := block(k, i) & fullMask(size); set&^b == 0 {
			return spot{node: w, block: b}, true
		}
	}
	return spot{}, false
}

// common returns the smallest node that contains all parts, or none.
func (t *topology) common(parts []share) int32 {
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
