package pool

import (
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/work"
)

// Suspects have nodes for themselves, so that many of them could keep others, and each other, waiting without end. Groups in need
// take turns instead: these are the groups of jobs of which nothing runs, although the pool has room. The one that has waited
// longest gets the next start on the nodes where it can start soonest.

const (
	// isolationLimit is for how long an attempt of a suspect keeps others off its node: a probation, and as long again until
	// its worker has told of it.
	isolationLimit = 2 * Probation
	// maxTurns limits the groups that have a turn in a round.
	maxTurns = 16
	// maxTurnSearches limits the groups for which a round seeks a turn.
	maxTurnSearches = 8
	// turnPause is the time until a turn is sought again for a group for which there was none.
	turnPause = 50 * time.Millisecond
	// suspectsPercent is the percentage of a service's workers that suspects may have for themselves while others are in need.
	suspectsPercent = 50
	// turnSlot is the precision with which the waits for nodes are compared.
	turnSlot = Probation / 4
	// turnLoss is the wait of a group that loses its turn to one that has waited for longer.
	turnLoss = Probation
)

// turn is the next start on nodes, which others keep off until then.
type turn struct {
	nodes []*node
	// anyRack is set if the nodes are not on the rack that the group asks for.
	anyRack bool
}

// takeTurns gives groups of jobs of which nothing runs, longest wait first, the next turn on nodes that suspects would have for
// themselves, and places those that can start.
func (r *round) takeTurns(waited []*group) {
	before := r.engine.turns
	r.engine.turns = map[*group]turn{}
	if len(r.engine.suspects) == 0 {
		return
	}
	t := &turns{round: r, next: map[*node]*group{}, inNeed: r.groupsInNeed(waited)}
	r.engine.crowded = crowdedServices(t.inNeed)
	for _, g := range t.inNeed {
		next := before[g]
		if !t.mayKeep(g, next) {
			next = t.seek(g)
		}
		if next.nodes == nil || t.start(g, next) {
			continue
		}
		r.engine.turns[g] = next
		if g.suspected() {
			g.reserved = nil
		}
		for _, n := range next.nodes {
			t.next[n] = g
			if r.isolated[n] == nil {
				r.isolated[n] = g
			}
		}
	}
}

// crowdedServices returns the services in which groups that nobody suspects are in need.
func crowdedServices(inNeed []*group) map[work.Service]bool {
	crowded := map[work.Service]bool{}
	for _, g := range inNeed {
		if !g.suspected() {
			crowded[g.job.settings.Service] = true
		}
	}
	return crowded
}

// exceedsShare reports whether suspects have so many workers of a service for themselves, while others are in need, that another
// one has to wait.
func (r *round) exceedsShare(g *group) bool {
	service := g.job.settings.Service
	if !g.suspected() || !r.engine.crowded[service] {
		return false
	}
	isolated := 0
	for n, owner := range r.isolated {
		if n.Accepting && n.Service == service && owner != g && owner.suspected() {
			isolated++
		}
	}
	return isolated > 0 && isolated*100 >= r.acceptingOf(service)*suspectsPercent
}

// acceptingOf returns the number of accepting workers of a service, counted once per round.
func (r *round) acceptingOf(service work.Service) int {
	if r.accepting == nil {
		r.accepting = map[work.Service]int{}
		for _, n := range r.engine.nodes {
			if n.Accepting {
				r.accepting[n.Service]++
			}
		}
	}
	return r.accepting[service]
}

// groupsInNeed returns the groups that have waited although the pool has room, while nothing of their job runs, longest wait
// first. Of a job that does not last it returns one.
func (r *round) groupsInNeed(waited []*group) []*group {
	seen := map[*job]bool{}
	noRoom := map[holdKey]int{}
	found := make([]*group, 0, maxTurns)
	for _, g := range slices.SortedFunc(slices.Values(waited), compareWait) {
		if len(found) == maxTurns {
			break
		}
		if !g.due(r.now) {
			continue
		}
		if !g.spec().Lasting {
			if seen[g.job] || g.job.attachedParts() > 0 {
				continue
			}
			seen[g.job] = true
		}
		key := r.holdKey(g)
		if least := noRoom[key]; least > 0 && len(g.parts) >= least {
			continue
		}
		if !r.hasRoom(g) {
			noRoom[key] = len(g.parts)
			continue
		}
		found = append(found, g)
	}
	return found
}

// turns are the turns of a round.
type turns struct {
	round *round
	// next holds the group that has the next turn on a node.
	next map[*node]*group
	// inNeed holds the groups that may take a turn, longest wait first.
	inNeed []*group
	// sought counts the groups for which a turn was sought.
	sought int
}

// mayKeep reports whether a group may keep a turn that it had in the round before.
func (t *turns) mayKeep(g *group, had turn) bool {
	if len(had.nodes) != len(g.parts) || !t.round.canHold(g, had.nodes, t.round.freeFor(g)) {
		return false
	}
	return !slices.ContainsFunc(had.nodes, func(n *node) bool {
		_, ok := t.startsIn(g, n)
		return !ok
	})
}

// seek returns a new turn of a group; without nodes if there is none. It looks again after turnPause.
func (t *turns) seek(g *group) turn {
	r := t.round
	if t.sought == maxTurnSearches || r.now.Sub(g.wait.turnSoughtAt) < turnPause || r.exceedsShare(g) {
		return turn{}
	}
	t.sought++
	found := t.choose(g)
	if found.nodes == nil {
		g.wait.turnSoughtAt = r.now
	}
	return found
}

// choose returns the turn with which a group can start soonest; without nodes if there is none.
func (t *turns) choose(g *group) turn {
	r := t.round
	waits := map[*node]time.Duration{}
	var open []*node
	var slots []time.Duration
	for _, n := range r.ableNodes(g) {
		if wait, ok := t.startsIn(g, n); ok {
			slot := wait / turnSlot
			waits[n], open, slots = slot, append(open, n), append(slots, slot)
		}
	}
	available := r.freeFor(g)
	if !r.canHoldAll(g, open, available) {
		return turn{}
	}
	slices.Sort(slots)
	slots = slices.Compact(slots)
	for _, slot := range slots {
		nodes := slices.DeleteFunc(slices.Clone(open), func(n *node) bool { return waits[n] > slot })
		packed := packApart(g, nodes, func(nodes []*node) []*node { return r.packPreferred(g, nodes, available) })
		if packed != nil {
			return turn{nodes: packed}
		}
	}
	for _, slot := range slots {
		nodes := slices.DeleteFunc(slices.Clone(open), func(n *node) bool { return waits[n] > slot })
		slices.SortStableFunc(nodes, r.compareHealth)
		if packed := r.packLeading(g, r.avoidedLast(g, nodes), available); packed != nil {
			return turn{nodes: packed, anyRack: true}
		}
	}
	return turn{}
}

// startsIn returns how soon a group may start on a node if it has the next turn there. It returns false if it may not have it. A
// node that another group in need waits for counts as turnLoss later, and is open only to a group that has waited for longer.
func (t *turns) startsIn(g *group, n *node) (time.Duration, bool) {
	r := t.round
	if !n.Accepting || !n.eligibleFor(g) || r.unshared(g.spec(), n) || t.next[n] != nil && t.next[n] != g {
		return 0, false
	}
	if !g.suspected() && r.holdLeft(g) > 0 && (!n.health.healthy(r.now) || r.headroom[n.index] && r.leavesHeadroom(g.job)) {
		return 0, false
	}
	wait := time.Duration(0)
	if !n.health.healthy(r.now) {
		wait = min(n.health.quarantinedUntil.Sub(r.now), r.holdLeft(g))
	}
	if r.headroom[n.index] && r.leavesHeadroom(g.job) {
		wait = max(wait, r.holdLeft(g))
	}
	if g.suspected() {
		if r.now.Before(n.health.unreachedUntil) {
			return 0, false
		}
		wait = max(wait, n.clearIn(g, r.now))
	}
	owner := r.isolated[n]
	switch {
	case owner == nil || owner == g:
		return wait, true
	case owner.phase != waiting:
		return max(wait, owner.isolatesFor(r.now)), true
	case !t.waitsInNeed(owner):
		return wait, true
	}
	waitedLonger := g.wait.untried().Before(owner.wait.untried())
	aboutToStart := owner.suspected() && n.clearIn(owner, r.now) < turnLoss/2
	return wait + turnLoss, waitedLonger && !aboutToStart
}

// waitsInNeed reports whether a group, which may be nil, waits and is in need.
func (t *turns) waitsInNeed(g *group) bool {
	return g != nil && g.phase == waiting && slices.Contains(t.inNeed, g)
}

// start places a group with a turn if it can start now on all of the nodes.
func (t *turns) start(g *group, next turn) bool {
	r := t.round
	if next.anyRack && r.holdLeft(g) > 0 || !r.canHold(g, next.nodes, r.freeFor(g)) {
		return false
	}
	for _, n := range next.nodes {
		wait, ok := t.startsIn(g, n)
		if owner := r.isolated[n]; owner != g && t.waitsInNeed(owner) {
			// What the other group loses counts in the choice of nodes only.
			wait -= turnLoss
		}
		if !ok || wait > 0 {
			return false
		}
	}
	g.wait.holdsEnded = g.wait.holdsEnded || r.holdLeft(g) <= 0
	r.place(g, next.nodes)
	return g.phase == placed
}

// holdLeft returns for how long headroom, quarantines and the choice of a rack still hold a group back.
func (r *round) holdLeft(g *group) time.Duration {
	return max(0, maxHold-g.waited(r.now), refusedPause-r.now.Sub(g.wait.triedAt))
}

// freeFor returns the capacity of nodes that a group in need may use. Reservations hold no group back for longer than headroom
// does but suspects, which would have the node for themselves: they use what is left there, and only at last.
func (r *round) freeFor(g *group) capacityFunc {
	switch {
	case g.suspected() && g.waited(r.now) < LongWait:
		return func(n *node) work.Resources {
			if r.reservedFor[n] {
				return work.Resources{}
			}
			return r.free(n)
		}
	case g.suspected() || r.holdLeft(g) > 0:
		return r.free
	}
	return r.freeBesideGuaranteed
}

// isolatesFor returns for how long a suspect on probation keeps others off its node, unless its worker does not tell of it.
func (g *group) isolatesFor(now time.Time) time.Duration {
	ran := now.Sub(g.startedAt)
	if ran < Probation {
		return Probation - ran
	}
	return max(0, isolationLimit-ran)
}

// clearIn returns in what time nothing else is on probation on a node.
func (n *node) clearIn(g *group, now time.Time) time.Duration {
	clear := max(0, Probation-now.Sub(n.lastStart))
	for p := range n.parts {
		if p.group != g && !p.survived && p.group.suspected() {
			clear = max(clear, p.group.isolatesFor(now), turnSlot)
		}
	}
	return clear
}

// clearFor reports whether nothing but the group is on probation on a node, as far as that is known.
func (n *node) clearFor(g *group, now time.Time) bool {
	return n.clearIn(g, now) == 0
}
