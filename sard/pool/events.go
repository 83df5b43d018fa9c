package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// retryDelay is the wait before a group is placed again after an attempt ended.
const retryDelay = 50 * time.Millisecond

// currentPart returns the part that an attempt belongs to, or nil if the attempt is not the part's latest one or is
// certain not to run.
func (e *Engine) currentPart(a work.Attempt) *part {
	j := e.jobs[a.Part.Job]
	if j == nil {
		return nil
	}
	p := j.findPart(a.Part)
	if p == nil || p.group.attempt != a.Number || p.node == nil {
		return nil
	}
	return p
}

// MayRun reports whether an attempt may be running on a worker, as far as the engine knows.
func (e *Engine) MayRun(a work.Attempt, worker ident.Worker) bool {
	p := e.currentPart(a)
	return p != nil && p.node.WorkerProcess.Worker == worker
}

// ShouldRun reports whether an attempt is meant to run on a worker and is not being stopped.
func (e *Engine) ShouldRun(a work.Attempt, worker ident.Worker) bool {
	p := e.currentPart(a)
	return p != nil && p.node.WorkerProcess.Worker == worker && !p.stopping
}

// HasCapacity reports whether the worker of an attempt, which may have shrunk, has the capacity for it beside the worker's
// other attempts. It leaves out those that absent returns true for.
func (e *Engine) HasCapacity(a work.Attempt, absent func(work.Attempt) bool) bool {
	p := e.currentPart(a)
	if p == nil {
		return false
	}
	if p.node.allocated.Fits(p.node.Capacity) {
		return true
	}
	needed := p.group.demand()
	for other := range p.node.parts {
		if other != p && !absent(other.attemptID()) {
			needed = needed.Plus(other.group.demand())
		}
	}
	return needed.Fits(p.node.Capacity)
}

// HasLabel reports whether the worker of an attempt has the label that the attempt's step requires. Another process of the worker
// may lack it.
func (e *Engine) HasLabel(a work.Attempt) bool {
	p := e.currentPart(a)
	return p != nil && p.node.hasLabelFor(p.group.spec())
}

// AttemptRunning records a worker's report that an attempt is running, with its progress in percent and its latest
// checkpoint.
func (e *Engine) AttemptRunning(a work.Attempt, percent int, checkpoint work.Checkpoint, now time.Time) {
	p := e.currentPart(a)
	if p == nil {
		return
	}
	g := p.group
	g.job.begun = true
	e.saveCheckpoint(g, checkpoint, now)
	p.percent, p.reported = percent, true
	if g.givesWay() {
		// Its pace tells nothing of its worker, and a standstill is meant.
		g.gaveWay, g.progress = true, attemptProgress{fromStart: g.progress.fromStart}
		return
	}
	if e.config.RunTimes && !p.slowestOfGang() {
		return
	}
	g.progress.report(percent, now)
	e.recordRate(p.node, g, now)
	e.learnFromProgress(g, percent, now)
}

// slowestOfGang reports whether no part of the group has got less far. The parts of a gang get on by themselves and end
// together, so that the progress of the gang is that of its slowest part. It is unknown until all have reported.
func (p *part) slowestOfGang() bool {
	for i := range p.group.parts {
		other := &p.group.parts[i]
		if other.node != nil && (!other.reported || other.percent < p.percent) {
			return false
		}
	}
	return true
}

// AttemptBegan records that a worker has confirmed the start of an attempt.
func (e *Engine) AttemptBegan(a work.Attempt) {
	if j := e.jobs[a.Part.Job]; j != nil {
		j.begun = true
	}
}

// QueueOfBegun returns the queue of a job of which a part is known to have run, or false.
func (e *Engine) QueueOfBegun(id ident.Job) (work.QueueName, bool) {
	j := e.jobs[id]
	if j == nil || !j.begun {
		return "", false
	}
	return j.Queue, true
}

// StopUnconfirmed stops the group of an attempt because it is unknown whether the attempt was started.
func (e *Engine) StopUnconfirmed(a work.Attempt) {
	p := e.currentPart(a)
	if p == nil || p.stopping {
		return
	}
	if p.group.phase == placed {
		p.group.phase = ending
	}
	e.stopGroup(p.group, ReasonUnconfirmed)
}

// saveCheckpoint stores a group's latest checkpoint and the time at which it changed. One that is too long for the record
// is left out.
func (e *Engine) saveCheckpoint(g *group, checkpoint work.Checkpoint, now time.Time) {
	if checkpoint != "" && checkpoint != g.checkpoint && len(checkpoint) <= work.MaxCheckpointBytes {
		g.checkpoint = checkpoint
		g.savedAt = now
	}
}

// AttemptEnded records the end of an attempt. It ignores attempts that are not the latest of their part.
func (e *Engine) AttemptEnded(a work.Attempt, end End, checkpoint work.Checkpoint, now time.Time) {
	if p := e.currentPart(a); p != nil {
		e.endAttempt(p, end, checkpoint, now)
	}
}

// endAttempt records the end of a part's attempt, then completes the group, or stops its remaining parts and retries
// it.
func (e *Engine) endAttempt(p *part, end End, checkpoint work.Checkpoint, now time.Time) {
	g, n := p.group, p.node
	if end == Done || end == Failed {
		g.job.begun = true
	}
	if end == Done {
		e.learnedEnds++
	}
	if end == Done && !g.gaveWay {
		e.learnRunTime(g, now)
		e.learnSpeed(g, now)
	}
	n.detach(p)
	e.saveCheckpoint(g, checkpoint, now)
	e.recordOutcome(n, g, end, now)
	if end != Refused {
		g.wait = nil
	}
	if g.phase != done && !g.job.state.Terminal() {
		e.countUnprovenStart(p, n, end)
	}
	if g.phase == done || g.job.state.Terminal() {
		// The group is done or its job has ended, which is already recorded.
		e.forgetIfEnded(g.job)
		return
	}
	e.markDirty(g.job)
	if end == Done && !g.spec().Lasting {
		e.completeGroup(g)
		return
	}
	if end == Failed {
		g.attemptFailed = true
		g.avoidWorker(n.WorkerProcess.Worker)
	}
	g.phase = ending
	e.stopGroup(g, ReasonGangEnded)
	if g.attachedParts() == 0 {
		e.retryOrFail(g, now)
	}
}

// completeGroup marks a group as done, including the parts of a gang whose end has not been reported yet.
func (e *Engine) completeGroup(g *group) {
	g.markDone()
	j := g.job
	if step := g.stepState(); step.unfinished == 0 && e.speeds == nil {
		step.compareRunTimes()
	}
	if j.complete() {
		j.state = ident.Succeeded
		e.forgetIfEnded(j)
	}
}

// retryOrFail schedules a group for another attempt once no part of the last attempt may run, or fails the job when the
// group has reached its failure limit.
func (e *Engine) retryOrFail(g *group, now time.Time) {
	if g.attemptFailed {
		g.failures++
	}
	g.attemptFailed = false
	if g.attemptsExhausted() {
		e.endJob(g.job, ident.Failed, ReasonFailed)
		return
	}
	g.phase = waiting
	g.retryAt = now.Add(retryDelay)
}
