package pool

// keptReservation returns the nodes that were reserved for a group in an earlier round, if they can still hold it once
// pending stops have completed; otherwise nil. A group that kept changing the nodes that it waits for would lose those
// that have become free to less urgent groups, again and again.
func (r *round) keptReservation(g *group) []*node {
	if len(g.reserved) != len(g.parts) {
		return nil
	}
	counts := map[*node]int{}
	for _, n := range g.reserved {
		counts[n]++
	}
	for n, parts := range counts {
		if !n.Accepting || !n.health.healthy(r.now) || !n.eligibleFor(g) || n.conflictsWith(g.spec()) || r.maxParts(g, n, r.freeSoon(n)) < parts {
			return nil
		}
	}
	return g.reserved
}

// reserveFor reserves the capacity of nodes for a group until it is placed or the nodes can't hold it any more.
func (r *round) reserveFor(g *group, nodes []*node) {
	g.reserved = nodes
	r.reserve(g, nodes)
}
