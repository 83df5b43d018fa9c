package place

import "slices"

// covers reports whether all accelerators of parts lie within the grant's region.
func (r *grant) covers(parts []workerPart) bool {
	in := r.regionMasks()
	for _, p := range parts {
		if in(p.worker)&p.set != p.set {
			return false
		}
	}
	return true
}

// regionAround returns a region of size accelerators that contains parts. It takes the rest from the accelerators of
// cell s that avail returns.
func (l *ledger) regionAround(s candidate, parts []workerPart, size int, avail availability) []workerPart {
	sets := map[int32]uint64{}
	n := 0
	for _, p := range parts {
		sets[p.worker] |= p.set
		n += int(popCount(p.set))
	}
	rest := func(w int32) uint64 { return avail(w) &^ sets[w] }
	for _, p := range l.topo.pick(s, size-n, rest) {
		sets[p.worker] |= p.set
	}
	nd := &l.topo.nodes[s.node]
	var region []workerPart
	for w := nd.first; w < nd.last; w++ {
		if sets[w] != 0 {
			region = append(region, workerPart{worker: w, set: sets[w]})
		}
	}
	return region
}

// binding is a saved region of a grant, with which restoreBindings can bind the grant again.
type binding struct {
	grant  *grant
	node   int32
	region []workerPart
}

// rebind binds a grant to a new region and finds other regions for the unused grants that overlap with it. On
// failure it changes nothing.
func (l *ledger) rebind(r *grant, node int32, region []workerPart) bool {
	previous := l.unbindOverlap(r, region)
	l.bind(r, node, region)
	for _, b := range previous[1:] {
		if !l.bindCheapest(b.grant) {
			l.restoreBindings(previous)
			return false
		}
	}
	return true
}

// canRebind reports whether rebind would succeed. It changes nothing.
func (l *ledger) canRebind(r *grant, node int32, region []workerPart) bool {
	previous := l.unbindOverlap(r, region)
	l.bind(r, node, region)
	ok := true
	for _, b := range previous[1:] {
		ok = ok && l.bindCheapest(b.grant)
	}
	l.restoreBindings(previous)
	return ok
}

// unbindOverlap unbinds r and the grants whose regions overlap with region. It returns their bindings until then: first
// that of r, then the others, the largest grant first.
func (l *ledger) unbindOverlap(r *grant, region []workerPart) []binding {
	var others []*grant
	for _, p := range region {
		for _, o := range l.states[p.worker].grants {
			if o != r && !slices.Contains(others, o) && o.overlaps(p) {
				others = append(others, o)
			}
		}
	}
	slices.SortFunc(others, compareGrants)
	previous := make([]binding, 0, len(others)+1)
	for _, o := range append([]*grant{r}, others...) {
		previous = append(previous, binding{grant: o, node: o.node, region: o.region})
		l.unbind(o)
	}
	return previous
}

// overlaps reports whether the grant's region contains any accelerators of p.
func (r *grant) overlaps(p workerPart) bool {
	for _, q := range r.region {
		if q.worker == p.worker && q.set&p.set != 0 {
			return true
		}
	}
	return false
}

// restoreBindings binds grants to their previous regions again.
func (l *ledger) restoreBindings(previous []binding) {
	for _, b := range previous {
		l.unbind(b.grant)
	}
	for _, b := range previous {
		if len(b.region) > 0 {
			l.bind(b.grant, b.node, b.region)
		}
	}
}
