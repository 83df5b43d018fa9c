package place

import "slices"

// covers tells whether parts lie within the grant's region.
func (r *grant) covers(parts []share) bool {
	in := r.inRegion()
	for _, p := range parts {
		if in(p.worker)&p.set != p.set {
			return false
		}
	}
	return true
}

// regionAround makes a region of size accelerators within a spot that contains parts.
func (l *ledger) regionAround(s spot, parts []share, size int, avail masks) []share {
	sets := map[int32]uint64{}
	n := 0
	for _, p := range parts {
		sets[p.worker] |= p.set
		n += int(ones(p.set))
	}
	rest := func(w int32) uint64 { return avail(w) &^ sets[w] }
	for _, p := range l.topo.take(s, size-n, rest) {
		sets[p.worker] |= p.set
	}
	nd := &l.topo.nodes[s.node]
	var region []share
	for w := nd.first; w < nd.last; w++ {
		if sets[w] != 0 {
			region = append(region, share{worker: w, set: sets[w]})
		}
	}
	return region
}

// binding is where a grant was bound.
type binding struct {
	grant  *grant
	home   int32
	region []share
}

// move binds a grant anew and finds other regions for the unused grants that are in its way. It changes nothing
// when it fails.
func (l *ledger) move(r *grant, home int32, region []share) bool {
	old := l.unbindOverlap(r, region)
	l.bind(r, home, region)
	for _, b := range old[1:] {
		if !l.settle(b.grant) {
			l.undo(old)
			return false
		}
	}
	return true
}

// canMove tells whether move would succeed. It changes nothing.
func (l *ledger) canMove(r *grant, home int32, region []share) bool {
	old := l.unbindOverlap(r, region)
	l.bind(r, home, region)
	ok := true
	for _, b := range old[1:] {
		ok = ok && l.settle(b.grant)
	}
	l.undo(old)
	return ok
}

// unbindOverlap unbinds r and the grants whose regions overlap with a region. It returns r's binding, then the
// others, the largest first.
func (l *ledger) unbindOverlap(r *grant, region []share) []binding {
	var others []*grant
	for _, p := range region {
		for _, o := range l.slots[p.worker].grants {
			if o != r && !slices.Contains(others, o) && o.touches(p) {
				others = append(others, o)
			}
		}
	}
	slices.SortFunc(others, bySize)
	old := make([]binding, 0, len(others)+1)
	for _, o := range append([]*grant{r}, others...) {
		old = append(old, binding{grant: o, home: o.home, region: o.region})
		l.unbind(o)
	}
	return old
}

func (r *grant) touches(p share) bool {
	for _, q := range r.region {
		if q.worker == p.worker && q.set&p.set != 0 {
			return true
		}
	}
	return false
}

// undo binds grants as they were.
func (l *ledger) undo(old []binding) {
	for _, b := range old {
		l.unbind(b.grant)
	}
	for _, b := range old {
		if len(b.region) > 0 {
			l.bind(b.grant, b.home, b.region)
		}
	}
}
