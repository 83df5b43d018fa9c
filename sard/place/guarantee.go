package place

// bind sets a grant's region, and node as the smallest aligned cell around it.
func (l *ledger) bind(r *grant, node int32, region []workerPart) {
	r.node, r.region = node, region
	for _, p := range region {
		s := &l.states[p.worker]
		s.bound |= p.set
		if r.inUse() {
			s.pinned |= p.set
		}
		s.grants = append(s.grants, r)
		l.updateIndexes(p.worker)
	}
}

// unbind takes a grant's region away from it, so that other grants can be bound to the accelerators.
func (l *ledger) unbind(r *grant) {
	for _, p := range r.region {
		s := &l.states[p.worker]
		s.bound &^= p.set
		s.pinned &^= p.set
		s.grants = remove(s.grants, r)
		l.updateIndexes(p.worker)
	}
	r.region = nil
}

// addUser records that a gang runs or claims accelerators within a grant. The first user pins the region.
func (l *ledger) addUser(g *gang, r *grant) {
	g.grant = r
	r.users = append(r.users, g)
	if len(r.users) == 1 {
		l.pin(r)
	}
}

// removeUser ends a gang's use of its grant. The last user unpins the region.
func (l *ledger) removeUser(g *gang) {
	r := g.grant
	if r == nil {
		return
	}
	g.grant = nil
	r.users = remove(r.users, g)
	if !r.inUse() {
		l.unpin(r)
	}
}

// pin marks a grant's region as in use, so that the grant isn't rebound.
func (l *ledger) pin(r *grant) {
	for _, p := range r.region {
		l.states[p.worker].pinned |= p.set
		l.updateIndexes(p.worker)
	}
}

// unpin marks a grant's region as unused, so that the grant can be rebound.
func (l *ledger) unpin(r *grant) {
	for _, p := range r.region {
		l.states[p.worker].pinned &^= p.set
		l.updateIndexes(p.worker)
	}
}

// regionMasks returns a function that returns the accelerators of the grant's region on a worker.
func (r *grant) regionMasks() availability {
	sets := make(map[int32]uint64, len(r.region))
	for _, p := range r.region {
		sets[p.worker] = p.set
	}
	return func(w int32) uint64 { return sets[w] }
}

// cheapestCandidate selects the cell in which the region of a grant of size accelerators costs the grant's later users
// the least: few used accelerators first, then few free accelerators in and around the cell, so that larger free cells
// stay whole. It considers only accelerators to which a guarantee can be bound while all others keep their regions.
func (l *ledger) cheapestCandidate(size int) (candidate, bool) {
	var found candidate
	best, ok := cost{}, false
	l.unbound.visit(size, nil, func(s candidate) {
		used, free := l.usage(s)
		if c := (cost{int64(used), int64(l.freeNearby(s) + free)}); !ok || c.less(best) {
			found, best, ok = s, c, true
		}
	})
	return found, ok
}

// usage returns the numbers of used and free accelerators of a candidate cell.
func (l *ledger) usage(s candidate) (used, free int32) {
	if s.block == 0 {
		free = l.free.summaries[s.node].count
		return l.topo.nodes[s.node].size - free, free
	}
	free = popCount(l.free.mask[s.node] & s.block)
	return popCount(s.block) - free, free
}

// freeNearby sums the free accelerators of the cells that enclose a candidate. A low sum means that its
// surroundings are fragmented already.
func (l *ledger) freeNearby(s candidate) int32 {
	sum := int32(0)
	v := s.node
	if s.block != 0 {
		sum += l.free.summaries[v].count
	}
	for range 3 {
		v = l.topo.nodes[v].parent
		if v == none {
			break
		}
		sum += l.free.summaries[v].count
	}
	return sum
}

// bindCheapest binds a grant to the region with the lowest cost for its later users, outside the regions of other
// grants. It reports false if there is no room for one.
func (l *ledger) bindCheapest(r *grant) bool {
	s, ok := l.cheapestCandidate(r.size)
	if !ok {
		return false
	}
	l.bind(r, s.node, l.topo.pick(s, r.size, l.unbound.available))
	return true
}
