package pool

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxHold is how long headroom, the choice of a rack and quarantines hold a group back in a pool with room.
	maxHold = 1500 * time.Millisecond
	// refusedPause is how long they do so again after a worker refused the group.
	refusedPause = 500 * time.Millisecond
	// refusalMemory is for how long after a refusal other workers are tried first.
	refusalMemory = 2 * time.Second
)

// endHolds places groups that have been held back for maxHold in a pool with room, although nothing of their job runs, as if
// nothing was kept free for guaranteed jobs, across racks if need be, and at last on quarantined workers.
func (r *round) endHolds(waited []*group) {
	idle := map[*job]bool{}
	for _, g := range waited {
		if !g.heldForLong(r.now) || g.wait.probationAt.Equal(r.now) {
			continue
		}
		if _, known := idle[g.job]; !known {
			idle[g.job] = g.job.attachedParts() == 0
		}
		if !idle[g.job] && !g.spec().Lasting || !r.hasRoom(g) {
			continue
		}
		if nodes := r.packHeldBack(g); nodes != nil {
			g.wait.holdsEnded = true
			r.place(g, nodes)
			idle[g.job] = false
		}
	}
}

// mayUse reports whether the health of a node's worker allows that the group is placed there.
func (g *group) mayUse(n *node, now time.Time) bool {
	return n.health.healthy(now) || g.wait != nil && g.wait.holdsEnded
}

// heldForLong reports whether the group has been held back for as long as it may.
func (g *group) heldForLong(now time.Time) bool {
	return g.phase == waiting && !now.Before(g.retryAt) && g.waited(now) >= maxHold && now.Sub(g.wait.triedAt) >= refusedPause
}

// packHeldBack returns nodes for a group that nothing holds back any more but what would do harm, or nil. A suspect gets
// nodes on which something is on probation only if there are no others, and none on which others reserved capacity.
func (r *round) packHeldBack(g *group) []*node {
	if !g.suspected() {
		return r.packOpen(g, r.free)
	}
	quiet := r.freeIf(func(n *node) bool { return n.quiet(r.now) })
	unreserved := r.freeIf(func(*node) bool { return true })
	for _, available := range []capacityFunc{quiet, unreserved} {
		if nodes := r.packOpen(g, available); nodes != nil {
			return nodes
		}
	}
	return nil
}

// packOpen returns nodes for a group among all that can run it without harm to others, or nil: those that suit it, or else
// healthy ones on several racks, or else the healthiest. A suspect may crash a worker that is out of reach unnoticed.
func (r *round) packOpen(g *group, available capacityFunc) []*node {
	open := r.openNodes(g)
	if !r.canHoldAll(g, open, available) {
		return nil
	}
	healthy := slices.DeleteFunc(slices.Clone(open), func(n *node) bool { return !n.health.healthy(r.now) })
	if nodes := r.packPreferred(g, healthy, available); nodes != nil {
		return nodes
	}
	if part, _, ok := r.fastPart(g, healthy, available); ok {
		return r.packTight(g, part, available)
	}
	usable := slices.DeleteFunc(open, func(n *node) bool { return g.suspected() && r.now.Before(n.health.unreachedUntil) })
	return r.packHealthiest(g, usable, available)
}

// openNodes returns the nodes that can run the group without harm to others, fastest first.
func (r *round) openNodes(g *group) []*node {
	open := slices.DeleteFunc(slices.Clone(r.engine.nodes), func(n *node) bool {
		return !n.Accepting || !n.eligibleFor(g) || n.conflictsWith(g.spec()) || r.isolatedFrom(g, n)
	})
	if r.bands != nil {
		r.sortFastFirst(open)
	}
	return open
}

// packHealthiest places a group on the nodes whose workers have failed least.
func (r *round) packHealthiest(g *group, nodes []*node, available capacityFunc) []*node {
	slices.SortStableFunc(nodes, func(a, b *node) int { return r.compareHealth(g, a, b) })
	want := len(g.parts)
	for i, n := range nodes {
		if want -= r.maxParts(g, n, available(n)); want <= 0 {
			return r.packTight(g, nodes[:i+1], available)
		}
	}
	return nil
}

// compareHealth orders nodes by how likely they are to run a group: healthy ones first, those on which it has failed last, and
// behind them all that have just refused a start.
func (r *round) compareHealth(g *group, a, b *node) int {
	refused := func(n *node) int {
		if r.now.Sub(n.health.refusedAt) < refusalMemory {
			return 1
		}
		return 0
	}
	avoided := func(n *node) int {
		if g.avoided[n.WorkerProcess.Worker] {
			return 1
		}
		return 0
	}
	left := func(n *node) time.Duration { return max(0, n.health.quarantinedUntil.Sub(r.now)) }
	return cmp.Or(
		cmp.Compare(refused(a), refused(b)),
		cmp.Compare(avoided(a), avoided(b)),
		cmp.Compare(a.health.quarantineLength, b.health.quarantineLength),
		cmp.Compare(left(a), left(b)),
	)
}
