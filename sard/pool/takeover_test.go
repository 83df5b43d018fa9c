package pool

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/elect"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// leaseTerm is the term of the scheduler lease, which has to pass before the next holder takes over from one that is lost.
const leaseTerm = elect.DefaultTerm

// takeOverSometimes lets a new engine take over at times, alone or in series.
func (f *faultyWorld) takeOverSometimes() {
	if f.takeovers == nil || f.takeovers.IntN(120) > 0 {
		return
	}
	f.takeOver()
	if f.takeovers.IntN(2) > 0 {
		return
	}
	after := time.Duration(0)
	for range 1 + f.takeovers.IntN(4) {
		after += leaseTerm + time.Duration(f.takeovers.IntN(2500))*time.Millisecond
		f.later(after, f.takeOver)
	}
}

// takeOver lets a new engine take the place of the current one, with what is stored of the jobs and what was learned. Of the
// writes in flight, some of the first have been stored; the starts that wait for them are never sent.
func (f *faultyWorld) takeOver() {
	f.t.Helper()
	former := f.engine
	f.generation++
	for id := range f.history {
		f.history[id] = append(f.history[id], fmt.Sprintf("%v takeover", f.now.Sub(f.began)))
	}
	for _, w := range f.drop() {
		if f.takeovers.IntN(2) == 0 {
			break
		}
		f.store(w.changes)
	}
	f.engine = New(former.config)
	for _, n := range former.nodes {
		f.engine.SetWorker(n.Worker)
	}
	if f.takeovers.IntN(4) > 0 {
		f.engine.RestoreLearned(former.Learned(f.now), f.now)
	}
	f.starts, f.stops = nil, nil
	for a := range f.ordered {
		f.note(a, "start is lost with its holder")
	}
	clear(f.ordered)
	f.restoreJobs()
	for _, n := range former.nodes {
		f.contact(n.WorkerProcess.Worker)
	}
}

// restoreJobs adds the jobs that have not ended by their records.
func (f *faultyWorld) restoreJobs() {
	f.t.Helper()
	for _, spec := range f.specs {
		var recorded *work.Progress
		if value := f.progress[spec.ID]; value != nil {
			recorded = &work.Progress{}
			assert.NilError(f.t, work.Decode(value, recorded))
			if recorded.State.Terminal() {
				continue
			}
		}
		f.engine.AddJob(spec, recorded, f.now, f.now.UnixMilli())
	}
}

// contact lets the engine hear from a worker for the first time, if it can be reached.
func (f *faultyWorld) contact(id ident.Worker) {
	n := f.engine.nodesByID[id]
	switch {
	case f.away[id]:
		f.uncontacted[id] = true
		return
	case f.gone[n.WorkerProcess]:
		for _, p := range n.sortedParts() {
			f.countCrash(p.attemptID(), n.WorkerProcess, PossibleCrash)
		}
		f.engine.ProcessLost(n.WorkerProcess, f.now)
		return
	}
	delete(f.uncontacted, id)
	for _, p := range n.sortedParts() {
		if p.node == n {
			f.resolve(p.attemptID(), n)
		}
	}
	f.stopUnexpected(n)
}

// resolve tells the engine what has become of an attempt by the first report of its worker, as the scheduler would.
func (f *faultyWorld) resolve(a work.Attempt, n *node) {
	recorded := f.engine.RecordedProcess(a)
	r, ended := f.runs[a], f.ends[a]
	switch {
	case f.silent[a]:
		// The start or its answer is still under way.
	case r != nil && r.process == n.WorkerProcess:
		f.engine.AttemptRunning(a, 0, "", f.now)
		f.later(Probation, func() { f.survive(a) })
	case ended.process == n.WorkerProcess:
		f.tell(a, ended.how)
	case recorded.StartedMs != 0 && recorded.StartedMs < n.StartedMs:
		f.countCrash(a, recorded, PossibleCrash)
		f.tell(a, Lost)
	default:
		f.resolveMissing(a)
	}
}

// resolveMissing starts an attempt that its worker has never seen, if it is meant to run, and ends it otherwise.
func (f *faultyWorld) resolveMissing(a work.Attempt) {
	start, pending := f.engine.PendingStart(a)
	if !pending {
		f.tell(a, Stopped)
		return
	}
	f.ordered[a] = true
	f.send(start)
}

// stopUnexpected stops what a worker runs and should not. Until that has ended, the worker gets nothing new.
func (f *faultyWorld) stopUnexpected(n *node) {
	id := n.WorkerProcess.Worker
	for _, a := range slices.SortedFunc(maps.Keys(f.runs), compareAttempts) {
		if r := f.runs[a]; r.process == n.WorkerProcess && !f.engine.MayRun(a, id) {
			f.bar(id)
			f.later(f.between(50, 400), func() {
				f.listEnd(a, Stopped)
				f.unbar(id)
			})
		}
	}
}

// compareAttempts orders attempts by job, step, part and number.
func compareAttempts(a, b work.Attempt) int {
	return cmp.Or(
		cmp.Compare(a.Part.Job, b.Part.Job),
		cmp.Compare(a.Part.Step, b.Part.Step),
		cmp.Compare(a.Part.Index, b.Part.Index),
		cmp.Compare(a.Number, b.Number),
	)
}
