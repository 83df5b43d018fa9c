package pool

import "github.com/sardineline/sardineline/sard/work"

// holdReservations sets the reserved capacity of groups that their account's guarantee covers aside until each of them is
// scheduled. Otherwise, groups that arrived later but are more urgent would take it, and the gang would have to claim other
// nodes.
func (r *round) holdReservations(queue []*group) {
	for _, g := range queue {
		if !g.job.withinGuarantee {
			continue
		}
		if nodes := r.keptReservation(g); nodes != nil {
			r.reserve(g, nodes)
			r.held[g] = nodes
		}
	}
}

// releaseReservation makes the capacity that is set aside for a group available, if there is any. It reports whether
// there was.
func (r *round) releaseReservation(g *group) bool {
	nodes := r.held[g]
	if nodes == nil {
		return false
	}
	delete(r.held, g)
	for _, n := range nodes {
		c := &r.available[n.index]
		c.free = c.free.Plus(g.demand())
		c.freeSoon = c.freeSoon.Plus(g.demand())
	}
	return true
}

// releaseAllReservations makes all capacity available that is set aside for groups.
func (r *round) releaseAllReservations() {
	for g := range r.held {
		r.releaseReservation(g)
	}
}

// reserve removes a group's demand from the available capacity of the nodes.
func (r *round) reserve(g *group, nodes []*node) {
	for _, n := range nodes {
		c := &r.available[n.index]
		c.free = c.free.Minus(g.demand())
		c.freeSoon = c.freeSoon.Minus(g.demand())
	}
}

// keptReservation returns the nodes that were reserved for a group in an earlier round, if they can still hold it once
// pending stops have completed; otherwise nil. A group that kept changing the nodes that it waits for would lose those
// that have become free to less urgent groups, again and again.
func (r *round) keptReservation(g *group) []*node {
	if !r.mayKeep(g, g.reserved, r.freeSoon) {
		return nil
	}
	return g.reserved
}

// mayKeep reports whether a group may still be placed on the nodes that were reserved for it, if it may use the available
// capacity.
func (r *round) mayKeep(g *group, nodes []*node, available capacityFunc) bool {
	if len(nodes) != len(g.parts) || !r.canHold(g, nodes, available) {
		return false
	}
	for _, n := range nodes {
		if !n.Accepting || !g.mayUse(n, r.now) || !n.eligibleFor(g) || r.unshared(g.spec(), n) || r.isolatedFrom(g, n) {
			return false
		}
	}
	return true
}

// canHold reports whether the available capacity of nodes suffices for the parts of a group, one part for each element.
func (r *round) canHold(g *group, nodes []*node, available capacityFunc) bool {
	counts := map[*node]int{}
	for _, n := range nodes {
		counts[n]++
	}
	for n, parts := range counts {
		if r.maxParts(g, n, available(n)) < parts {
			return false
		}
	}
	return true
}

// placeOrReserve places a group if the nodes can hold it now, and otherwise reserves their capacity. It reports whether it
// placed the group.
func (r *round) placeOrReserve(g *group, nodes []*node) (placed bool) {
	if r.canHold(g, nodes, r.free) {
		r.place(g, nodes)
		return true
	}
	r.reserveFor(g, nodes)
	return false
}

// reserveFor reserves the capacity of nodes for a group until it is placed or the nodes can't hold it any more.
func (r *round) reserveFor(g *group, nodes []*node) {
	g.reserved = nodes
	r.reserve(g, nodes)
	for _, n := range nodes {
		r.reservedFor[n] = true
		if g.job.withinGuarantee {
			r.keptForStart[n] = r.keptForStart[n].Plus(g.demand())
		}
	}
}

// freeBesideGuaranteed returns the capacity of a node that is neither allocated nor reserved for a group which its account's
// guarantee covers. Such a group has others stopped, and would have to do so again.
func (r *round) freeBesideGuaranteed(n *node) work.Resources {
	return n.free().Minus(r.keptForStart[n])
}
