package place

import "math/bits"

// share is a part of a gang or of a region: accelerators of one worker.
type share struct {
	worker int32
	set    uint64
}

// count returns the number of available accelerators below node v.
func (t *topology) count(v int32, avail masks) int {
	n := 0
	for w := t.nodes[v].first; w < t.nodes[v].last; w++ {
		n += bits.OnesCount64(avail(w))
	}
	return n
}

// spots calls see for each smallest aligned cell below v that has n available accelerators.
func (t *topology) spots(v int32, n int, avail masks, see func(spot)) {
	nd := &t.nodes[v]
	switch {
	case int(nd.size) < n:
	case t.leaf(v):
		t.workerSpots(v, n, avail(v), see)
	case n > int(nd.largest):
		if have := t.count(v, avail); have >= n {
			see(spot{node: v, rest: int32(have - n)})
		}
	default:
		t.spots(nd.left, n, avail, see)
		t.spots(nd.right, n, avail, see)
	}
}

func (t *topology) workerSpots(w int32, n int, mask uint64, see func(spot)) {
	k := class(n)
	size := t.workers[w].Accelerators
	for i := range blocks(k, int(size)) {
		b := block(k, i) & fullMask(size)
		if have := bits.OnesCount64(mask & b); have >= n {
			see(spot{node: w, block: b, rest: int32(have - n)})
		}
	}
}

// take picks n available accelerators of a spot. It empties what is broken and leaves the largest cells whole.
func (t *topology) take(s spot, n int, avail masks) []share {
	return t.takeNode(s.node, n, s.limit(avail), nil)
}

// limit restricts what is available to the spot's block.
func (s spot) limit(avail masks) masks {
	if s.block == 0 {
		return avail
	}
	return func(w int32) uint64 { return avail(w) & s.block }
}

func (t *topology) takeNode(v int32, n int, avail masks, got []share) []share {
	if n == 0 {
		return got
	}
	if t.leaf(v) {
		return append(got, share{worker: v, set: takeBits(avail(v), n)})
	}
	a, b := t.nodes[v].left, t.nodes[v].right
	fewer, more := t.count(a, avail), t.count(b, avail)
	if fewer > more {
		a, b, fewer, more = b, a, more, fewer
	}
	switch {
	case fewer >= n:
		return t.takeNode(a, n, avail, got)
	case more >= n:
		return t.takeNode(b, n, avail, got)
	default:
		got = t.takeNode(a, fewer, avail, got)
		return t.takeNode(b, n-fewer, avail, got)
	}
}

// takeBits picks n bits of mask: from the emptiest aligned half that has enough, else one half and part of the other.
func takeBits(mask uint64, n int) uint64 {
	return takeBlock(mask, n, 64)
}

func takeBlock(mask uint64, n, width int) uint64 {
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
		return takeBlock(a, n, half) << shiftA
	case more >= n:
		return takeBlock(b, n, half) << shiftB
	default:
		return a<<shiftA | takeBlock(b, n-fewer, half)<<shiftB
	}
}
