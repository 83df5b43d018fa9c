// Package pool schedules the parts of jobs on the workers of a pool. It performs no I/O and reads no clock, so the same
// sequence of calls always yields the same decisions.
//
// A job consists of steps, and a step of identical parts. All steps run once in each occurrence of the job; only a
// repeating job has several occurrences. A group is the unit that is placed on workers, stopped and retried: all parts
// of a step that must run together (a gang), or otherwise a single part. Each run of a part is an attempt; the parts of
// a gang share their attempt numbers. A node is the engine's state of a worker.
//
// Each call of Decide is a round, in which the waiting groups are placed in order of urgency. The objective of a job is
// the time in which it should complete, and its slack is how long it can still wait without missing it. Guaranteed jobs
// have the highest priority, and other groups may be stopped to make room for them. The headroom is the capacity that
// is kept free so that guaranteed jobs can often start without stopping others.
//
// Headroom, quarantines and the choice of a rack hold groups back for some time. For a job of which nothing runs, all of them
// end after a common limit while the pool has room.
//
// A part may crash each worker that starts it. An attempt is on probation for some time after its start, and a crash of
// its worker in that time makes its group a suspect. Suspects are started in isolation: while one is on probation, nothing
// else is on its node. A group whose attempts coincide with crashes again and again is given up. A group is in need while nothing
// of its job runs although the pool has room; groups in need take turns on the nodes that suspects would have for themselves.
package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/fcast"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/speed"
	"github.com/sardineline/sardineline/sard/work"
)

// Config gives the engine access to the operator's configuration.
type Config struct {
	// QueueSettings returns the settings currently in force for a job.
	QueueSettings func(*work.Job) work.QueueSettings
	// Guarantee returns the accelerators guaranteed to an account.
	Guarantee func(ident.Account) ident.Accelerators
	// RunTimes switches on forecasts of run times from work that has ended. Without it, the submitters' estimates are used
	// as they are.
	RunTimes bool
	// WorkerSpeeds switches on placement by the learned speeds of workers.
	WorkerSpeeds bool
	// MinSpeedRacks is the number of racks from which on WorkerSpeeds has an effect on placement. In a smaller pool, gangs
	// need the racks that happen to be empty.
	MinSpeedRacks int
	// CostOrder makes the engine delay and stop the work whose delay costs callers least.
	CostOrder bool
	// StartLimit is the time limit on the start of a guaranteed job that its account's guarantee covers.
	StartLimit time.Duration
}

// Engine tracks jobs and workers and decides which parts run where. It is not safe for concurrent use.
type Engine struct {
	config    Config
	jobs      map[ident.Job]*job
	nodes     []*node
	nodesByID map[ident.Worker]*node
	decisions []Decision
	// dirty lists the jobs whose stored records are out of date.
	dirty []*job
	// violations lists the placements that were rejected by the invariant checks.
	violations []Violation
	// estimateErrors holds, for each queue, how far the estimated run times of its jobs were from the actual ones.
	estimateErrors map[work.QueueName]*estimateErrors
	// suspects holds the groups with counted crashes.
	suspects map[*group]bool
	// turns holds the nodes on which groups start next that suspects have for themselves.
	turns map[*group]turn
	// crowded holds the services in which groups that nobody suspects were in need in the latest round.
	crowded map[work.Service]bool
	// runTimes forecasts run times; nil if Config.RunTimes is not set.
	runTimes *fcast.Model
	// ratios holds the accuracy of recent forecasts.
	ratios []ForecastRatio
	// learnedEnds counts the groups that have succeeded.
	learnedEnds uint64
	// now is the time of the latest round.
	now time.Time
	// guaranteedDemand tracks the recent peak demand of guaranteed jobs.
	guaranteedDemand demandPeak
	// speeds holds the learned speeds of workers; nil if Config.WorkerSpeeds is not set.
	speeds *speed.Model
	// speedsRefreshedAt is when the distribution of the speeds was last computed.
	speedsRefreshedAt time.Time
	// choices counts placements since the last TakeChoices.
	choices Choices
	// longWaits holds the groups to return by TakeLongWaits, and examineFrom where in the queue examineWaits goes on.
	longWaits   []Wait
	examineFrom int
	// holdTurn counts the turns, which may last for several rounds, in which endHolds examines each group once.
	holdTurn int
	// open holds the jobs that have not ended, in the order of the latest round; others may be left until the next one.
	open []jobUrgency
	// rounds is the number of rounds so far.
	rounds roundNumber
}

// New returns an Engine without jobs or workers.
func New(config Config) *Engine {
	e := &Engine{
		config: config, jobs: map[ident.Job]*job{}, suspects: map[*group]bool{}, nodesByID: map[ident.Worker]*node{},
		estimateErrors: map[work.QueueName]*estimateErrors{}, holdTurn: 1,
	}
	if config.WorkerSpeeds {
		e.speeds = speed.New()
	}
	if config.RunTimes {
		e.runTimes = fcast.New()
	}
	return e
}

// SetWorker adds a worker or updates its properties. When the worker's process has been replaced, WorkerRestarted
// decides what happens to its parts.
func (e *Engine) SetWorker(w Worker) {
	n := e.nodesByID[w.Worker]
	if n == nil {
		n = &node{index: len(e.nodes), parts: map[*part]struct{}{}}
		e.nodes = append(e.nodes, n)
		e.nodesByID[w.Worker] = n
	}
	n.Worker = w
}

// WorkerRestarted records that a worker's process was replaced. Attempts for which keep returns true may run in the new
// process; all others on that worker are lost.
func (e *Engine) WorkerRestarted(process work.WorkerProcess, keep func(work.Attempt) bool, now time.Time) {
	n := e.nodesByID[process.Worker]
	if n == nil {
		return
	}
	e.endLostAttempts(n, keep, now)
	n.WorkerProcess = process
	n.health, n.recentRates, n.slowness, n.unsharedUntil = health{}, rateHistory{}, nodeSlowness{}, time.Time{}
	if e.speeds != nil {
		e.speeds.Restarted(process.Worker)
	}
}

// ProcessLost records that no attempt runs in a worker process any more.
func (e *Engine) ProcessLost(process work.WorkerProcess, now time.Time) {
	if n := e.nodesByID[process.Worker]; n != nil && n.WorkerProcess == process {
		e.endLostAttempts(n, func(work.Attempt) bool { return false }, now)
	}
}

// endLostAttempts ends all attempts on a node for which keep returns false.
func (e *Engine) endLostAttempts(n *node, keep func(work.Attempt) bool, now time.Time) {
	for _, p := range n.sortedParts() {
		if p.node == n && !keep(p.attemptID()) {
			e.endAttempt(p, Lost, "", now)
		}
	}
}

// DropWorker prevents new parts from being placed on a worker. Parts that may still run there continue to count against
// its capacity.
func (e *Engine) DropWorker(id ident.Worker) {
	if n := e.nodesByID[id]; n != nil {
		n.Accepting = false
	}
}

// sortedParts returns the node's parts in a deterministic order.
func (n *node) sortedParts() []*part {
	parts := make([]*part, 0, len(n.parts))
	for p := range n.parts {
		parts = append(parts, p)
	}
	slices.SortFunc(parts, comparePart)
	return parts
}

// comparePart orders parts by group, then by index.
func comparePart(a, b *part) int {
	return cmp.Or(compareGroup(a.group, b.group), cmp.Compare(a.index, b.index))
}

// compareGroup orders groups by job, occurrence, step and first part.
func compareGroup(a, b *group) int {
	return cmp.Or(
		cmp.Compare(a.job.ID, b.job.ID),
		cmp.Compare(a.occurrence.number, b.occurrence.number),
		cmp.Compare(a.step, b.step),
		cmp.Compare(a.first, b.first),
	)
}

// AddJob adds a job and restores its recorded progress, if there is any. Jobs that are already known are ignored.
func (e *Engine) AddJob(spec *work.Job, recorded *work.Progress, now time.Time, nowMs int64) {
	if e.jobs[spec.ID] != nil {
		return
	}
	j := &job{Job: spec, state: ident.Queued, acceptedAt: now}
	if age := nowMs - spec.AcceptedMs; age > 0 && spec.AcceptedMs > 0 {
		j.acceptedAt = now.Add(-min(time.Duration(age)*time.Millisecond, maxRecordedAge))
	}
	j.settings = e.config.QueueSettings(spec)
	e.jobs[spec.ID] = j
	e.open = append(e.open, jobUrgency{job: j})
	if recorded != nil {
		j.completeBelow = min(recorded.CompleteBelow, j.Repeat.Occurrences()-1)
	}
	e.createDueOccurrences(j, now, nowMs)
	if recorded != nil {
		e.restore(j, recorded, now)
	}
	j.resumeWaits(now)
	e.settle(j)
}

// maxRecordedAge limits the age of a job or occurrence that is computed from a recorded wall-clock time, since clocks
// may jump.
const maxRecordedAge = time.Minute

// CancelJob cancels a job and stops all of its attempts.
func (e *Engine) CancelJob(id ident.Job) {
	if j := e.jobs[id]; j != nil && !j.state.Terminal() {
		e.endJob(j, ident.Cancelled, ReasonCancelled)
	}
}

// HasOpenJob reports whether the engine still tracks the job. A job is removed once it has ended, its stored record is
// up to date and none of its parts may run.
func (e *Engine) HasOpenJob(id ident.Job) bool {
	return e.jobs[id] != nil
}

// endJob sets a job's final state and stops all of its attempts.
func (e *Engine) endJob(j *job, state ident.JobState, reason StopReason) {
	j.state = state
	j.setAside = false
	e.markDirty(j)
	j.forEachGroup(func(g *group) {
		e.stopGroup(g, reason)
		if g.phase != done {
			g.phase = ending
		}
	})
	e.forgetIfEnded(j)
}

// forgetIfEnded removes an ended job once its stored record is up to date and none of its parts may run.
func (e *Engine) forgetIfEnded(j *job) {
	if j.state.Terminal() && j.attachedParts() == 0 && !j.dirty {
		delete(e.jobs, j.ID)
	}
}

// stopGroup orders every part of a group that may be running, and is not being stopped already, to stop.
func (e *Engine) stopGroup(g *group, reason StopReason) {
	for i := range g.parts {
		p := &g.parts[i]
		if p.node == nil || p.stopping {
			continue
		}
		p.node.markStopping(p)
		e.decisions = append(e.decisions, Stop{Attempt: p.attemptID(), Worker: p.node.WorkerProcess, Reason: reason, Progress: p.progressState()})
	}
}

// markDirty marks a job's stored record as out of date.
func (e *Engine) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		e.dirty = append(e.dirty, j)
	}
}

// Summary returns the current numbers of jobs, parts, workers and accelerators.
func (e *Engine) Summary() Summary {
	s := Summary{Jobs: len(e.jobs), Workers: len(e.nodes)}
	for _, n := range e.nodes {
		s.Used += n.allocated.Accelerators
		if n.Accepting {
			s.Total += n.Capacity.Accelerators
		}
	}
	for _, j := range e.jobs {
		j.forEachGroup(func(g *group) {
			switch g.phase {
			case waiting:
				s.Waiting += len(g.parts)
			case placed:
				s.Placed += len(g.parts)
			}
		})
	}
	return s
}
