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
	// able holds, for each key, the accepting nodes that could run the groups with that key if they were empty, whether healthy
	// and kept free or not; eligible holds those of them that are eligible.
	able     map[eligibilityKey][]*node
	eligible map[eligibilityKey]*nodeList
	// candidates holds, for each key, those of them that may run the groups with that key.
	candidates map[candidateKey]*nodeList
	// open holds, for each key, the nodes that are open to the groups with that key.
	open map[candidateKey]*openNodes
}

// newNodeLists returns lists of which none is known.
func newNodeLists() nodeLists {
	return nodeLists{
		able: map[eligibilityKey][]*node{}, eligible: map[eligibilityKey]*nodeList{}, candidates: map[candidateKey]*nodeList{},
		open: map[candidateKey]*openNodes{},
	}
}

// candidateKey holds all properties of a group that determine which nodes may run its parts without harm to others. Only
// a suspect that has nodes for itself may run on others too.
type candidateKey struct {
	eligibilityKey
	// fills and serves tell which parts the group's parts would disturb, or be disturbed by.
	fills, serves bool
}

// nodeList is a list of nodes, sorted by sortFastFirst.
type nodeList struct {
	nodes []*node
	// racks holds the nodes by rack; nil if not known.
	racks [][]*node
	basis listBasis
}

// listBasis is what the nodes without harm to others depend on in a round. Both counts only grow, and groups without nodes for
// themselves only lose nodes by that.
type listBasis struct {
	// isolated is the number of isolated nodes, and sharing that of round.sharing.
	isolated, sharing int
}

// listBasis returns the current basis of lists for the groups with a key.
func (r *round) listBasis(key candidateKey) listBasis {
	basis := listBasis{isolated: len(r.isolated)}
	if key.fills || key.serves {
		basis.sharing = r.sharing
	}
	return basis
}

// byRack returns the nodes by rack.
func (l *nodeList) byRack() [][]*node {
	if l.racks == nil {
		l.racks = groupByRack(l.nodes)
	}
	return l.racks
}

// candidates returns the nodes that may run parts of a group.
func (r *round) candidates(g *group) []*node { return r.candidateList(g).nodes }

// candidateRacks returns the nodes that may run parts of a group by rack.
func (r *round) candidateRacks(g *group) [][]*node { return r.candidateList(g).byRack() }

// candidateList returns the nodes that may run parts of a group. It computes them once per round for all groups with an
// equal key, and again after nodes were isolated.
func (r *round) candidateList(g *group) *nodeList {
	step := g.spec()
	key := candidateKey{eligibilityKey: r.eligibilityKey(g), fills: step.Fills, serves: step.Latency > 0}
	eligible := r.eligibleNodes(g, key.eligibilityKey)
	if !key.fills && !key.serves && len(r.isolated) == 0 {
		return eligible
	}
	if r.isolating[g] {
		return &nodeList{nodes: r.harmless(g, eligible.nodes)}
	}
	basis, found := r.listBasis(key), r.lists.candidates[key]
	switch {
	case found == nil:
		found = &nodeList{nodes: r.harmless(g, eligible.nodes), basis: basis}
		r.lists.candidates[key] = found
	case found.basis != basis:
		found = &nodeList{nodes: r.harmless(g, found.nodes), basis: basis}
		r.lists.candidates[key] = found
	}
	return found
}

// harmless returns those of the nodes on which a group harms no other one.
func (r *round) harmless(g *group, nodes []*node) []*node {
	step := g.spec()
	found := make([]*node, 0, len(nodes))
	for _, n := range nodes {
		if !r.unshared(step, n) && !r.isolatedFrom(g, n) {
			found = append(found, n)
		}
	}
	return found
}

// eligibleNodes returns the accepting, healthy nodes that can run a group, without the headroom nodes if the key leaves
// them. It computes them once per round for all groups with an equal key.
func (r *round) eligibleNodes(g *group, key eligibilityKey) *nodeList {
	found := r.lists.eligible[key]
	if found != nil {
		return found
	}
	able := r.ableNodes(g)
	found = &nodeList{nodes: make([]*node, 0, len(able))}
	for _, n := range able {
		if !n.health.healthy(r.now) || key.leavesHeadroom && r.headroom[n.index] {
			continue
		}
		found.nodes = append(found.nodes, n)
	}
	r.lists.eligible[key] = found
	return found
}

// ableNodes returns the accepting nodes that could run a group if they were empty, sorted by sortFastFirst. It computes them
// once per round for all groups with equal needs.
func (r *round) ableNodes(g *group) []*node {
	key := ableKey(g)
	found, known := r.lists.able[key]
	if known {
		return found
	}
	found = make([]*node, 0, len(r.engine.nodes))
	for _, n := range r.fastFirst() {
		if n.Accepting && n.eligibleFor(g) {
			found = append(found, n)
		}
	}
	r.lists.able[key] = found
	return found
}

// ableKey returns the properties of g that determine which nodes could run its parts if they were empty.
func ableKey(g *group) eligibilityKey {
	return eligibilityKey{service: g.job.settings.Service, label: g.spec().Label, need: g.demand()}
}

// openNodes holds the nodes that can run some groups without harm to others.
type openNodes struct {
	// all is sorted by sortFastFirst, and healthy holds those of them whose workers are healthy. healthiestFirst holds all in
	// the order of compareHealth; nil if all are healthy.
	all, healthy, healthiestFirst []*node
	basis                         listBasis
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

// compareHealth orders nodes by how likely they are to run a group: healthy ones first, and behind them all that have just
// refused a start.
func (r *round) compareHealth(a, b *node) int {
	return cmp.Or(
		r.compareRefusal(a, b),
		cmp.Compare(a.health.quarantineLength, b.health.quarantineLength),
		cmp.Compare(max(0, a.health.quarantinedUntil.Sub(r.now)), max(0, b.health.quarantinedUntil.Sub(r.now))),
	)
}

// compareRefusal orders nodes that have just refused a start behind the others.
func (r *round) compareRefusal(a, b *node) int {
	refused := func(n *node) int { return boolRank(r.now.Sub(n.health.refusedAt) < refusalMemory) }
	return cmp.Compare(refused(a), refused(b))
}

// boolRank returns 1 for true and 0 for false, to sort by.
func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// openKey returns the properties of g that determine which nodes are open to it.
func (r *round) openKey(g *group) candidateKey {
	step := g.spec()
	return candidateKey{eligibilityKey: ableKey(g), fills: step.Fills, serves: step.Latency > 0}
}

// openTo returns the nodes that can run a group without harm to others, if nothing is kept free and workers need not be healthy.
// It computes them once per round for all groups with an equal key, and again after nodes were isolated.
func (r *round) openTo(g *group) *openNodes {
	if r.isolating[g] {
		return r.findOpen(g)
	}
	key := r.openKey(g)
	basis, open := r.listBasis(key), r.lists.open[key]
	if open == nil || open.basis != basis {
		open = r.findOpen(g)
		open.basis = basis
		r.lists.open[key] = open
	}
	return open
}

// findOpen returns the nodes that can run a group without harm to others.
func (r *round) findOpen(g *group) *openNodes {
	open := &openNodes{}
	isOpen := make([]bool, len(r.engine.nodes))
	for _, n := range r.ableNodes(g) {
		if r.unshared(g.spec(), n) || r.isolatedFrom(g, n) {
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
