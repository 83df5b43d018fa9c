package place

import "math/bits"

// workerPart is a set of accelerators of one worker: a part of a gang or of a region.
type workerPart struct {
	worker int32
	set    uint64
}

// countAvailable returns the number of available accelerators below node v.
func (t *topology) countAvailable(v int32, avail availability) int {
	n := 0
	for w := t.nodes[v].first; w < t.nodes[v].last; w++ {
		n += bits.OnesCount64(avail(w))
	}
	return n
}

// visitCandidates calls fn for each smallest aligned cell below v that has n available accelerators.
func (t *topology) visitCandidates(v int32, n int, avail availability, fn func(candidate)) {
	nd := &t.nodes[v]
	switch {
	case int(nd.size) < n:
	case t.isLeaf(v):
		t.visitBlocks(v, n, avail(v), fn)
	case n > int(nd.largestChild):
		if have := t.countAvailable(v, avail); have >= n {
			fn(candidate{node: v, leftover: int32(have - n)})
		}
	default:
		t.visitCandidates(nd.left, n, avail, fn)
		t.visitCandidates(nd.right, n, avail, fn)
	}
}

// visitBlocks calls fn for each smallest aligned block of worker w that has n accelerators of mask.
func (t *topology) visitBlocks(w int32, n int, mask uint64, fn func(candidate)) {
	k := sizeClass(n)
	size := t.workers[w].Accelerators
	for i := range blockCount(k, int(size)) {
		b := blockMask(k, i) & fullMask(size)
		if have := bits.OnesCount64(mask & b); have >= n {
			fn(candidate{node: w, block: b, leftover: int32(have - n)})
		}
	}
}

// pick selects n available accelerators of a candidate cell. It prefers fragmented cells within it, to leave the
// largest ones whole.
func (t *topology) pick(s candidate, n int, avail availability) []workerPart {
	return t.pickNode(s.node, n, s.restrict(avail), nil)
}

// restrict limits avail to the accelerators of the candidate's block, if it is one.
func (s candidate) restrict(avail availability) availability {
	if s.block == 0 {
		return avail
	}
	return func(w int32) uint64 { return avail(w) & s.block }
}

// pickNode selects n available accelerators below node v as pick does, and appends them to picked.
func (t *topology) pickNode(v int32, n int, avail availability, picked []workerPart) []workerPart {
	if n == 0 {
		return picked
	}
	if t.isLeaf(v) {
		return append(picked, workerPart{worker: v, set: pickBits(avail(v), n)})
	}
	a, b := t.nodes[v].left, t.nodes[v].right
	fewer, more := t.countAvailable(a, avail), t.countAvailable(b, avail)
	if fewer > more {
		a, b, fewer, more = b, a, more, fewer
	}
	switch {
	case fewer >= n:
		return t.pickNode(a, n, avail, picked)
	case more >= n:
		return t.pickNode(b, n, avail, picked)
	default:
		picked = t.pickNode(a, fewer, avail, picked)
		return t.pickNode(b, n-fewer, avail, picked)
	}
}

// pickBits selects n bits of mask: from the aligned half with the fewest bits that has enough, else all of one half
// and some of the other.
func pickBits(mask uint64, n int) uint64 {
	return pickBlock(mask, n, 64)
}

// pickBlock selects n of the lowest width bits of mask as pickBits does.
func pickBlock(mask uint64, n, width int) uint64 {
	if n == 0 {
		return 0
	}
	if bits.OnesCount64(mask) == n {
		return mask
	}
	half := width / 2
	low := uint64(1)<<half - 1
	a, b := mask&low, mask>>half
	shiftA, shiftB := 0, half
	if bits.OnesCount64(a) > bits.OnesCount64(b) {
		a, b = b, a
		shiftA, shiftB = shiftB, shiftA
	}
	fewer, more := bits.OnesCount64(a), bits.OnesCount64(b)
	switch {
	case fewer >= n:
		return pickBlock(a, n, half) << shiftA
	case more >= n:
		return pickBlock(b, n, half) << shiftB
	default:
		return a<<shiftA | pickBlock(b, n-fewer, half)<<shiftB
	}
}
