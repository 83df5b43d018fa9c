package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// retryPause is how long a group that failed waits before it is placed again.
const retryPause = 50 * time.Millisecond

// current returns the part of an attempt when the attempt is the newest and may run, else nil.
func (e *Engine) current(a work.Attempt) *part {
	j := e.jobs[a.Part.Job]
	if j == nil {
		return nil
	}
	p := j.find(a.Part)
	if p == nil || p.group.attempt != a.Number || p.node == nil {
		return nil
	}
	return p
}

// MayRun tells whether an attempt may run on a worker as far as the engine knows.
func (e *Engine) MayRun(a work.Attempt, worker ident.Worker) bool {
	p := e.current(a)
	return p != nil && p.node.WorkerProcess.Worker == worker
}

// ShouldRun tells whether an attempt is still to run on a worker.
func (e *Engine) ShouldRun(a work.Attempt, worker ident.Worker) bool {
	p := e.current(a)
	return p != nil && p.node.WorkerProcess.Worker == worker && !p.halting
}

// AttemptRunning tells that a worker runs an attempt, how much of it is done, and its newest checkpoint.
func (e *Engine) AttemptRunning(a work.Attempt, percent int, saved work.Checkpoint, now time.Time) {
	p := e.current(a)
	if p == nil {
		return
	}
	g := p.group
	e.save(g, saved, now)
	g.watch.see(percent, now)
	p.node.pace.note(g, now)
}

// StopUnconfirmed stops the group of an attempt, as it is not known whether it was started.
func (e *Engine) StopUnconfirmed(a work.Attempt) {
	p := e.current(a)
	if p == nil || p.halting {
		return
	}
	if p.group.phase == placed {
		p.group.phase = ending
	}
	e.haltGroup(p.group, ReasonUnconfirmed)
}

// save notes a group's newest checkpoint.
func (e *Engine) save(g *group, saved work.Checkpoint, now time.Time) {
	if saved != "" && saved != g.checkpoint {
		g.checkpoint = saved
		g.savedAt = now
	}
}

// AttemptEnded tells that an attempt has ended. Ends of attempts that are not the newest change nothing.
func (e *Engine) AttemptEnded(a work.Attempt, how End, saved work.Checkpoint, now time.Time) {
	if p := e.current(a); p != nil {
		e.end(p, how, saved, now)
	}
}

func (e *Engine) end(p *part, how End, saved work.Checkpoint, now time.Time) {
	g, n := p.group, p.node
	if how == Done {
		e.learn(g, now)
	}
	n.detach(p)
	e.save(g, saved, now)
	e.judge(n, g, how, now)
	if g.phase == done || g.job.state.Terminal() {
		// The record tells the end already.
		e.retire(g.job)
		return
	}
	e.touch(g.job)
	if how == Done && !g.spec().Lasting {
		e.complete(g)
		return
	}
	if how == Failed {
		g.failed = true
		g.avoid(n.WorkerProcess.Worker)
	}
	g.phase = ending
	e.haltGroup(g, ReasonGangEnded)
	if g.attached() == 0 {
		e.settle(g, now)
	}
}

// complete marks a group as done; parts of a gang that are still listed as running end with it.
func (e *Engine) complete(g *group) {
	g.phase = done
	j := g.job
	stage := g.stage()
	stage.open--
	if stage.open == 0 {
		stage.compare()
	}
	if j.complete() {
		j.state = ident.Succeeded
		e.retire(j)
	}
}

// settle decides what follows an attempt of which nothing is left.
func (e *Engine) settle(g *group, now time.Time) {
	if g.failed {
		g.failures++
	}
	g.failed = false
	if g.spent() {
		e.finish(g.job, ident.Failed, ReasonFailed)
		return
	}
	g.phase = waiting
	g.retryAt = now.Add(retryPause)
}
