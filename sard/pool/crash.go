package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

//go:generate go tool stringer -type=CrashEvidence -output=crashevidence_string.go

// CrashEvidence is how certain it is that the crash of a worker followed the start of an attempt there.
type CrashEvidence int

// Kinds of evidence.
const (
	// LikelyCrash means that the worker stopped responding right after the attempt had started.
	LikelyCrash CrashEvidence = iota
	// PossibleCrash means that it is not known whether the attempt had started, or when the worker crashed.
	PossibleCrash
)

const (
	// Probation is how long an attempt must have run before it is taken not to crash its worker by its start.
	Probation = time.Second
	// crashLimit is the number of counted crashes of a part at which its job fails. From the second one on, the part was
	// started in isolation.
	crashLimit = 3
	// crashLimitPossible is the same for likely and possible crashes together.
	crashLimitPossible = 5
	// isolationPossible is the number of possible crashes from which a part is started in isolation.
	isolationPossible = 2
)

// CrashCount is the result of counting a crash.
type CrashCount struct {
	// Crashes is the number of counted crashes of the part, or 0 if this one was not counted. Possible is the number of
	// those that are only possible.
	Crashes, Possible int
	// SincePlaced is the time since the part was placed.
	SincePlaced time.Duration
	// GivenUp is set if the job has failed by this crash.
	GivenUp bool
}

// suspected reports whether a part of the group is likely to be the cause of a crash, so that it is started in isolation.
func (g *group) suspected() bool {
	for i := range g.parts {
		if g.parts[i].crashes.suspicious() {
			return true
		}
	}
	return false
}

// crashesTooOften reports whether a part of the group has crashed so many workers that its job fails.
func (g *group) crashesTooOften() bool {
	return slices.ContainsFunc(g.parts, func(p part) bool { return p.crashes.tooMany() })
}

// CountCrash counts the crash of a worker process against the part of an attempt that was on probation there, and makes the
// part avoid the worker's host. Each attempt counts once, unless it was started again in a later process of the worker. At
// crashLimit or crashLimitPossible the job fails.
func (e *Engine) CountCrash(a work.Attempt, process work.WorkerProcess, evidence CrashEvidence, now time.Time) CrashCount {
	j := e.jobs[a.Part.Job]
	if j == nil || j.state.Terminal() {
		return CrashCount{}
	}
	p := j.findPart(a.Part)
	if p == nil {
		return CrashCount{}
	}
	g, crash, host := p.group, work.Crash{Attempt: a.Number, Process: process}, e.hostOf(process.Worker)
	if g.phase == done || a.Number > g.attempt || a.Number < g.attempt && p.survived || !p.crashes.add(crash, host, evidence) {
		return CrashCount{}
	}
	g.avoidHost(host)
	if g.suspected() {
		e.suspects[g] = true
	}
	e.markDirty(j)
	count := CrashCount{
		Crashes: p.crashes.count(), Possible: p.crashes.possible(), SincePlaced: now.Sub(g.startedAt), GivenUp: p.crashes.tooMany(),
	}
	if count.GivenUp {
		e.endJob(j, ident.Failed, ReasonCrashes)
	}
	return count
}

// hostOf returns the host of a worker, or one that is named after the worker if that is unknown.
func (e *Engine) hostOf(worker ident.Worker) ident.Host {
	if n := e.nodesByID[worker]; n != nil {
		return n.host()
	}
	return ident.Host(worker)
}

// countUnprovenStart counts the end of an attempt against a part under which crashLimit workers may have crashed, unless the
// attempt has survived its probation or has crashed its worker itself. Such a part may start a few times more at most,
// however its attempts end. A failure that the worker has reported does not count unless a crash was likely.
func (e *Engine) countUnprovenStart(p *part, n *node, end End) {
	g := p.group
	if p.crashes.count() < crashLimit || p.survived || end == Done || end == Refused || p.crashes.last.Attempt == g.attempt {
		return
	}
	if end == Failed && p.crashes.likely == 0 {
		return
	}
	if !p.crashes.addPossible(n.host()) {
		return
	}
	p.crashes.last = work.Crash{Attempt: g.attempt, Process: n.WorkerProcess}
	e.markDirty(g.job)
	if p.crashes.tooMany() {
		e.endJob(g.job, ident.Failed, ReasonCrashes)
	}
}

// AttemptSurvived records that an attempt has run for Probation, so that its part is no suspect any more.
func (e *Engine) AttemptSurvived(a work.Attempt) {
	p := e.currentPart(a)
	if p == nil || p.survived {
		return
	}
	p.survived = true
	p.group.wait = nil
	if p.crashes.count() == 0 {
		return
	}
	g := p.group
	p.crashes = crashTally{last: work.Crash{Attempt: g.attempt, Process: p.node.WorkerProcess}}
	if !g.suspected() {
		delete(e.suspects, g)
	}
	e.markDirty(g.job)
}

// isolatedNodes returns the nodes on which a suspect is on probation, or which it waits for, with the suspect.
func (e *Engine) isolatedNodes(now time.Time) map[*node]*group {
	maps.DeleteFunc(e.suspects, func(g *group, _ bool) bool { return g.phase == done || g.job.state.Terminal() })
	isolated := map[*node]*group{}
	suspects := slices.SortedFunc(maps.Keys(e.suspects), compareWait)
	for _, g := range suspects {
		for i := range g.parts {
			if p := &g.parts[i]; p.node != nil && !p.survived && now.Sub(g.startedAt) < isolationLimit {
				isolated[p.node] = g
			}
		}
	}
	for _, g := range slices.SortedFunc(maps.Keys(e.turns), compareWait) {
		for _, n := range e.turns[g].nodes {
			if g.phase == waiting && !g.job.state.Terminal() && isolated[n] == nil && n.Accepting {
				isolated[n] = g
			}
		}
	}
	for _, g := range suspects {
		if g.phase != waiting {
			continue
		}
		for _, n := range g.reserved {
			if isolated[n] == nil && n.Accepting && g.mayUse(n, now) {
				isolated[n] = g
			}
		}
	}
	return isolated
}

// compareWait orders groups by how long they have waited since they were last tried, longest first, and those that don't wait
// last.
func compareWait(a, b *group) int {
	switch {
	case a.wait != nil && b.wait != nil:
		return cmp.Or(a.wait.untried().Compare(b.wait.untried()), compareGroup(a, b))
	case a.wait != nil:
		return -1
	case b.wait != nil:
		return 1
	}
	return compareGroup(a, b)
}

// isolate keeps other groups off the nodes of a suspect for the rest of the round.
func (r *round) isolate(g *group, nodes []*node) {
	for _, n := range nodes {
		r.isolated[n] = g
	}
}

// isolatedFrom reports whether a suspect other than the group has the node for itself.
func (r *round) isolatedFrom(g *group, n *node) bool {
	owner := r.isolated[n]
	return owner != nil && owner != g
}

// packIsolated returns nodes for a suspect: those that it waits for, or else preferably idle ones, then those without an
// attempt on probation. It returns nil if the suspect does not fit.
func (r *round) packIsolated(g *group) []*node {
	if nodes := r.keptReservation(g); nodes != nil {
		if r.canHold(g, nodes, r.free) {
			return nodes
		}
	} else {
		g.reserved = nil
	}
	if r.exceedsShare(g) {
		return nil
	}
	quiet := func(n *node) bool { return n.clearFor(g, r.now) }
	idle := func(n *node) bool { return quiet(n) && len(n.parts) == 0 }
	all := func(*node) bool { return true }
	if !r.mayFit(g, r.freeIf(all)) {
		return nil
	}
	accepts := []func(*node) bool{idle, quiet}
	if _, ok := r.engine.turns[g]; !ok {
		accepts = append(accepts, all)
	}
	for _, accept := range accepts {
		if nodes := r.pack(g, r.freeIf(accept)); nodes != nil {
			return nodes
		}
	}
	return nil
}

// freeIf returns the capacity that is available now on the nodes that accept allows, unless other groups have reserved
// some of it.
func (r *round) freeIf(accept func(*node) bool) capacityFunc {
	return func(n *node) work.Resources {
		if !accept(n) || r.free(n) != n.free() {
			return work.Resources{}
		}
		return r.free(n)
	}
}
