package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/work"
)

// victim is a placed group that can be stopped to free capacity on a node.
type victim struct {
	group *group
	// frees is the capacity that a stop frees on the node, and cost the result of round.stopCost.
	frees work.Resources
	cost  time.Duration
}

// reclaim stops groups that g may preempt so that g fits, and reserves their capacity for g. If there is nothing to stop,
// it places g. A group that no rack can hold, although it should stay on one, gets nodes of several racks. If g would not
// fit even then, reclaim stops nothing and returns false. With CostOrder, it also stops nothing if it costs less to wait for
// running groups to end.
func (r *round) reclaim(g *group) bool {
	if !r.mayReclaim(g) {
		return false
	}
	step := g.spec()
	candidates := r.candidates(g)
	near := candidates
	if step.DataRack != "" {
		near = nodesOnRack(candidates, step.DataRack)
	}
	best := r.cheapestRackClaim(g, near)
	if best == nil {
		best = r.cheapestClaim(g, candidates)
	}
	best = r.fasterClaim(g, near, best)
	if best == nil {
		return false
	}
	if r.engine.config.CostOrder && len(best.victims) > 0 && r.waitForEnds(g, best.cost) {
		return true
	}
	if r.placeOrReserve(g, best.nodes) {
		return true
	}
	for _, v := range best.victims {
		r.preempt(v)
	}
	return true
}

// offer says that a node could hold a number of parts of a group if the victims, which run there, were stopped. The
// cost is that of stopping them.
type offer struct {
	node    *node
	parts   int
	victims []*group
	cost    time.Duration
}

// cheapestRackClaim returns the claim on the cheapest rack if the group must stay on one rack, and otherwise the cheapest
// claim on all candidates.
func (r *round) cheapestRackClaim(g *group, candidates []*node) *claim {
	step := g.spec()
	if !step.SameRack {
		return r.cheapestClaim(g, candidates)
	}
	racks := [][]*node{candidates}
	if step.DataRack == "" {
		racks = r.candidateRacks(g)
	}
	var best *claim
	for _, rack := range racks {
		if c := r.cheapestClaim(g, rack); c != nil && (best == nil || c.cost < best.cost) {
			best = c
		}
	}
	return best
}

// cheapestClaim returns a claim made of the offers with the lowest cost per part, or nil if all offers together can't hold
// the group.
func (r *round) cheapestClaim(g *group, candidates []*node) *claim {
	var offers []offer
	for _, n := range candidates {
		offers = append(offers, r.offers(g, n)...)
	}
	slices.SortStableFunc(offers, func(a, b offer) int {
		return cmp.Or(
			cmp.Compare(a.cost/time.Duration(a.parts), b.cost/time.Duration(b.parts)),
			cmp.Compare(a.node.index, b.node.index),
		)
	})
	want := len(g.parts)
	taken := map[*node]int{}
	var victims []*group
	for _, o := range offers {
		if want == 0 {
			break
		}
		// Offers of a node are cumulative: each one includes the parts of the previous ones.
		added := min(o.parts-taken[o.node], want)
		if added <= 0 {
			continue
		}
		taken[o.node] += added
		want -= added
		victims = append(victims, o.victims...)
	}
	if want > 0 {
		return nil
	}
	return r.newClaim(g, taken, victims)
}

// offers returns how many parts of g fit on a node, and the cost, for an increasing number of victims that are stopped
// there.
func (r *round) offers(g *group, n *node) []offer {
	available := r.freeSoon(n)
	var offers []offer
	if parts := r.maxParts(g, n, available); parts > 0 {
		offers = append(offers, offer{node: n, parts: parts})
	}
	victims := r.victims(g, n)
	cost := time.Duration(0)
	for i, v := range victims {
		available = available.Plus(v.frees)
		cost += v.cost
		parts := r.maxParts(g, n, available)
		if parts == 0 || len(offers) > 0 && parts <= offers[len(offers)-1].parts {
			continue
		}
		o := offer{node: n, parts: parts, cost: cost}
		for _, before := range victims[:i+1] {
			o.victims = append(o.victims, before.group)
		}
		offers = append(offers, o)
	}
	return offers
}

// preemptorClass holds the properties of a group that determine which groups it may preempt.
type preemptorClass struct {
	priority        work.Priority
	withinGuarantee bool
}

// preemptorClass returns the properties of g that determine which groups it may preempt.
func (g *group) preemptorClass() preemptorClass {
	return preemptorClass{priority: g.job.settings.Priority, withinGuarantee: g.job.withinGuarantee}
}

// victimList holds the victims on a node, of which there may be none.
type victimList struct {
	victims []victim
}

// victims returns the groups on a node that g may preempt, in ascending order of cost. It computes them once per round
// and again after one of them was preempted.
func (r *round) victims(g *group, n *node) []victim {
	class := g.preemptorClass()
	lists := r.victimLists[class]
	if lists == nil {
		lists = make([]*victimList, len(r.available))
		r.victimLists[class] = lists
	}
	if lists[n.index] == nil {
		lists[n.index] = &victimList{victims: r.findVictims(g, n)}
	}
	return lists[n.index].victims
}

// findVictims returns the groups on a node that g may preempt, in ascending order of cost.
func (r *round) findVictims(g *group, n *node) []victim {
	found := map[*group]work.Resources{}
	for p := range n.parts {
		if !p.stopping && g.mayPreempt(p.group) {
			found[p.group] = found[p.group].Plus(p.group.demand())
		}
	}
	list := make([]victim, 0, len(found))
	for other, frees := range found {
		list = append(list, victim{group: other, frees: frees, cost: r.stopCost(other)})
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(
			cmp.Compare(a.cost, b.cost),
			compareGroup(a.group, b.group),
		)
	})
	return list
}

// mayPreempt reports whether the other group may be stopped to make room for g. A group that lasts yields to guaranteed work only,
// and not at all if its step limits how many of its parts may be missing.
func (g *group) mayPreempt(other *group) bool {
	if other.spec().Lasting {
		return g.job.withinGuarantee && !other.job.withinGuarantee && other.spec().MayMiss == 0
	}
	if other.job.settings.Priority > g.job.settings.Priority {
		return true
	}
	return g.job.withinGuarantee && !other.job.withinGuarantee
}

// preempt stops a group and counts its resources as soon to be free on all of its nodes.
func (r *round) preempt(g *group) {
	for i := range g.parts {
		if p := &g.parts[i]; p.node != nil && !p.stopping {
			c := &r.available[p.node.index]
			c.freeSoon = c.freeSoon.Plus(g.demand())
			r.bounds.freeSoon = largest(r.bounds.freeSoon, c.freeSoon)
			for _, lists := range r.victimLists {
				lists[p.node.index] = nil
			}
		}
	}
	g.phase = ending
	clear(r.stopCosts)
	delete(r.outlooks, g.occurrence)
	r.engine.stopGroup(g, ReasonReclaimed)
}

// stopCost returns the cost of stopping a placed group, computed once per round until another group is stopped.
func (r *round) stopCost(g *group) time.Duration {
	if !r.engine.config.CostOrder {
		return g.stopCost(r.now)
	}
	cost, known := r.stopCosts[g]
	if known {
		return cost
	}
	cost = r.stopLoss(g)
	if g.job.settings.Priority == work.Guaranteed {
		cost += guaranteedStopPenalty
	}
	r.stopCosts[g] = cost
	return cost
}
