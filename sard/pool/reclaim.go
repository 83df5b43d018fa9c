package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/work"
)

// victim is a placed group whose stop frees capacity on a node.
type victim struct {
	group *group
	frees work.Resources
	cost  time.Duration
}

// reclaim has groups that come after g stopped, so that g fits, and reserves their capacity for it. It does nothing and
// returns false when g would not fit even then.
func (r *round) reclaim(g *group) bool {
	step := g.spec()
	candidates := r.candidates(g)
	near := candidates
	if step.DataRack != "" {
		near = onRack(candidates, step.DataRack)
	}
	best := r.cheapestRack(g, near)
	if best == nil {
		best = r.cheapest(g, candidates)
	}
	for _, o := range best {
		for range o.parts {
			r.reserve(g, []*node{o.node})
		}
		for _, v := range o.victims {
			if v.phase == placed {
				r.stop(v)
			}
		}
	}
	return best != nil
}

// offer is what a node can free for a group, and what it costs.
type offer struct {
	node    *node
	parts   int
	victims []*group
	cost    time.Duration
}

// cheapestRack returns the offers of the cheapest rack for a group that is to stay on one, else of all candidates.
func (r *round) cheapestRack(g *group, candidates []*node) []offer {
	if !g.spec().SameRack {
		return r.cheapest(g, candidates)
	}
	var best []offer
	bestCost := time.Duration(0)
	for _, rack := range byRack(candidates) {
		offers := r.cheapest(g, rack)
		if offers == nil {
			continue
		}
		cost := time.Duration(0)
		for _, o := range offers {
			cost += o.cost
		}
		if best == nil || cost < bestCost {
			best, bestCost = offers, cost
		}
	}
	return best
}

// cheapest returns the offers that lose the least work for each part, or nil when they do not suffice.
func (r *round) cheapest(g *group, candidates []*node) []offer {
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
	chosen := make([]offer, 0, len(offers))
	for _, o := range offers {
		if want == 0 {
			break
		}
		// Offers of a node build on each other: a later one holds the parts of the earlier ones.
		more := min(o.parts-taken[o.node], want)
		if more <= 0 {
			continue
		}
		taken[o.node] += more
		want -= more
		chosen = append(chosen, offer{node: o.node, parts: more, victims: o.victims, cost: o.cost})
	}
	if want > 0 {
		return nil
	}
	return chosen
}

// offers returns how many parts of g fit on a node as more and more of its victims are stopped.
func (r *round) offers(g *group, n *node) []offer {
	room := r.soon(n)
	var offers []offer
	if parts := r.capacityFor(g, n, room); parts > 0 {
		offers = append(offers, offer{node: n, parts: parts})
	}
	victims := r.victims(g, n)
	cost := time.Duration(0)
	for i, v := range victims {
		room = room.Plus(v.frees)
		cost += v.cost
		parts := r.capacityFor(g, n, room)
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

// victims returns the groups on a node that must give way to g, those that lose the least first.
func (r *round) victims(g *group, n *node) []victim {
	found := map[*group]work.Resources{}
	for p := range n.parts {
		if !p.halting && g.comesBefore(p.group) {
			found[p.group] = found[p.group].Plus(p.group.demand())
		}
	}
	list := make([]victim, 0, len(found))
	for other, frees := range found {
		list = append(list, victim{group: other, frees: frees, cost: other.stopCost(r.now)})
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(
			cmp.Compare(a.cost, b.cost),
			compareGroup(a.group, b.group),
		)
	})
	return list
}

// comesBefore tells whether g may have other stopped.
func (g *group) comesBefore(other *group) bool {
	if other.spec().Lasting {
		return false
	}
	if other.job.terms.Priority > g.job.terms.Priority {
		return true
	}
	return g.job.covered && !other.job.covered
}

// stop halts a group and counts what it frees as free soon, on all of its nodes.
func (r *round) stop(g *group) {
	for i := range g.parts {
		if p := &g.parts[i]; p.node != nil && !p.halting {
			c := &r.claims[p.node.index]
			c.soon = c.soon.Plus(g.demand())
		}
	}
	g.phase = ending
	r.engine.haltGroup(g, ReasonReclaimed)
}
