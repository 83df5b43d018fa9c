package place

import "math/bits"

// classCount is the number of size classes of gangs. Class k holds the sizes above 2^(k-1) up to 2^k: 1, 2, 3 to 4,
// ..., 129 to 256.
const classCount = 9

// nodeSummary aggregates the available accelerators below a node.
type nodeSummary struct {
	// count is the number of available accelerators.
	count int32
	// largestFit is, for each size class, the size of the largest gang of the class for which some smallest aligned
	// cell below the node has enough available accelerators.
	largestFit [classCount]uint16
}

// cellIndex finds smallest aligned cells with enough available accelerators. Its user defines which accelerators are
// available: the ledger keeps one index of free accelerators, and others of those to which guarantees can be bound.
type cellIndex struct {
	topo      *topology
	mask      []uint64
	summaries []nodeSummary
}

// newIndex returns a cellIndex in which no accelerator is available.
func newIndex(topo *topology) *cellIndex {
	return &cellIndex{
		topo:      topo,
		mask:      make([]uint64, len(topo.workers)),
		summaries: make([]nodeSummary, len(topo.nodes)),
	}
}

// set replaces the available accelerators of worker w by mask.
func (x *cellIndex) set(w int32, mask uint64) {
	if x.mask[w] == mask {
		return
	}
	x.mask[w] = mask
	x.refresh(w)
}

// refresh recomputes the summaries of worker w and of the cells that contain it.
func (x *cellIndex) refresh(w int32) {
	x.summaries[w] = summarizeWorker(x.mask[w], int(x.topo.workers[w].Accelerators))
	for v := x.topo.nodes[w].parent; v != none; v = x.topo.nodes[v].parent {
		x.summarize(v)
	}
}

// summarizeWorker computes the summary of a worker of size accelerators.
func summarizeWorker(mask uint64, size int) nodeSummary {
	c := nodeSummary{count: int32(bits.OnesCount64(mask))}
	for k := 0; k < classCount && 1<<k < 2*size; k++ {
		for i := range blockCount(k, size) {
			if n := bits.OnesCount64(mask & blockMask(k, i)); n > (1<<k)/2 {
				c.largestFit[k] = max(c.largestFit[k], uint16(n))
			}
		}
	}
	return c
}

// summarize computes the summary of node v from its children.
func (x *cellIndex) summarize(v int32) {
	nd := &x.topo.nodes[v]
	l, r, c := &x.summaries[nd.left], &x.summaries[nd.right], &x.summaries[v]
	c.count = l.count + r.count
	for k := range classCount {
		c.largestFit[k] = max(l.largestFit[k], r.largestFit[k])
		low := max(nd.largestChild, int32(1<<k)/2)
		if high := min(c.count, 1<<k); high > low {
			c.largestFit[k] = max(c.largestFit[k], uint16(high))
		}
	}
}

// candidate is a smallest aligned cell in which a gang or a region could be placed: a node, or a block of a worker.
type candidate struct {
	node int32
	// block is the mask of the cell on a worker; 0 for a whole node.
	block uint64
	// freeAround is the size of the largest cell around the candidate whose accelerators are all available; 0 when
	// some accelerator of the candidate isn't.
	freeAround int32
	// leftover is the number of available accelerators of the candidate that the gang doesn't need. For candidates in
	// which gangs must be reclaimed, offerIn sets it to the number that the gang lacks.
	leftover int32
}

// visit calls fn for each smallest aligned cell that has n available accelerators. It skips the nodes for which prune
// is true and all below them; a nil prune skips none.
func (x *cellIndex) visit(n int, prune func(v int32) bool, fn func(candidate)) {
	if prune == nil {
		prune = func(int32) bool { return false }
	}
	x.visitFrom(n, prune, fn)
}

// visitDistinct is like visit, but calls fn only once for the equivalent candidates of a fully available cell.
func (x *cellIndex) visitDistinct(n int, fn func(candidate)) {
	x.visitFrom(n, nil, fn)
}

// visitFrom calls fn for the smallest aligned cells that have n available accelerators, as walk does from the root. It
// does nothing if there are no workers or n is larger than any gang.
func (x *cellIndex) visitFrom(n int, prune func(v int32) bool, fn func(candidate)) {
	if x.topo.root != none && n <= int(MaxGangSize) {
		x.walk(x.topo.root, n, 0, prune, fn)
	}
}

// walk visits the smallest aligned cells for n below node v. With a nil prune, one candidate represents all those of a
// fully available cell.
func (x *cellIndex) walk(v int32, n int, freeAround int32, prune func(v int32) bool, fn func(candidate)) {
	c, nd := &x.summaries[v], &x.topo.nodes[v]
	if int(c.largestFit[sizeClass(n)]) < n || (prune != nil && prune(v)) {
		return
	}
	if freeAround == 0 && c.count == nd.size {
		freeAround = nd.size
	}
	switch {
	case x.topo.isLeaf(v):
		x.walkWorker(v, n, freeAround, prune == nil, fn)
	case n > int(nd.largestChild):
		if int(c.count) >= n {
			fn(candidate{node: v, freeAround: freeAround, leftover: c.count - int32(n)})
		}
	default:
		x.walk(nd.left, n, freeAround, prune, fn)
		if freeAround == 0 || int(x.topo.nodes[nd.left].size) < n || prune != nil {
			x.walk(nd.right, n, freeAround, prune, fn)
		}
	}
}

// walkWorker visits the blocks of worker w that have n available accelerators; only the first one if distinct is set
// and the worker is part of a fully available cell.
func (x *cellIndex) walkWorker(w int32, n int, freeAround int32, distinct bool, fn func(candidate)) {
	size := int(x.topo.workers[w].Accelerators)
	k := sizeClass(n)
	for i := range blockCount(k, size) {
		b := blockMask(k, i) & fullMask(x.topo.workers[w].Accelerators)
		have := bits.OnesCount64(x.mask[w] & b)
		if have < n {
			continue
		}
		s := candidate{node: w, block: b, freeAround: freeAround, leftover: int32(have - n)}
		if freeAround == 0 && x.mask[w]&b == b {
			s.freeAround = wholeBlock(x.mask[w], k, i, size)
		}
		fn(s)
		if freeAround != 0 && distinct {
			return
		}
	}
}

// wholeBlock returns the size of the largest fully available aligned block around the i-th block of 2^k
// accelerators.
func wholeBlock(mask uint64, k, i, size int) int32 {
	for 1<<(k+1) <= size && mask&blockMask(k+1, i/2) == blockMask(k+1, i/2) {
		k, i = k+1, i/2
	}
	return 1 << k
}

// availability is a function that returns the available accelerators of a worker.
type availability func(w int32) uint64

// available returns the available accelerators of a worker.
func (x *cellIndex) available(w int32) uint64 { return x.mask[w] }
