package place

import (
	"math/bits"

	"github.com/sardineline/sardineline/sard/ident"
)

// none is the index that stands for no node or no worker.
const none = -1

// node is a cell of whole workers in the tree of cells: a worker, an aligned power-of-two group of neighbouring workers
// in a rack, a rack, such a group of neighbouring racks, or the data centre.
type node struct {
	parent, left, right int32
	// first and last are the half-open range of workers.
	first, last int32
	// size is the number of accelerators in service; largestChild is that of the larger child.
	size, largestChild int32
}

// topology is the tree of a domain's cells. The worker with index i is also the node with index i.
type topology struct {
	workers []Worker
	byName  map[ident.Worker]int32
	nodes   []node
	root    int32
	// totalAccelerators is the number of accelerators, whether in service or not.
	totalAccelerators int
}

// newTopology builds the tree of cells of workers. No accelerator is in service yet.
func newTopology(workers []Worker) *topology {
	t := &topology{workers: workers, byName: make(map[ident.Worker]int32, len(workers)), root: none}
	for i, w := range workers {
		t.byName[w.Name] = int32(i)
		t.nodes = append(t.nodes, node{
			parent: none, left: none, right: none,
			first: int32(i), last: int32(i) + 1,
		})
		t.totalAccelerators += int(w.Accelerators)
	}
	var racks []int32
	for first := 0; first < len(workers); {
		last := first + 1
		for last < len(workers) && workers[last].Rack == workers[first].Rack {
			last++
		}
		racks = append(racks, t.buildTree(leaves(first, last)))
		first = last
	}
	if len(racks) > 0 {
		t.root = t.buildTree(racks)
	}
	return t
}

// resize sets the number of a worker's accelerators in service, and updates the cells that contain it.
func (t *topology) resize(w, size int32) {
	t.nodes[w].size = size
	for v := t.nodes[w].parent; v != none; v = t.nodes[v].parent {
		nd := &t.nodes[v]
		l, r := t.nodes[nd.left].size, t.nodes[nd.right].size
		nd.size, nd.largestChild = l+r, max(l, r)
	}
}

// countMinimal counts the nodes that are smallest aligned cells for n accelerators.
func (t *topology) countMinimal(n int) int {
	count := 0
	for v := range t.nodes {
		if t.isMinimal(int32(v), n) {
			count++
		}
	}
	return count
}

// leaves returns the nodes of the workers from first to last, excluding last.
func leaves(first, last int) []int32 {
	var ids []int32
	for i := first; i < last; i++ {
		ids = append(ids, int32(i))
	}
	return ids
}

// buildTree builds the aligned binary tree over cells and returns its root. The left child of each node holds the
// largest power of two of cells that is less than their number.
func (t *topology) buildTree(cells []int32) int32 {
	if len(cells) == 1 {
		return cells[0]
	}
	half := 1 << (bits.Len(uint(len(cells)-1)) - 1)
	left := t.buildTree(cells[:half])
	right := t.buildTree(cells[half:])
	id := int32(len(t.nodes))
	l, r := &t.nodes[left], &t.nodes[right]
	l.parent, r.parent = id, id
	t.nodes = append(t.nodes, node{
		parent: none, left: left, right: right, first: l.first, last: r.last,
	})
	return id
}

// isMinimal reports whether node v is a smallest aligned cell for n accelerators: it has n in service, and neither of
// its children has. A worker needs only n in service.
func (t *topology) isMinimal(v int32, n int) bool {
	nd := &t.nodes[v]
	if t.isLeaf(v) {
		return n <= int(nd.size)
	}
	return n <= int(nd.size) && n > int(nd.largestChild)
}

// isLeaf reports whether node v is a worker.
func (t *topology) isLeaf(v int32) bool {
	return int(v) < len(t.workers)
}

// inside reports whether all workers of node v are also workers of node u.
func (t *topology) inside(v, u int32) bool {
	return t.nodes[v].first >= t.nodes[u].first && t.nodes[v].last <= t.nodes[u].last
}

// enclosing returns the smallest node that contains node v and has n accelerators in service, or none.
func (t *topology) enclosing(v int32, n int) int32 {
	for v != none && int(t.nodes[v].size) < n {
		v = t.nodes[v].parent
	}
	return v
}

// sizeClass returns the size class of a gang of n accelerators: the exponent of the smallest power of two that is at
// least n.
func sizeClass(n int) int {
	return bits.Len(uint(n - 1))
}

// blockMask returns the mask of the i-th aligned block of 2^k accelerators.
func blockMask(k, i int) uint64 {
	width := 1 << k
	if width >= 64 {
		return ^uint64(0)
	}
	return (1<<width - 1) << (i * width)
}

// blockCount returns the number of aligned blocks of 2^k accelerators on a worker of size accelerators.
func blockCount(k, size int) int {
	return (size + 1<<k - 1) >> k
}

// fullMask returns the mask of all accelerators of a worker of size accelerators.
func fullMask(size ident.Accelerators) uint64 {
	if size >= 64 {
		return ^uint64(0)
	}
	return 1<<uint(size) - 1
}
