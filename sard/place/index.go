package place

import "math/bits"

// classes is the number of size classes of gangs: 1, 2, 3 to 4, ..., 129 to 256.
const classes = 9

// cell sums what an index knows of a node.
type cell struct {
	// count is the number of accelerators that are available.
	count int32
	// best is, for each size class, the largest gang that fits a smallest aligned cell below the node.
	best [classes]uint16
}

// index finds smallest aligned cells with enough available accelerators. Which accelerators are available is
// the owner's matter: it keeps one index for free accelerators and others for guarantees.
type index struct {
	topo  *topology
	mask  []uint64
	cells []cell
}

func newIndex(topo *topology) *index {
	return &index{
		topo:  topo,
		mask:  make([]uint64, len(topo.workers)),
		cells: make([]cell, len(topo.nodes)),
	}
}

// set makes the accelerators of mask, and no others, available on worker w.
func (x *index) set(w int32, mask uint64) {
	if x.mask[w] == mask {
		return
	}
	x.mask[w] = mask
	x.refresh(w)
}

// refresh sums the cells around worker w anew.
func (x *index) refresh(w int32) {
	x.cells[w] = workerCell(x.mask[w], int(x.topo.workers[w].Accelerators))
	for v := x.topo.nodes[w].parent; v != none; v = x.topo.nodes[v].parent {
		x.sum(v)
	}
}

func workerCell(mask uint64, size int) cell {
	c := cell{count: int32(bits.OnesCount64(mask))}
	for k := 0; k < classes && 1<<k < 2*size; k++ {
		for i := range blocks(k, size) {
			if n := bits.OnesCount64(mask & block(k, i)); n > (1<<k)/2 {
				c.best[k] = max(c.best[k], uint16(n))
			}
		}
	}
	return c
}

func (x *index) sum(v int32) {
	nd := &x.topo.nodes[v]
	l, r, c := &x.cells[nd.left], &x.cells[nd.right], &x.cells[v]
	c.count = l.count + r.count
	for k := range classes {
		c.best[k] = max(l.best[k], r.best[k])
		low := max(nd.largest, int32(1<<k)/2)
		if high := min(c.count, 1<<k); high > low {
			c.best[k] = max(c.best[k], uint16(high))
		}
	}
}

// spot is a smallest aligned cell for a gang: a node, or a block of a worker.
type spot struct {
	node int32
	// block is the mask of the cell on a worker; 0 for a node above workers.
	block uint64
	// whole is the size of the largest cell around the spot of which every accelerator is available; 0 when some
	// accelerator of the spot is not.
	whole int32
	// rest is the number of available accelerators of the spot that the gang leaves.
	rest int32
}

// visit calls see for each spot with n available accelerators. prune tells which nodes to leave out; nil for none.
func (x *index) visit(n int, prune func(v int32) bool, see func(spot)) {
	if prune == nil {
		prune = func(int32) bool { return false }
	}
	x.start(n, prune, see)
}

// visitKinds is visit, but calls see for one spot only of a cell that is available as a whole.
func (x *index) visitKinds(n int, see func(spot)) {
	x.start(n, nil, see)
}

func (x *index) start(n int, prune func(v int32) bool, see func(spot)) {
	if x.topo.root != none && n <= int(MaxGangSize) {
		x.walk(x.topo.root, n, 0, prune, see)
	}
}

// walk visits the spots below v. Without prune, one spot stands for those of a whole cell.
func (x *index) walk(v int32, n int, whole int32, prune func(v int32) bool, see func(spot)) {
	c, nd := &x.cells[v], &x.topo.nodes[v]
	if int(c.best[class(n)]) < n || (prune != nil && prune(v)) {
		return
	}
	if whole == 0 && c.count == nd.size {
		whole = nd.size
	}
	switch {
	case x.topo.leaf(v):
		x.walkWorker(v, n, whole, prune == nil, see)
	case n > int(nd.largest):
		if int(c.count) >= n {
			see(spot{node: v, whole: whole, rest: c.count - int32(n)})
		}
	default:
		x.walk(nd.left, n, whole, prune, see)
		if whole == 0 || int(x.topo.nodes[nd.left].size) < n || prune != nil {
			x.walk(nd.right, n, whole, prune, see)
		}
	}
}

func (x *index) walkWorker(w int32, n int, whole int32, kinds bool, see func(spot)) {
	size := int(x.topo.workers[w].Accelerators)
	k := class(n)
	for i := range blocks(k, size) {
		b := block(k, i) & fullMask(x.topo.workers[w].Accelerators)
		have := bits.OnesCount64(x.mask[w] & b)
		if have < n {
			continue
		}
		s := spot{node: w, block: b, whole: whole, rest: int32(have - n)}
		if whole == 0 && x.mask[w]&b == b {
			s.whole = wholeBlock(x.mask[w], k, i, size)
		}
		see(s)
		if whole != 0 && kinds {
			return
		}
	}
}

// wholeBlock is the size of the largest available aligned block around the i-th block of 2^k accelerators.
func wholeBlock(mask uint64, k, i, size int) int32 {
	for 1<<(k+1) <= size && mask&block(k+1, i/2) == block(k+1, i/2) {
		k, i = k+1, i/2
	}
	return 1 << k
}

// masks tells which accelerators of a worker are available.
type masks func(w int32) uint64

// at returns the available accelerators of a worker.
func (x *index) at(w int32) uint64 { return x.mask[w] }
