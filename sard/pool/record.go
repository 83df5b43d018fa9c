package pool

import (
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// Change is a job whose record is to be written.
type Change struct {
	Job      ident.Job
	Queue    work.QueueName
	Progress work.Progress
	// PartPlaced tells that a part was placed.
	PartPlaced bool
	// Elapsed is the time since the job was accepted, and Objective the time that it may take.
	Elapsed, Objective time.Duration
}

// TakeChanges returns up to limit jobs whose records are out of date, those first that changed first, and counts them as
// written. Written must be called once they are.
func (e *Engine) TakeChanges(limit int, now time.Time) []Change {
	count := min(limit, len(e.dirty))
	changes := make([]Change, 0, count)
	for _, j := range e.dirty[:count] {
		j.dirty = false
		changes = append(changes, Change{
			Job: j.ID, Queue: j.Queue, Progress: j.progress(), PartPlaced: j.begun,
			Elapsed: now.Sub(j.acceptedAt), Objective: j.objective(),
		})
	}
	e.dirty = slices.Delete(e.dirty, 0, count)
	return changes
}

// PendingChanges counts the jobs whose records are out of date.
func (e *Engine) PendingChanges() int {
	return len(e.dirty)
}

// ChangesWritten tells that changes were recorded. Ended jobs of which nothing may run any more are forgotten.
func (e *Engine) ChangesWritten(changes []Change) {
	for _, c := range changes {
		if j := e.jobs[c.Job]; j != nil {
			e.retire(j)
		}
	}
}

// progress makes the record of a job.
func (j *job) progress() work.Progress {
	p := work.Progress{State: j.state, Account: j.Account, Queue: j.Queue}
	if j.state.Terminal() {
		return p
	}
	lives := map[work.WorkerProcess]int{}
	for _, o := range j.occurrences {
		if o.complete() {
			p.Complete = append(p.Complete, o.number)
			continue
		}
		o.record(&p, lives)
	}
	return p
}

// record adds the groups of an occurrence that were ever placed.
func (o *occurrence) record(p *work.Progress, lives map[work.WorkerProcess]int) {
	for s := range o.steps {
		for _, g := range o.steps[s].groups {
			if g.attempt > 0 {
				if g.failed {
					p.Failing = append(p.Failing, len(p.Groups))
				}
				p.Groups = append(p.Groups, g.record(p, lives))
			}
		}
	}
}

func (g *group) record(p *work.Progress, lives map[work.WorkerProcess]int) work.Group {
	r := work.Group{
		Occurrence: g.occurrence, Step: g.step, First: g.first, Attempt: g.attempt,
		Failures: g.failures, Done: g.phase == done,
	}
	if r.Done {
		return r
	}
	r.Checkpoint = g.checkpoint
	if g.failed {
		// The failure counts even if the rest of the gang is not seen to end.
		r.Failures++
	}
	r.Placed = g.attached() > 0
	if !r.Placed {
		return r
	}
	r.Ending = g.phase == ending
	for i := range g.parts {
		index := work.NoWorkerIndex
		if n := g.parts[i].node; n != nil {
			index = lifeIndex(p, lives, n.WorkerProcess)
		}
		r.Workers = append(r.Workers, index)
	}
	return r
}

func lifeIndex(p *work.Progress, lives map[work.WorkerProcess]int, life work.WorkerProcess) int {
	index, ok := lives[life]
	if !ok {
		index = len(p.Lives)
		lives[life] = index
		p.Lives = append(p.Lives, life)
	}
	return index
}

// restore takes up what was recorded of a job. Placed groups count as placed where they were; their parts are
// confirmed, started or lost by what the workers tell.
func (e *Engine) restore(j *job, p *work.Progress, now time.Time) {
	j.begun = len(p.Groups) > 0 || len(p.Complete) > 0
	j.reopen(p, now)
	for _, number := range p.Complete {
		e.restoreComplete(j, number)
	}
	for i, r := range p.Groups {
		part := j.find(work.Part{Occurrence: r.Occurrence, Step: r.Step, Index: r.First})
		if part == nil {
			continue
		}
		if slices.Contains(p.Failing, i) {
			// The failure is counted when the attempt is gone.
			r.Failures--
			part.group.failed = true
		}
		e.restoreGroup(part.group, r, p.Lives, now)
	}
	j.state = p.State
	if j.complete() {
		j.state = ident.Succeeded
		e.touch(j)
	}
}

// restoreComplete marks an occurrence of which nothing is left to run.
func (e *Engine) restoreComplete(j *job, number int) {
	if number >= len(j.occurrences) {
		return
	}
	for _, st := range j.occurrences[number].steps {
		for _, g := range st.groups {
			e.complete(g)
		}
	}
}

func (e *Engine) restoreGroup(g *group, r work.Group, lives []work.WorkerProcess, now time.Time) {
	g.attempt, g.failures, g.checkpoint = r.Attempt, r.Failures, r.Checkpoint
	if r.Done {
		e.complete(g)
		return
	}
	if !r.Placed {
		if g.spent() {
			e.finish(g.job, ident.Failed, ReasonFailed)
		}
		return
	}
	g.phase = placed
	g.startedAt, g.savedAt = now, now
	for i, index := range r.Workers {
		if index != work.NoWorkerIndex {
			e.nodeOf(lives[index]).attach(&g.parts[i])
		}
	}
	if r.Ending {
		g.phase = ending
		e.haltGroup(g, ReasonGangEnded)
	}
}

// nodeOf returns the node of a recorded worker. The record may name an earlier process than the one that runs the part,
// as a start may reach a process that was not known yet. A worker that is not known any more is kept as a node that
// takes nothing new, until it is known that nothing runs there.
func (e *Engine) nodeOf(life work.WorkerProcess) *node {
	n := e.byID[life.Worker]
	if n == nil {
		n = &node{Worker: Worker{WorkerProcess: life}, index: len(e.nodes), parts: map[*part]struct{}{}}
		e.nodes = append(e.nodes, n)
		e.byID[life.Worker] = n
	}
	return n
}

// ForEachAttempt calls visit for each attempt that may run, with its worker.
func (e *Engine) ForEachAttempt(visit func(a work.Attempt, worker work.WorkerProcess)) {
	for _, n := range e.nodes {
		for _, p := range n.sorted() {
			visit(p.attemptOf(), n.WorkerProcess)
		}
	}
}

// PendingStart returns the start of an attempt that is still to run, for a holder that does not know whether it was sent.
func (e *Engine) PendingStart(a work.Attempt) (Start, bool) {
	p := e.current(a)
	if p == nil || p.halting {
		return Start{}, false
	}
	return Start{Attempt: a, Worker: p.node.WorkerProcess, Payload: p.group.job.Payload, Checkpoint: p.group.checkpoint}, true
}

// BusyProcesses returns the worker processes on which something may run.
func (e *Engine) BusyProcesses() []work.WorkerProcess {
	var lives []work.WorkerProcess
	for _, n := range e.nodes {
		if len(n.parts) > 0 {
			lives = append(lives, n.WorkerProcess)
		}
	}
	return lives
}

// ProcessBusy tells whether something may run on a worker process.
func (e *Engine) ProcessBusy(life work.WorkerProcess) bool {
	n := e.byID[life.Worker]
	return n != nil && n.WorkerProcess == life && len(n.parts) > 0
}
