package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// Probation is how long an attempt must have run before it is taken not to crash its worker by its start.
	Probation = time.Second
	// crashLimit is the number of counted crashes of a part at which its job fails. From the second one on, the part was
	// started in isolation.
	crashLimit = 3
)

// CrashCount is the result of counting a crash.
type CrashCount struct {
	// Crashes is the number of counted crashes of the part, or 0 if this one was not counted.
	Crashes int
	// SincePlaced is the time since the part was placed.
	SincePlaced time.Duration
	// GivenUp is set if the job has failed by this crash.
	GivenUp bool
}

// suspected reports whether a part of the group may be the cause of a crash.
func (g *group) suspected() bool {
	return g.crashes > 0
}

// updateCrashes updates the highest number of counted crashes of the group's parts.
func (g *group) updateCrashes() {
	g.crashes = 0
	for i := range g.parts {
		g.crashes = max(g.crashes, g.parts[i].crashes)
	}
}

// CountCrash counts the crash of a worker process against the part of an attempt that was on probation there. Each
// attempt counts once, unless it was started again in a later process of the worker. At crashLimit the job fails.
func (e *Engine) CountCrash(a work.Attempt, process work.WorkerProcess, now time.Time) CrashCount {
	j := e.jobs[a.Part.Job]
	if j == nil || j.state.Terminal() {
		return CrashCount{}
	}
	p := j.findPart(a.Part)
	if p == nil {
		return CrashCount{}
	}
	g, crash := p.group, work.Crash{Attempt: a.Number, Process: process}
	if g.phase == done || a.Number > g.attempt || !follows(crash, p.lastCrash) || a.Number < g.attempt && p.survived {
		return CrashCount{}
	}
	p.crashes++
	p.lastCrash = crash
	g.updateCrashes()
	e.suspects[g] = true
	e.markDirty(j)
	count := CrashCount{Crashes: p.crashes, SincePlaced: now.Sub(g.startedAt), GivenUp: p.crashes >= crashLimit}
	if count.GivenUp {
		e.endJob(j, ident.Failed, ReasonCrashes)
	}
	return count
}

// follows reports whether a crash is another one than the latest that was counted for the part.
func follows(crash, last work.Crash) bool {
	if crash.Attempt != last.Attempt {
		return crash.Attempt > last.Attempt
	}
	return crash.Process.Worker == last.Process.Worker && crash.Process.StartedMs > last.Process.StartedMs
}

// AttemptSurvived records that an attempt has run for Probation, so that its part is no suspect any more.
func (e *Engine) AttemptSurvived(a work.Attempt) {
	p := e.currentPart(a)
	if p == nil || p.survived {
		return
	}
	p.survived = true
	if p.crashes == 0 {
		return
	}
	g := p.group
	p.crashes, p.lastCrash = 0, work.Crash{Attempt: g.attempt, Process: p.node.WorkerProcess}
	g.updateCrashes()
	if !g.suspected() {
		delete(e.suspects, g)
	}
	e.markDirty(g.job)
}

// appendCrashes adds the counted crashes of the group's parts to the record p, in which the group has the given index.
func (g *group) appendCrashes(p *work.Progress, index int) {
	if !g.suspected() || g.phase == done {
		return
	}
	for i := range g.parts {
		if part := &g.parts[i]; part.crashes > 0 {
			p.Crashes = append(p.Crashes, work.PartCrashes{Group: index, Part: part.index, Count: part.crashes, Last: part.lastCrash})
		}
	}
}

// restoreCrashes loads the recorded crashes of a job's parts.
func (e *Engine) restoreCrashes(j *job, p *work.Progress) {
	for _, recorded := range p.Crashes {
		if recorded.Group >= len(p.Groups) {
			continue
		}
		group := p.Groups[recorded.Group]
		found := j.findPart(work.Part{Occurrence: group.Occurrence, Step: group.Step, Index: recorded.Part})
		if found == nil || found.group.phase == done {
			continue
		}
		found.crashes, found.lastCrash = recorded.Count, recorded.Last
		found.group.updateCrashes()
		e.suspects[found.group] = true
	}
}

// isolatedNodes returns the nodes on which a suspect is on probation, or which it waits for, with the suspect.
func (e *Engine) isolatedNodes(now time.Time) map[*node]*group {
	maps.DeleteFunc(e.suspects, func(g *group, _ bool) bool { return g.phase == done || g.job.state.Terminal() })
	isolated := map[*node]*group{}
	for _, g := range slices.SortedFunc(maps.Keys(e.suspects), compareGroup) {
		for i := range g.parts {
			if p := &g.parts[i]; p.node != nil && !p.survived {
				isolated[p.node] = g
			}
		}
		if g.phase != waiting {
			continue
		}
		for _, n := range g.reserved {
			if isolated[n] == nil && n.Accepting && n.health.healthy(now) {
				isolated[n] = g
			}
		}
	}
	return isolated
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

// quiet reports whether nothing was started on the node for Probation.
func (n *node) quiet(now time.Time) bool {
	return now.Sub(n.lastStart) >= Probation
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
	quiet := func(n *node) bool { return n.quiet(r.now) }
	idle := func(n *node) bool { return quiet(n) && len(n.parts) == 0 }
	for _, accept := range []func(*node) bool{idle, quiet, func(*node) bool { return true }} {
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
