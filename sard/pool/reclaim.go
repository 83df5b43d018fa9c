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
	frees work.Amount
	cost  time.Duration
}

// reclaim has groups that come after g stopped, so that g fits, and promises it their capacity. It does nothing when
// g would not fit even then.
func (r *round) reclaim(g *group) {
	victims := make([][]victim, len(r.engine.nodes))
	within := func(n *node) work.Amount {
		if victims[n.index] == nil {
			victims[n.index] = r.victims(g, n)
		}
		sum := r.soon(n)
		for _, v := range victims[n.index] {
			sum = sum.Plus(v.frees)
		}
		return sum
	}
	nodes := r.pack(g, within)
	if nodes == nil {
		return
	}
	r.promise(g, nodes)
	for _, n := range nodes {
		r.makeRoom(n, victims[n.index])
	}
}

// victims returns the groups on a node that must give way to g, those that lose the least first.
func (r *round) victims(g *group, n *node) []victim {
	found := map[*group]work.Amount{}
	for p := range n.parts {
		if !p.halting && g.comesBefore(p.group) {
			found[p.group] = found[p.group].Plus(p.group.demand())
		}
	}
	list := make([]victim, 0, len(found))
	for other, frees := range found {
		list = append(list, victim{group: other, frees: frees, cost: other.lost(r.now)})
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(
			cmp.Compare(b.group.job.terms.Priority, a.group.job.terms.Priority),
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

// makeRoom stops victims on a node until nothing more is promised there than will be free.
func (r *round) makeRoom(n *node, victims []victim) {
	c := &r.claims[n.index]
	for _, v := range victims {
		if (work.Amount{}).Fits(c.soon) {
			return
		}
		if v.group.phase == placed {
			r.stop(v.group)
		}
	}
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
