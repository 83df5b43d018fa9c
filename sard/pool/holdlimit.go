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
	refusedPause = 250 * time.Millisecond
	// maxHoldSearches limits the groups for which a round searches for nodes when holds end.
	maxHoldSearches = 128
	// refusalMemory is for how long after a refusal other workers are tried first.
	refusalMemory = 2 * time.Second
)

// holdKey holds the properties of a group that determine whether it can be placed when holds end, apart from the number of
// its parts.
type holdKey struct {
	candidateKey
	// limited is the step of a group that is limited in its parts on each worker, since those of its own step count.
	limited *stepState
	// suspected is set for suspects, and isolating is a suspect that has nodes for itself.
	suspected bool
	isolating *group
	lasting   bool
}

// holdKey returns the properties of g that determine whether it can be placed when holds end.
func (r *round) holdKey(g *group) holdKey {
	key := holdKey{candidateKey: r.openKey(g), suspected: g.suspected(), lasting: g.spec().Lasting}
	if g.spec().MaxPerWorker > 0 {
		key.limited = g.stepState()
	}
	if r.isolating[g] {
		key.isolating = g
	}
	return key
}

// holdDemand is what is known in a round of the groups with an equal holdKey.
type holdDemand struct {
	// stillHeld is the number of parts from which on groups can't be placed when holds end; 0 if not known.
	stillHeld int
}

// holdDemand returns what is known of the end of holds for groups like g.
func (r *round) holdDemand(g *group) *holdDemand {
	d := g.latestDemand
	sameDemand := d != nil && d.round == r.number && !g.spec().Lasting && !r.isolating[g]
	if sameDemand && d.hold != nil {
		return d.hold
	}
	key := r.holdKey(g)
	found := r.holds[key]
	if found == nil {
		found = &holdDemand{}
		r.holds[key] = found
	}
	if sameDemand {
		d.hold = found
	}
	return found
}

// endHolds places groups that have been held back for maxHold in a pool with room, although nothing of their job runs, as if
// nothing was kept free for guaranteed jobs, across racks if need be, and at last on quarantined workers.
//
// A round searches for the nodes of maxHoldSearches groups at most, the most urgent first. Those for which that does not
// suffice have their turn in the next rounds, before any other group has its second one.
func (r *round) endHolds(waited []*group) {
	e := r.engine
	running := map[*job]bool{}
	searches, postponed := 0, false
	for _, g := range waited {
		if g.wait.holdTurn == e.holdTurn || !g.heldForLong(r.now) || g.wait.probationAt.Equal(r.now) {
			continue
		}
		hold := r.holdDemand(g)
		if hold.stillHeld > 0 && len(g.parts) >= hold.stillHeld {
			g.wait.holdTurn = e.holdTurn
			continue
		}
		if !r.mayEndHolds(g, running) {
			continue
		}
		if searches == maxHoldSearches {
			postponed = true
			continue
		}
		searches++
		g.wait.holdTurn = e.holdTurn
		if r.placeHeldBack(g) {
			running[g.job] = true
		} else {
			hold.stillHeld = len(g.parts)
		}
	}
	if !postponed {
		e.holdTurn++
	}
}

// mayEndHolds reports whether a group that has waited for long may be placed in spite of holds: if it lasts, or nothing of
// its job runs. It notes in running which jobs run.
func (r *round) mayEndHolds(g *group, running map[*job]bool) bool {
	if g.spec().Lasting {
		return true
	}
	runs, known := running[g.job]
	if !known {
		runs = g.job.attachedParts() > 0
		running[g.job] = runs
	}
	return !runs
}

// placeHeldBack places a group that nothing holds back any more but what would do harm. It reports false if that is not
// possible, or if there is not room enough.
func (r *round) placeHeldBack(g *group) bool {
	if !r.hasRoom(g) {
		return false
	}
	nodes := r.packHeldBack(g)
	if nodes == nil {
		return false
	}
	g.wait.holdsEnded = true
	r.place(g, nodes)
	return true
}

// mayUse reports whether the health of a node's worker allows that the group is placed there.
func (g *group) mayUse(n *node, now time.Time) bool {
	return n.health.healthy(now) || g.wait != nil && g.wait.holdsEnded
}

// heldForLong reports whether the group has been held back for as long as it may.
func (g *group) heldForLong(now time.Time) bool {
	return g.due(now) && g.waited(now) >= maxHold && now.Sub(g.wait.triedAt) >= refusedPause
}

// packHeldBack returns nodes for a group that nothing holds back any more but what would do harm, or nil. A suspect gets
// nodes on which something is on probation only if there are no others, and none on which others reserved capacity.
func (r *round) packHeldBack(g *group) []*node {
	if !g.suspected() {
		if nodes := r.packOpen(g, r.free); nodes != nil {
			return nodes
		}
		return r.packOpen(g, r.freeBesideGuaranteed)
	}
	quiet := r.freeIf(func(n *node) bool { return n.clearFor(g, r.now) })
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
	open := r.openTo(g)
	if !r.canHoldAll(g, open.all, available) {
		return nil
	}
	if r.canHoldAll(g, open.healthy, available) {
		return packApart(g, open.healthy, func(nodes []*node) []*node { return r.packHealthy(g, nodes, available) })
	}
	usable := r.avoidedLast(g, open.healthiestFirst)
	if g.suspected() {
		usable = slices.DeleteFunc(slices.Clone(usable), func(n *node) bool { return r.now.Before(n.health.unreachedUntil) })
	}
	return packApart(g, usable, func(nodes []*node) []*node { return r.packLeading(g, nodes, available) })
}

// packHealthy places a group on the healthy nodes that suit it, or else on several racks.
func (r *round) packHealthy(g *group, healthy []*node, available capacityFunc) []*node {
	if nodes := r.packPreferred(g, healthy, available); nodes != nil {
		return nodes
	}
	part, _, _ := r.fastPart(g, healthy, available)
	return r.packTight(g, part, available)
}

// packLeading places a group on the first of the nodes that can hold it.
func (r *round) packLeading(g *group, nodes []*node, available capacityFunc) []*node {
	want := len(g.parts)
	for i, n := range nodes {
		if want -= r.maxParts(g, n, available(n)); want <= 0 {
			return r.packTight(g, nodes[:i+1], available)
		}
	}
	return nil
}

// avoidedLast returns the nodes, of which those that have just refused a start come last, with those that the group avoids at
// the end of either kind.
func (r *round) avoidedLast(g *group, nodes []*node) []*node {
	if len(g.avoided)+len(g.avoidedHosts) == 0 {
		return nodes
	}
	avoided := func(n *node) int { return boolRank(g.avoids(n)) }
	sorted := slices.Clone(nodes)
	slices.SortStableFunc(sorted, func(a, b *node) int {
		return cmp.Or(r.compareRefusal(a, b), cmp.Compare(avoided(a), avoided(b)))
	})
	return sorted
}
