package place

import (
	"math/bits"

	"github.com/sardineline/sardineline/sard/ident"
)

// none marks the absence of a node.
const none = -1

// node is a cell of whole workers: a worker, a power-of-two group of neighbouring workers of a rack, a rack, a
// power-of-two group of neighbouring racks, or the data centre.
type node struct {
	parent, left, right int32
	// first and last are the range of workers, last excluded.
	first, last int32
	// size is the number of accelerators in service; largest is that of the larger child.
	size, largest int32
}

// topology is the tree of a domain's cells. Worker i is node i.
type topology struct {
	workers []Worker
	byName  map[ident.Worker]int32
	nodes   []node
	root    int32
	// nominal is the number of accelerators, in service or not.
	nominal int
}

func newTopology(workers []Worker) *topology {
	t := &topology{workers: workers, byName: make(map[ident.Worker]int32, len(workers)), root: none}
	for i, w := range workers {
		t.byName[w.Name] = int32(i)
		t.nodes = append(t.nodes, node{
			parent: none, left: none, right: none,
			first: int32(i), last: int32(i) + 1,
		})
		t.nominal += int(w.Accelerators)
	}
	var racks []int32
	for first := 0; first < len(workers); {
		last := first + 1
		for last < len(workers) && workers[last].Rack == workers[first].Rack {
			last++
		}
		racks = append(racks, t.join(leaves(first, last)))
		first = last
	}
	if len(racks) > 0 {
		t.root = t.join(racks)
	}
	return t
}

// resize sets the number of a worker's accelerators in service.
func (t *topology) resize(w, size int32) {
	t.nodes[w].size = size
	for v := t.nodes[w].parent; v != none; v = t.nodes[v].parent {
		nd := &t.nodes[v]
		l, r := t.nodes[nd.left].size, t.nodes[nd.right].size
		nd.size, nd.largest = l+r, max(l, r)
	}
}

// cellsOf counts the smallest aligned cells in service for gangs of n.
func (t *topology) cellsOf(n int) int {
	count := 0
	for v := range t.nodes {
		if t.minimal(int32(v), n) {
			count++
		}
	}
	return count
}

func leaves(first, last int) []int32 {
	var ids []int32
	for i := first; i < last; i++ {
		ids = append(ids, int32(i))
	}
	return ids
}

// join makes the aligned tree over cells: the left half holds the largest power of two below their number.
func (t *topology) join(cells []int32) int32 {
	if len(cells) == 1 {
		return cells[0]
	}
	half := 1 << (bits.Len(uint(len(cells)-1)) - 1)
	left := t.join(cells[:half])
	right := t.join(cells[half:])
	id := int32(len(t.nodes))
	l, r := &t.nodes[left], &t.nodes[right]
	l.parent, r.parent = id, id
	t.nodes = append(t.nodes, node{
		parent: none, left: left, right: right, first: l.first, last: r.last,
	})
	return id
}

// minimal tells whether node v is a smallest aligned cell in service that holds n accelerators.
func (t *topology) minimal(v int32, n int) bool {
	nd := &t.nodes[v]
	if t.leaf(v) {
		return n <= int(nd.size)
	}
	return n <= int(nd.size) && n > int(nd.largest)
}

func (t *topology) leaf(v int32) bool {
	return int(v) < len(t.workers)
}

// inside tells whether the workers of v are within u.
func (t *topology) inside(v, u int32) bool {
	return t.nodes[v].first >= t.nodes[u].first && t.nodes[v].last <= t.nodes[u].last
}

// around returns the smallest aligned cell that holds n accelerators and contains node v, or none.
func (t *topology) around(v int32, n int) int32 {
	for v != none && int(t.nodes[v].size) < n {
		v = t.nodes[v].parent
	}
	return v
}

// class is the size class of n: the exponent of the smallest power of two that is at least n.
func class(n int) int {
	return bits.Len(uint(n - 1))
}

// block returns the mask of the i-th aligned block of 2^k accelerators.
func block(k, i int) uint64 {
	width := 1 << k
	if width >= 64 {
		return ^uint64(0)
	}
	return (1<<width - 1) << (i * width)
}

// blocks is the number of aligned blocks of 2^k accelerators on a worker of size accelerators.
func blocks(k, size int) int {
	return (size + 1<<k - 1) >> k
}

func fullMask(size ident.Accelerators) uint64 {
	if size >= 64 {
		return ^uint64(0)
	}
	return 1<<uint(size) - 1
}
