package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/work"
)

// claim is a choice of nodes for a group, one for each of its parts, and of the victims to stop so that it fits there.
type claim struct {
	nodes   []*node
	victims []*group
	// cost is the sum of the victims' round.stopCost.
	cost time.Duration
}

// newClaim returns a claim on some of the given nodes, which can hold the group when the victims have been stopped. It
// leaves out the victims that need not be stopped for that: a gang that is stopped frees capacity on all of its nodes, so
// that others may keep theirs.
func (r *round) newClaim(g *group, nodes map[*node]int, victims []*group) *claim {
	f := newFreedCapacity(r, nodes)
	for _, v := range victims {
		f.add(v)
	}
	slices.SortStableFunc(f.victims, func(a, b *group) int {
		return cmp.Or(cmp.Compare(r.stopCost(b), r.stopCost(a)), compareGroup(a, b))
	})
	c := &claim{}
	for _, v := range slices.Clone(f.victims) {
		f.remove(v)
		if !r.canHoldAll(g, f.nodes, f.available) {
			f.add(v)
			c.victims = append(c.victims, v)
			c.cost += r.stopCost(v)
		}
	}
	c.nodes = r.packTight(g, f.nodes, f.available)
	return c
}

// freedCapacity is the capacity of nodes when some victims have been stopped.
type freedCapacity struct {
	round   *round
	nodes   []*node
	freed   map[*node]work.Resources
	victims []*group
}

// newFreedCapacity returns the capacity of nodes before any victim is stopped.
func newFreedCapacity(r *round, nodes map[*node]int) *freedCapacity {
	f := &freedCapacity{round: r, freed: make(map[*node]work.Resources, len(nodes))}
	for n := range nodes {
		f.nodes = append(f.nodes, n)
		f.freed[n] = work.Resources{}
	}
	slices.SortFunc(f.nodes, func(a, b *node) int { return cmp.Compare(a.index, b.index) })
	return f
}

// available returns the capacity of a node when all pending stops and those of the victims have completed.
func (f *freedCapacity) available(n *node) work.Resources {
	return f.round.freeSoon(n).Plus(f.freed[n])
}

// add adds a victim, unless it was added before.
func (f *freedCapacity) add(v *group) {
	if slices.Contains(f.victims, v) {
		return
	}
	f.victims = append(f.victims, v)
	f.forEachNode(v, func(n *node) { f.freed[n] = f.freed[n].Plus(v.demand()) })
}

// remove removes a victim that was added.
func (f *freedCapacity) remove(v *group) {
	f.victims = slices.DeleteFunc(f.victims, func(other *group) bool { return other == v })
	f.forEachNode(v, func(n *node) { f.freed[n] = f.freed[n].Minus(v.demand()) })
}

// forEachNode calls visit with the node of each part of a victim that is among the nodes and not being stopped.
func (f *freedCapacity) forEachNode(v *group, visit func(*node)) {
	for i := range v.parts {
		p := &v.parts[i]
		if p.node == nil || p.stopping {
			continue
		}
		if _, ok := f.freed[p.node]; ok {
			visit(p.node)
		}
	}
}
