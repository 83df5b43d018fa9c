package pool

import (
	"cmp"
	"slices"
)

// nodeLists caches lists of nodes for a round.
type nodeLists struct {
	// fastFirst holds all nodes sorted by sortFastFirst, and healthiestFirst the same sorted by compareHealth; nil if not
	// known.
	fastFirst, healthiestFirst []*node
	// open holds, for each key, the nodes that are open to the groups with that key.
	open map[openKey]*openNodes
}

// newNodeLists returns lists of which none is known.
func newNodeLists() nodeLists {
	return nodeLists{open: map[openKey]*openNodes{}}
}

// openKey holds all properties of a group that determine which nodes can run its parts if nothing is kept free and workers
// need not be healthy. Only a suspect that has nodes for itself can run on others too.
type openKey struct {
	eligibilityKey
	// fills and serves tell which parts the group's parts would disturb.
	fills, serves bool
}

// openNodes holds the nodes that can run some groups without harm to others.
type openNodes struct {
	// all is sorted by sortFastFirst, and healthy holds those of them whose workers are healthy. healthiestFirst holds all in
	// the order of compareHealth; nil if all are healthy.
	all, healthy, healthiestFirst []*node
	// isolated and disturbing are the values of len(round.isolated) and round.disturbing for which the lists hold. Both only
	// grow, and the lists only lose nodes by that.
	isolated, disturbing int
}

// fastFirst returns all nodes sorted by sortFastFirst.
func (r *round) fastFirst() []*node {
	if r.bands == nil {
		return r.engine.nodes
	}
	if r.lists.fastFirst == nil {
		r.lists.fastFirst = slices.Clone(r.engine.nodes)
		r.sortFastFirst(r.lists.fastFirst)
	}
	return r.lists.fastFirst
}

// healthiestFirst returns all nodes sorted by compareHealth, and by sortFastFirst among equals.
func (r *round) healthiestFirst() []*node {
	if r.lists.healthiestFirst == nil {
		r.lists.healthiestFirst = slices.Clone(r.fastFirst())
		slices.SortStableFunc(r.lists.healthiestFirst, r.compareHealth)
	}
	return r.lists.healthiestFirst
}

// compareHealth orders nodes by how likely they are to run a group: healthy ones first.
func (r *round) compareHealth(a, b *node) int {
	return cmp.Or(
		cmp.Compare(a.health.quarantineLength, b.health.quarantineLength),
		cmp.Compare(max(0, a.health.quarantinedUntil.Sub(r.now)), max(0, b.health.quarantinedUntil.Sub(r.now))),
	)
}

// openKey returns the properties of g that determine which nodes are open to it.
func (r *round) openKey(g *group) openKey {
	step := g.spec()
	return openKey{
		eligibilityKey: eligibilityKey{service: g.job.settings.Service, label: step.Label, need: g.demand()},
		fills:          step.Fills, serves: step.Latency > 0,
	}
}

// openTo returns the nodes that can run a group without harm to others. It computes them once per round for all groups
// with an equal key, and again after nodes were isolated.
func (r *round) openTo(g *group) *openNodes {
	if r.isolating[g] {
		return r.findOpen(g)
	}
	key := r.openKey(g)
	open := r.lists.open[key]
	if open == nil || open.isolated != len(r.isolated) || (key.fills || key.serves) && open.disturbing != r.disturbing {
		open = r.findOpen(g)
		r.lists.open[key] = open
	}
	return open
}

// findOpen returns the nodes that can run a group without harm to others.
func (r *round) findOpen(g *group) *openNodes {
	open := &openNodes{isolated: len(r.isolated), disturbing: r.disturbing}
	isOpen := make([]bool, len(r.engine.nodes))
	for _, n := range r.fastFirst() {
		if !n.Accepting || !n.eligibleFor(g) || n.conflictsWith(g.spec()) || r.isolatedFrom(g, n) {
			continue
		}
		isOpen[n.index] = true
		open.all = append(open.all, n)
		if n.health.healthy(r.now) {
			open.healthy = append(open.healthy, n)
		}
	}
	if len(open.healthy) == len(open.all) {
		return open
	}
	for _, n := range r.healthiestFirst() {
		if isOpen[n.index] {
			open.healthiestFirst = append(open.healthiestFirst, n)
		}
	}
	return open
}
