// Package pool decides which parts of which jobs run on which workers of a pool. It does no I/O and has no clock of
// its own; the same calls give the same decisions.
package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// Config tells the engine what the operator's configuration says.
type Config struct {
	// QueueSettings returns the settings in force for a job.
	QueueSettings func(*work.Job) work.QueueSettings
	// Guarantee returns the accelerators guaranteed to an account.
	Guarantee func(ident.Account) ident.Accelerators
}

// Engine holds jobs and workers and decides. It is not safe for concurrent use.
type Engine struct {
	config Config
	jobs   map[ident.Job]*job
	nodes  []*node
	byID   map[ident.Worker]*node
	out    []Decision
	// dirty are jobs whose records are out of date.
	dirty []*job
	// breaches are decisions that were refused.
	breaches []Violation
	// estimates are what is known of each queue's.
	estimates map[work.QueueName]*estimates
	// demand follows what guaranteed jobs need.
	demand demand
}

// New makes an Engine.
func New(config Config) *Engine {
	return &Engine{config: config, jobs: map[ident.Job]*job{}, byID: map[ident.Worker]*node{}, estimates: map[work.QueueName]*estimates{}}
}

// SetWorker adds a worker or changes what is known of it. Reborn tells what becomes of its parts when it is another
// process than before.
func (e *Engine) SetWorker(w Worker) {
	n := e.byID[w.Worker]
	if n == nil {
		n = &node{index: len(e.nodes), parts: map[*part]struct{}{}}
		e.nodes = append(e.nodes, n)
		e.byID[w.Worker] = n
	}
	n.Worker = w
}

// WorkerRestarted tells that a worker is another process than before, and which attempts the new one may run. All others that
// ran there are lost.
func (e *Engine) WorkerRestarted(life work.WorkerProcess, kept func(work.Attempt) bool, now time.Time) {
	n := e.byID[life.Worker]
	if n == nil {
		return
	}
	e.lose(n, kept, now)
	n.WorkerProcess = life
	n.health, n.pace = health{}, pace{}
}

// ProcessLost tells that nothing of a worker's process runs any more.
func (e *Engine) ProcessLost(life work.WorkerProcess, now time.Time) {
	if n := e.byID[life.Worker]; n != nil && n.WorkerProcess == life {
		e.lose(n, func(work.Attempt) bool { return false }, now)
	}
}

// lose ends the attempts on a node that are not kept.
func (e *Engine) lose(n *node, kept func(work.Attempt) bool, now time.Time) {
	for _, p := range n.sorted() {
		if p.node == n && !kept(p.attemptOf()) {
			e.end(p, Lost, "", now)
		}
	}
}

// DropWorker tells that nothing new may be started on a worker. What may run there stays accounted for.
func (e *Engine) DropWorker(id ident.Worker) {
	if n := e.byID[id]; n != nil {
		n.Accepting = false
	}
}

// sorted returns the node's parts in a fixed order.
func (n *node) sorted() []*part {
	parts := make([]*part, 0, len(n.parts))
	for p := range n.parts {
		parts = append(parts, p)
	}
	slices.SortFunc(parts, comparePart)
	return parts
}

func comparePart(a, b *part) int {
	return cmp.Or(compareGroup(a.group, b.group), cmp.Compare(a.index, b.index))
}

func compareGroup(a, b *group) int {
	return cmp.Or(
		cmp.Compare(a.job.ID, b.job.ID),
		cmp.Compare(a.occurrence, b.occurrence),
		cmp.Compare(a.step, b.step),
		cmp.Compare(a.first, b.first),
	)
}

// AddJob takes a job in, with what was recorded of it, if anything.
func (e *Engine) AddJob(spec *work.Job, recorded *work.Progress, now time.Time, nowMs int64) {
	if e.jobs[spec.ID] != nil {
		return
	}
	j := &job{Job: spec, state: ident.Queued, acceptedAt: now}
	if age := nowMs - spec.AcceptedMs; age > 0 && spec.AcceptedMs > 0 {
		j.acceptedAt = now.Add(-min(time.Duration(age)*time.Millisecond, maxAge))
	}
	j.terms = e.config.QueueSettings(spec)
	e.jobs[spec.ID] = j
	e.wake(j, now, nowMs)
	if recorded != nil {
		e.restore(j, recorded, now)
	}
	if spec.Cancelled {
		e.finish(j, ident.Cancelled, ReasonCancelled)
	}
}

// maxAge bounds the age of a job that its acceptance tells, as clocks may jump.
const maxAge = time.Minute

// CancelJob stops all that a job runs.
func (e *Engine) CancelJob(id ident.Job) {
	if j := e.jobs[id]; j != nil && !j.state.Terminal() {
		e.finish(j, ident.Cancelled, ReasonCancelled)
	}
}

// HasOpenJob tells whether the engine holds a job that has not ended.
func (e *Engine) HasOpenJob(id ident.Job) bool {
	return e.jobs[id] != nil
}

// finish ends a job and stops what it runs.
func (e *Engine) finish(j *job, state ident.JobState, reason StopReason) {
	j.state = state
	e.touch(j)
	j.groups(func(g *group) {
		e.haltGroup(g, reason)
		if g.phase != done {
			g.phase = ending
		}
	})
	e.retire(j)
}

// retire forgets an ended job once nothing of it may run.
func (e *Engine) retire(j *job) {
	if j.state.Terminal() && j.attached() == 0 && !j.dirty {
		delete(e.jobs, j.ID)
	}
}

// haltGroup orders all attached parts of a group to stop.
func (e *Engine) haltGroup(g *group, reason StopReason) {
	for i := range g.parts {
		p := &g.parts[i]
		if p.node == nil || p.halting {
			continue
		}
		p.node.halt(p)
		e.out = append(e.out, Stop{Attempt: p.attemptOf(), Worker: p.node.WorkerProcess, Reason: reason})
	}
}

// touch marks a job whose record is out of date.
func (e *Engine) touch(j *job) {
	if !j.dirty {
		j.dirty = true
		e.dirty = append(e.dirty, j)
	}
}

// Summary counts what the engine holds.
func (e *Engine) Summary() Summary {
	s := Summary{Jobs: len(e.jobs), Workers: len(e.nodes)}
	for _, n := range e.nodes {
		s.Used += n.used.Accelerators
		if n.Accepting {
			s.Total += n.Capacity.Accelerators
		}
	}
	for _, j := range e.jobs {
		j.groups(func(g *group) {
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
