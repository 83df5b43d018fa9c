package pool

import (
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

//go:generate go tool stringer -type=WaitReason -output=waitreason_string.go

// WaitReason tells why a group whose turn has come is not placed.
type WaitReason int

// Reasons for which a group waits. Each but the first two holds it back although there is room.
const (
	// NotExamined is the reason of a group that has not waited for long.
	NotExamined WaitReason = iota
	// NoRoom means that the workers which may run the group have too little free capacity.
	NoRoom
	// LimitPerWorker means that only workers have room that run as many parts of the step as it allows.
	LimitPerWorker
	// KeptApart means that only workers have room on which the group's parts would disturb others, or be disturbed, and which do not
	// obey throttle requests.
	KeptApart
	// IsolatedForSuspects means that only workers have room which a suspect has for itself.
	IsolatedForSuspects
	// ReservedForOthers means that the capacity is reserved for other groups.
	ReservedForOthers
	// Quarantined means that only workers have room that are quarantined or suspended.
	Quarantined
	// KeptForGuaranteed means that only workers have room that are kept free for guaranteed jobs.
	KeptForGuaranteed
	// AwaitsRack means that there is room, but not on one rack, or not on that of the data.
	AwaitsRack
	// AwaitsStops means that capacity is reserved for the group, parts of which are still being stopped there.
	AwaitsStops
	// AwaitsProbation means that the group is a suspect and waits until nothing is on probation on its workers.
	AwaitsProbation
	// PlacementRejected means that a placement was rejected by the invariant checks.
	PlacementRejected
	// PassedOver means that the group fits and was not placed for another reason.
	PassedOver
	waitReasons
)

const (
	// LongWait is how long a group may wait in a pool with room before it is reported.
	LongWait = 2500 * time.Millisecond
	// examinedAfter is how long a group waits before the reason is examined, and examinedEvery how often it is examined
	// again at most.
	examinedAfter = 500 * time.Millisecond
	examinedEvery = time.Second
	// takeoverGrace is how long holds last at least after a new lease holder has begun.
	takeoverGrace = 500 * time.Millisecond
	// maxExamined limits the groups that are examined in a round.
	maxExamined = 4
	// maxLongWaits limits the long waits that are kept until they are taken.
	maxLongWaits = 64
)

// waitState is what is known of a group's wait.
type waitState struct {
	// since is when the group's turn came.
	since      time.Time
	reason     WaitReason
	examinedAt time.Time
	// triedAt is when the group was last placed since; zero if it was not. Its worker may refuse it.
	triedAt time.Time
	// probationAt is the last round in which the group, a suspect, waited for nothing but probations on its nodes.
	probationAt time.Time
	// turnSoughtAt is when a turn was last sought for the group in vain.
	turnSoughtAt time.Time
	// holdsEnded is set once the group may use quarantined workers.
	holdsEnded bool
	// holdTurn is the turn of Engine.holdTurn in which the group was last examined by endHolds.
	holdTurn int
	// reported is set once the wait has been found to be long.
	reported bool
}

// Wait is a group whose turn has come, and which is not placed.
type Wait struct {
	// Part is the first part of the group.
	Part   work.Part
	Reason WaitReason
	For    time.Duration
}

// WaitCount holds how many groups wait for a reason, and the longest wait among them.
type WaitCount struct {
	Groups  int
	Longest time.Duration
}

// WaitCounts holds a WaitCount for each WaitReason.
type WaitCounts [waitReasons]WaitCount

// Waits returns the number of groups that wait, and their longest wait, by reason.
func (e *Engine) Waits() WaitCounts {
	var counts WaitCounts
	for _, j := range e.jobs {
		e.forEachWait(j, func(w Wait) {
			c := &counts[w.Reason]
			c.Groups++
			c.Longest = max(c.Longest, w.For)
		})
	}
	return counts
}

// WaitsOf returns the groups of a job that wait.
func (e *Engine) WaitsOf(id ident.Job) []Wait {
	var waits []Wait
	if j := e.jobs[id]; j != nil {
		e.forEachWait(j, func(w Wait) { waits = append(waits, w) })
	}
	return waits
}

// TakeLongWaits returns the groups whose wait in a pool with room has exceeded LongWait since the last call, each once.
func (e *Engine) TakeLongWaits() []Wait {
	taken := e.longWaits
	e.longWaits = nil
	return taken
}

// forEachWait calls visit for each group of a job that waits although its turn has come.
func (e *Engine) forEachWait(j *job, visit func(Wait)) {
	if j.state.Terminal() {
		return
	}
	j.forEachGroup(func(g *group) {
		if g.phase == waiting && g.wait != nil {
			visit(g.currentWait(e.now))
		}
	})
}

// currentWait returns the group's wait.
func (g *group) currentWait(now time.Time) Wait {
	first := work.Part{Job: g.job.ID, Occurrence: g.occurrence.number, Step: g.step, Index: g.first}
	return Wait{Part: first, Reason: g.wait.reason, For: now.Sub(g.wait.since)}
}

// waited returns for how long the group has waited since its turn came.
func (g *group) waited(now time.Time) time.Duration {
	return now.Sub(g.wait.since)
}

// untried returns since when the group has waited without being placed.
func (w *waitState) untried() time.Time {
	return latest(w.since, w.triedAt)
}

// beginWaits records which groups have their turn from now on, and returns those that have waited for examinedAfter.
func beginWaits(queue []*group, now time.Time) []*group {
	var waited []*group
	for _, g := range queue {
		switch {
		case g.wait == nil:
			g.wait = &waitState{since: now}
		case g.waited(now) >= examinedAfter:
			waited = append(waited, g)
		}
	}
	return waited
}

// resumeWaits records that the groups of a job of which nothing runs have waited since before the engine knew of it. A former
// lease holder was lost for a while, so that little of the limit of holds is left: takeoverGrace, in which workers respond.
func (j *job) resumeWaits(now time.Time) {
	since := latest(j.acceptedAt, now.Add(takeoverGrace-maxHold))
	if !since.Before(now) || j.state.Terminal() || j.attachedParts() > 0 {
		return
	}
	for _, g := range j.placeableGroups(now) {
		g.wait = &waitState{since: since}
	}
}

// tried records that the group was placed. Its wait ends when it is known to run, or has run.
func (g *group) tried(now time.Time) {
	if g.wait != nil {
		g.wait.triedAt = now
	}
}

// awaitProbation records that the group, a suspect, waits for nothing but probations on its nodes.
func (g *group) awaitProbation(now time.Time) {
	if g.wait != nil {
		g.wait.probationAt = now
	}
}

// rejected records that a placement of the group was rejected.
func (g *group) rejected(now time.Time) {
	if g.wait == nil {
		g.wait = &waitState{since: now}
	}
	g.wait.reason = PlacementRejected
}

// examineWaits finds out why groups that have waited were not placed in the round, a few of them in each round by turns.
func (r *round) examineWaits(waited []*group) {
	e := r.engine
	left := maxExamined
	for i := range waited {
		at := (e.examineFrom + i) % len(waited)
		g := waited[at]
		if !g.toExamine(r.now) {
			continue
		}
		if left == 0 {
			e.examineFrom = at
			return
		}
		left--
		r.examine(g)
	}
	e.examineFrom = 0
}

// toExamine reports whether the reason of the group's wait is to be examined.
func (g *group) toExamine(now time.Time) bool {
	return g.due(now) && now.Sub(g.wait.examinedAt) >= examinedEvery
}

// examine finds out why a group waits, and reports it if that has lasted for long although there is room.
func (r *round) examine(g *group) {
	w := g.wait
	w.examinedAt, w.reason = r.now, r.waitReason(g)
	if w.reported || w.reason <= NoRoom || g.waited(r.now) < LongWait || !r.hasRoom(g) {
		return
	}
	w.reported = true
	if e := r.engine; len(e.longWaits) < maxLongWaits {
		e.longWaits = append(e.longWaits, g.currentWait(r.now))
	}
}

// waitReason returns why a group is not placed: it leaves out more and more nodes, until the rest can't hold the group.
func (r *round) waitReason(g *group) WaitReason {
	if g.wait.probationAt.Equal(r.now) {
		return AwaitsProbation
	}
	free := (*node).free
	nodes := slices.Clone(r.ableNodes(g))
	if !r.canHoldAll(g, nodes, free) {
		return r.lackOfRoom(g, nodes)
	}
	for _, hold := range []struct {
		reason WaitReason
		holds  func(*node) bool
	}{
		{KeptApart, func(n *node) bool { return r.unshared(g.spec(), n) }},
		{IsolatedForSuspects, func(n *node) bool { return r.isolatedFrom(g, n) }},
		{Quarantined, func(n *node) bool { return !n.health.healthy(r.now) }},
		{KeptForGuaranteed, func(n *node) bool { return r.headroom[n.index] && r.leavesHeadroom(g.job) }},
	} {
		nodes = slices.DeleteFunc(nodes, hold.holds)
		if !r.canHoldAll(g, nodes, free) {
			return hold.reason
		}
	}
	switch {
	case len(g.reserved) > 0:
		return AwaitsStops
	case !r.canHoldAll(g, nodes, r.free):
		return ReservedForOthers
	case r.packByRack(g, nodes, r.free, true, r.allNodes) == nil:
		return AwaitsRack
	}
	return PassedOver
}

// lackOfRoom returns why nodes can't hold a group even if nothing is held back.
func (r *round) lackOfRoom(g *group, nodes []*node) WaitReason {
	want := len(g.parts)
	for _, n := range nodes {
		want -= partsByCapacity(g.demand(), n.free())
		if want <= 0 {
			return LimitPerWorker
		}
	}
	return NoRoom
}
