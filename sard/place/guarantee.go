package place

// bind gives a grant its region.
func (l *ledger) bind(r *grant, home int32, region []share) {
	r.home, r.region = home, region
	for _, p := range region {
		s := &l.slots[p.worker]
		s.bound |= p.set
		if r.inUse() {
			s.pinned |= p.set
		}
		s.grants = append(s.grants, r)
		l.touch(p.worker)
	}
}

// unbind takes a grant's region away.
func (l *ledger) unbind(r *grant) {
	for _, p := range r.region {
		s := &l.slots[p.worker]
		s.bound &^= p.set
		s.pinned &^= p.set
		s.grants = without(s.grants, r)
		l.touch(p.worker)
	}
	r.region = nil
}

// join makes a gang a user of a grant, which keeps the region where it is.
func (l *ledger) join(g *gang, r *grant) {
	g.grant = r
	r.users = append(r.users, g)
	if len(r.users) == 1 {
		l.pin(r)
	}
}

// leave ends a gang's use of its grant.
func (l *ledger) leave(g *gang) {
	r := g.grant
	if r == nil {
		return
	}
	g.grant = nil
	r.users = without(r.users, g)
	if !r.inUse() {
		l.unpin(r)
	}
}

func (l *ledger) pin(r *grant) {
	for _, p := range r.region {
		l.slots[p.worker].pinned |= p.set
		l.touch(p.worker)
	}
}

func (l *ledger) unpin(r *grant) {
	for _, p := range r.region {
		l.slots[p.worker].pinned &^= p.set
		l.touch(p.worker)
	}
}

// inRegion returns the accelerators of a grant's region.
func (r *grant) inRegion() masks {
	sets := make(map[int32]uint64, len(r.region))
	for _, p := range r.region {
		sets[p.worker] = p.set
	}
	return func(w int32) uint64 { return sets[w] }
}

// cheapest finds where an unbound grant costs its later users the least: few used accelerators, then the least
// unbroken cell.
func (l *ledger) cheapest(size int) (spot, bool) {
	var found spot
	best, ok := cost{}, false
	l.room.visit(size, nil, func(s spot) {
		used, free := l.load(s)
		if c := (cost{int64(used), int64(l.around(s) + free)}); !ok || c.less(best) {
			found, best, ok = s, c, true
		}
	})
	return found, ok
}

// load returns the used and the free accelerators of a spot.
func (l *ledger) load(s spot) (used, free int32) {
	if s.block == 0 {
		free = l.free.cells[s.node].count
		return l.topo.nodes[s.node].size - free, free
	}
	free = ones(l.free.mask[s.node] & s.block)
	return ones(s.block) - free, free
}

// around returns the free accelerators of the cells around a spot; a broken neighbourhood has few.
func (l *ledger) around(s spot) int32 {
	sum := int32(0)
	v := s.node
	if s.block != 0 {
		sum += l.free.cells[v].count
	}
	for range 3 {
		v = l.topo.nodes[v].parent
		if v == none {
			break
		}
		sum += l.free.cells[v].count
	}
	return sum
}

// settle binds a grant in room that no other grant has.
func (l *ledger) settle(r *grant) bool {
	s, ok := l.cheapest(r.size)
	if !ok {
		return false
	}
	l.bind(r, s.node, l.topo.take(s, r.size, l.room.at))
	return true
}
