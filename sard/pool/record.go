package pool

import (
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// Change is an updated job record that is to be written to the store.
type Change struct {
	Job      ident.Job
	Queue    work.QueueName
	Progress work.Progress
	// Begun is set once any part of the job is known to have run.
	Begun bool
	// Elapsed is the time since the job was accepted; Objective is the time within which it should complete.
	Elapsed, Objective time.Duration
	job                *job
}

// TakeChanges returns up to limit jobs whose records are out of date, in the order in which they changed, and marks
// them as up to date. The caller must call ChangesWritten once they are stored.
func (e *Engine) TakeChanges(limit int, now time.Time) []Change {
	changes := make([]Change, 0, min(limit, len(e.dirty)))
	for i := 0; i < len(e.dirty) && len(changes) < limit; {
		j := e.dirty[i]
		if j.setAside {
			i++
			continue
		}
		j.dirty = false
		e.dirty = slices.Delete(e.dirty, i, i+1)
		changes = append(changes, Change{
			Job: j.ID, Queue: j.Queue, Progress: j.progressRecord(), Begun: j.begun,
			Elapsed: now.Sub(j.acceptedAt), Objective: j.objective(), job: j,
		})
	}
	return changes
}

// PendingChanges returns the number of jobs whose records are out of date, without those that are set aside.
func (e *Engine) PendingChanges() int {
	count := 0
	for _, j := range e.dirty {
		if !j.setAside {
			count++
		}
	}
	return count
}

// ChangesNotWritten takes back changes that TakeChanges has returned. They come before all others.
func (e *Engine) ChangesNotWritten(changes []Change) {
	for _, c := range slices.Backward(changes) {
		j := c.job
		e.jobs[c.Job] = j
		e.dirty = slices.DeleteFunc(e.dirty, func(other *job) bool { return other == j })
		j.dirty = true
		e.dirty = slices.Insert(e.dirty, 0, j)
	}
}

// SetAside leaves the changes of a job out of TakeChanges, or no longer. No part of a job that is set aside is placed.
func (e *Engine) SetAside(id ident.Job, aside bool) {
	if j := e.jobs[id]; j != nil {
		j.setAside = aside
	}
}

// ChangesWritten confirms that changes were stored. It removes ended jobs of which no part may run.
func (e *Engine) ChangesWritten(changes []Change) {
	for _, c := range changes {
		if j := e.jobs[c.Job]; j != nil {
			e.forgetIfEnded(j)
		}
	}
}

// progressRecord returns the job's progress as it is stored. The record of an ended job has no groups.
func (j *job) progressRecord() work.Progress {
	p := work.Progress{State: j.state, Account: j.Account, Queue: j.Queue}
	if j.state.Terminal() {
		return p
	}
	p.CompleteBelow = j.completeBelow
	processes := map[work.WorkerProcess]int{}
	for _, o := range j.occurrences {
		if o.complete() {
			p.Complete = append(p.Complete, o.number)
			continue
		}
		o.appendGroups(&p, processes)
	}
	return p
}

// appendGroups adds those groups of the occurrence that were placed at least once to the record p.
func (o *occurrence) appendGroups(p *work.Progress, processes map[work.WorkerProcess]int) {
	for s := range o.steps {
		for _, g := range o.steps[s].groups {
			if g.attempt > 0 {
				if g.attemptFailed {
					p.Failing = append(p.Failing, len(p.Groups))
				}
				g.appendCrashes(p, len(p.Groups), processes)
				p.Groups = append(p.Groups, g.groupRecord(p, processes))
			}
		}
	}
}

// groupRecord returns a group's progress as it is stored, adding the processes of its workers to p.
func (g *group) groupRecord(p *work.Progress, processes map[work.WorkerProcess]int) work.Group {
	recorded := work.Group{
		Occurrence: g.occurrence.number, Step: g.step, First: g.first, Attempt: g.attempt,
		Failures: g.failures, Done: g.phase == done,
	}
	if recorded.Done {
		return recorded
	}
	recorded.Checkpoint = g.checkpoint
	if g.attemptFailed {
		// Count the failure now, as the end of the rest of the gang may never be reported.
		recorded.Failures++
	}
	recorded.Placed = g.attachedParts() > 0
	if !recorded.Placed {
		return recorded
	}
	recorded.Ending = g.phase == ending
	for i := range g.parts {
		index := work.NoWorkerIndex
		if n := g.parts[i].node; n != nil {
			index = processIndex(p, processes, n.WorkerProcess)
		}
		recorded.Workers = append(recorded.Workers, index)
	}
	return recorded
}

// processIndex returns the index of a worker process in p.Lives, to which it adds the process if needed.
func processIndex(p *work.Progress, processes map[work.WorkerProcess]int, process work.WorkerProcess) int {
	index, ok := processes[process]
	if !ok {
		index = len(p.Lives)
		processes[process] = index
		p.Lives = append(p.Lives, process)
	}
	return index
}

// restore loads a job's recorded progress, and decides nothing: settle does so once all of it is loaded. Placed groups stay placed on
// their recorded workers; reports from the workers then show whether their parts run, need to be started or are lost.
func (e *Engine) restore(j *job, p *work.Progress, now time.Time) {
	j.begun = len(p.Complete) > 0 || p.CompleteBelow > 0
	j.restoreOccurrences(p, now)
	for _, number := range p.Complete {
		j.restoreCompleted(number)
	}
	for i, recorded := range p.Groups {
		part := j.findPart(work.Part{Occurrence: recorded.Occurrence, Step: recorded.Step, Index: recorded.First})
		if part == nil {
			continue
		}
		if slices.Contains(p.Failing, i) {
			// The record already includes this failure, which retryOrFail counts once the attempt has ended.
			recorded.Failures--
			part.group.attemptFailed = true
		}
		e.restoreGroup(part.group, recorded, p.Lives, now)
	}
	e.restoreCrashes(j, p)
	j.state = p.State
}

// settle makes the decisions about a job that follow from what was restored of it and from its present settings, which may have changed
// since the record was written.
func (e *Engine) settle(j *job) {
	switch {
	case j.state.Terminal():
	case j.Cancelled:
		e.endJob(j, ident.Cancelled, ReasonCancelled)
	case j.complete():
		j.state = ident.Succeeded
		e.markDirty(j)
	default:
		e.failIfExhausted(j)
	}
}

// restoreCompleted marks all groups of an occurrence as done.
func (j *job) restoreCompleted(number int) {
	index := number - j.completeBelow
	if index < 0 || index >= len(j.occurrences) {
		return
	}
	for _, step := range j.occurrences[index].steps {
		for _, g := range step.groups {
			g.markDone()
		}
	}
}

// restoreGroup loads a group's recorded progress.
func (e *Engine) restoreGroup(g *group, recorded work.Group, processes []work.WorkerProcess, now time.Time) {
	g.attempt, g.failures, g.checkpoint = recorded.Attempt, recorded.Failures, recorded.Checkpoint
	if recorded.Done || recorded.Failures > 0 {
		g.job.begun = true
	}
	if recorded.Done {
		g.markDone()
		return
	}
	if !recorded.Placed {
		return
	}
	g.phase = placed
	g.startedAt, g.savedAt = now, now
	for i, index := range recorded.Workers {
		if index != work.NoWorkerIndex {
			g.parts[i].recordedProcess = processes[index]
			e.nodeForProcess(processes[index]).attach(&g.parts[i])
		}
	}
	if recorded.Ending {
		g.phase = ending
		e.stopGroup(g, ReasonGangEnded)
	}
}

// nodeForProcess returns the node of the worker to which a recorded process belongs. The recorded process may be older
// than the one that runs the part, since a start may reach a process that was not known yet. An unknown worker gets a
// node that accepts no new parts and is kept until it is certain that nothing runs there.
func (e *Engine) nodeForProcess(process work.WorkerProcess) *node {
	n := e.nodesByID[process.Worker]
	if n == nil {
		n = &node{Worker: Worker{WorkerProcess: process}, index: len(e.nodes), parts: map[*part]struct{}{}}
		e.nodes = append(e.nodes, n)
		e.nodesByID[process.Worker] = n
	}
	return n
}

// RecordedProcess returns the worker process for which an earlier holder of the scheduler lease recorded an attempt; zero if
// this one placed it.
func (e *Engine) RecordedProcess(a work.Attempt) work.WorkerProcess {
	if p := e.currentPart(a); p != nil {
		return p.recordedProcess
	}
	return work.WorkerProcess{}
}

// ForEachAttempt calls visit for every attempt that may be running, with its worker process.
func (e *Engine) ForEachAttempt(visit func(a work.Attempt, worker work.WorkerProcess)) {
	for _, n := range e.nodes {
		for _, p := range n.sortedParts() {
			visit(p.attemptID(), n.WorkerProcess)
		}
	}
}

// PendingStart returns the start order of an attempt that is meant to run, for a lease holder that does not know
// whether the order was sent. It returns false for all other attempts, such as those of a gang that is done.
func (e *Engine) PendingStart(a work.Attempt) (Start, bool) {
	p := e.currentPart(a)
	if p == nil || p.stopping || p.group.phase == done {
		return Start{}, false
	}
	j := p.group.job
	return Start{
		Attempt: a, Worker: p.node.WorkerProcess, Priority: j.settings.Priority, Payload: j.Payload, Checkpoint: p.group.checkpoint,
	}, true
}

// BusyProcesses returns the worker processes on which a part may be running.
func (e *Engine) BusyProcesses() []work.WorkerProcess {
	var processes []work.WorkerProcess
	for _, n := range e.nodes {
		if len(n.parts) > 0 {
			processes = append(processes, n.WorkerProcess)
		}
	}
	return processes
}

// ProcessBusy reports whether a part may be running in a worker process.
func (e *Engine) ProcessBusy(process work.WorkerProcess) bool {
	n := e.nodesByID[process.Worker]
	return n != nil && n.WorkerProcess == process && len(n.parts) > 0
}
