package pool

import "github.com/sardineline/sardineline/sard/work"

// capacityBounds holds upper bounds of the capacity for a single part on any accepting node in a round. They hold whatever is
// reserved.
type capacityBounds struct {
	free, freeSoon work.Resources
	// reclaimable holds, for each class of groups that may preempt others, the bounds when all victims have been stopped.
	reclaimable map[preemptorClass]*reclaimableCapacity
}

// reclaimableCapacity holds upper bounds of the capacity when all groups have been stopped that may be preempted.
type reclaimableCapacity struct {
	// largest is that for a single part on any accepting node, and onNode that of each node.
	largest work.Resources
	onNode  []work.Resources
}

// newCapacityBounds returns the bounds of a round with the given nodes.
func newCapacityBounds(nodes []*node) capacityBounds {
	b := capacityBounds{reclaimable: map[preemptorClass]*reclaimableCapacity{}}
	for _, n := range nodes {
		if n.Accepting {
			free := n.free()
			b.free, b.freeSoon = largest(b.free, free), largest(b.freeSoon, free.Plus(n.stopping))
		}
	}
	return b
}

// largest returns the larger one of each amount.
func largest(a, b work.Resources) work.Resources {
	return work.Resources{CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators)}
}

// mayReclaim reports whether a group may fit on its candidates when all groups that it may preempt have been stopped. It is
// cheaper than a claim.
func (r *round) mayReclaim(g *group) bool {
	reclaimable := r.reclaimable(g)
	if !g.demand().Fits(reclaimable.largest) {
		return false
	}
	return r.canHoldAll(g, r.candidates(g), func(n *node) work.Resources { return reclaimable.onNode[n.index] })
}

// reclaimable returns upper bounds of the capacity when all groups that g may preempt have been stopped. What is placed or
// preempted in the round leaves them as they are.
func (r *round) reclaimable(g *group) *reclaimableCapacity {
	class := g.preemptorClass()
	found := r.bounds.reclaimable[class]
	if found != nil {
		return found
	}
	found = &reclaimableCapacity{onNode: make([]work.Resources, len(r.engine.nodes))}
	for i, n := range r.engine.nodes {
		if !n.Accepting {
			continue
		}
		sum := n.free().Plus(n.stopping)
		for p := range n.parts {
			if !p.stopping && g.mayPreempt(p.group) {
				sum = sum.Plus(p.group.demand())
			}
		}
		found.onNode[i], found.largest = sum, largest(found.largest, sum)
	}
	r.bounds.reclaimable[class] = found
	return found
}
