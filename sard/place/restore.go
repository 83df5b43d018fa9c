package place

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
	e.ledger.occupy(g)
	e.adopt(g)
	e.resettle = true
	e.load.dirty = true
	return true
}

// adopt makes a gang that runs a user of a guarantee of its account, when one can be bound around it.
func (e *Engine) adopt(g *gang) {
	if len(g.parts) == 0 {
		return
	}
	for _, r := range g.account.grants {
		if r.bound() && r.covers(g.parts) {
			e.enter(g, r)
			return
		}
	}
	for _, r := range g.account.grants {
		if !r.inUse() && r.size >= g.size() && e.bindAround(g, r) {
			e.enter(g, r)
			return
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

// bindAround binds an unused guarantee to a cell around a gang's parts.
func (e *Engine) bindAround(g *gang, r *grant) bool {
	s, ok := e.ledger.topo.spotAround(g.parts, r.size)
	if !ok {
		return false
	}
	avail := s.limit(e.ledger.loose.at)
	outside := func(w int32) uint64 { return avail(w) &^ g.on(w) }
	if e.ledger.topo.count(s.node, outside) < r.size-g.held() {
		return false
	}
	return e.ledger.move(r, s.node, e.ledger.regionAround(s, g.parts, r.size, outside))
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
	if t.leaf(v) && n <= int(t.nodes[v].size) {
		return t.blockAround(v, parts[0].set, n)
	}
	v = t.around(v, n)
	return spot{node: v}, v != none && t.minimal(v, n)
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
