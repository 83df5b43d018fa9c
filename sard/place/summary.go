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
		Breaches:     e.violations,
		LastBreach:   e.lastViolation,
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

// largestFree returns the number of accelerators of the largest cell that is completely free.
func (l *ledger) largestFree() int32 {
	best := int32(0)
	for v := range l.topo.nodes {
		c := &l.free.summaries[v]
		if c.count == l.topo.nodes[v].size {
			best = max(best, c.count)
		}
	}
	for k := 0; best < 1<<k && k < classCount && l.topo.root != none; k++ {
		if int(l.free.summaries[l.topo.root].largestFit[k]) == 1<<k {
			best = max(best, 1<<k)
		}
	}
	return best
}

// countFreeCells counts the smallest aligned cells for n accelerators that have n free ones.
func (e *Engine) countFreeCells(n int) int {
	if e.ledger.topo.root == none {
		return 0
	}
	count := 0
	e.ledger.free.visit(n, nil, func(s candidate) { count++ })
	return count
}

// fragmentation computes Summary.Fragmentation and Summary.Stranded.
func (e *Engine) fragmentation() (fragmentation, stranded float64) {
	shape := e.targetShape()
	free := int(e.ledger.freeTotal())
	if shape == 0 || free == 0 {
		return 0, 0
	}
	inFreeCells := e.countFreeCells(shape) * shape
	if possible := free / shape * shape; possible > 0 {
		fragmentation = max(0, 1-float64(inFreeCells)/float64(possible))
	}
	return fragmentation, float64(max(0, free-inFreeCells)) / float64(max(1, e.ledger.capacity))
}
