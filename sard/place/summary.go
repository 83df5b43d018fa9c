package place

import "github.com/sardineline/sardineline/sard/ident"

// Summary returns the load of the domain.
func (e *Engine) Summary() Summary {
	l := e.ledger
	s := Summary{
		Accelerators: ident.Accelerators(l.capacity),
		Free:         ident.Accelerators(l.freeTotal()),
		Waiting:      len(e.waiting) + len(e.claims),
		Placed:       len(e.placed),
		Shortages:    append([]Shortage(nil), e.shortages...),
		Breaches:     e.breaches,
		LastBreach:   e.breach,
		Quarantined:  append([]ident.Worker(nil), e.quarantined...),
	}
	for _, g := range e.placed {
		if g.grant == nil {
			s.Borrowed += g.Accelerators
		}
	}
	s.LargestFree = ident.Accelerators(l.largestFree())
	s.Fragmentation, s.Stranded = e.fragmentation()
	return s
}

// largestFree is the size of the largest cell whose accelerators are all free.
func (l *ledger) largestFree() int32 {
	best := int32(0)
	for v := range l.topo.nodes {
		c := &l.free.cells[v]
		if c.count == l.topo.nodes[v].size {
			best = max(best, c.count)
		}
	}
	for k := 0; best < 1<<k && k < classes && l.topo.root != none; k++ {
		if int(l.free.cells[l.topo.root].best[k]) == 1<<k {
			best = max(best, 1<<k)
		}
	}
	return best
}

// wholeCells counts the cells that hold a gang of n at once.
func (e *Engine) wholeCells(n int) int {
	if e.ledger.topo.root == none {
		return 0
	}
	count := 0
	e.ledger.free.visit(n, nil, func(s spot) { count++ })
	return count
}

// fragmentation is that of the largest shape that waits or is guaranteed, and the stranded share of all accelerators.
func (e *Engine) fragmentation() (fragmentation, stranded float64) {
	shape := e.goalShape()
	free := int(e.ledger.freeTotal())
	if shape == 0 || free == 0 {
		return 0, 0
	}
	whole := e.wholeCells(shape) * shape
	if possible := free / shape * shape; possible > 0 {
		fragmentation = max(0, 1-float64(whole)/float64(possible))
	}
	return fragmentation, float64(max(0, free-whole)) / float64(max(1, e.ledger.capacity))
}
