// Package fakes holds workers in memory that check the scheduler's promises while they run parts. Tests and the soak
// put them behind the interfaces of package sched; faults are switches on each worker.
package fakes

import (
	"fmt"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// gangPatience is how long a part of a gang waits for the others.
	gangPatience = 3 * time.Second
	// saveEvery lies between two checkpoints.
	saveEvery = time.Second
	// cancelGrace is how long after a cancellation was answered, in calm, nothing of its job may be started.
	cancelGrace = 3 * time.Second
	// earlyMs is how many milliseconds before its time an occurrence may be started.
	earlyMs = 250
	// drainGrace is how long after its report, in calm, a leaving worker may be given parts.
	drainGrace = 2 * time.Second
)

// Job is what the fleet knows of a job that a client has handed in.
type Job struct {
	Spec *work.Job
	// RunTime is how long each part works on a sound worker.
	RunTime time.Duration
	// AlwaysFails makes all attempts fail.
	AlwaysFails bool
	// Cancelled is when a cancellation was answered; zero for never.
	Cancelled time.Time
	// Refused tells that all attempts to hand the job in were refused for good.
	Refused bool

	// done are the parts of which an attempt has ended well.
	done map[work.Part]bool
	// failed are the attempts that have failed, and failures those of them whose ends were acknowledged.
	failed, failures attempts
	// begun are the parts of which an attempt was started, with the highest one.
	begun map[work.Part]ident.Attempt
}

// Fleet is a set of workers that share a record of what ran.
type Fleet struct {
	mu      sync.Mutex
	workers map[ident.Worker]*Worker
	jobs    map[ident.Job]*Job
	// running counts the runs of each part on workers that are up, and noted the acknowledged ends.
	running  map[work.Part]int
	noted    map[work.Part]bool
	starts   int
	breaches []string
	// calm tells whether nothing was disturbed for a span until now; nil for always.
	calm func(time.Duration) bool
}

// NewFleet makes an empty Fleet. The function calm tells whether nothing was disturbed for a span until now; promises
// that hold only then are not checked otherwise. Nil means never disturbed.
func NewFleet(calm func(time.Duration) bool) *Fleet {
	return &Fleet{
		workers: map[ident.Worker]*Worker{}, jobs: map[ident.Job]*Job{},
		running: map[work.Part]int{}, noted: map[work.Part]bool{}, calm: calm,
	}
}

// Update calls f while nothing else looks at the fleet. Fields of workers and jobs are changed within it.
func (f *Fleet) Update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	change()
}

// Worker returns a worker, or nil.
func (f *Fleet) Worker(id ident.Worker) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id]
}

// ForEachWorker calls visit for each worker, within Change.
func (f *Fleet) ForEachWorker(visit func(*Worker)) {
	f.Update(func() {
		for _, w := range f.workers {
			visit(w)
		}
	})
}

// AddWorker adds a worker.
func (f *Fleet) AddWorker(entry sched.ListedWorker) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Worker{fleet: f, Entry: entry}
	w.reset()
	f.workers[entry.WorkerProcess.Worker] = w
	return w
}

// AddJob tells of a job that is handed in.
func (f *Fleet) AddJob(j *Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j.done, j.failed, j.failures, j.begun = map[work.Part]bool{}, attempts{}, attempts{}, map[work.Part]ident.Attempt{}
	f.jobs[j.Spec.ID] = j
}

// StartCount returns how many attempts were started.
func (f *Fleet) StartCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Violations returns the promises that were broken.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.breaches...)
}

// Completed tells whether all parts of a job have ended well.
func (f *Fleet) Completed(id ident.Job) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	return f.jobs[id].completed()
}

func (j *Job) completed() bool {
	for occurrence := range j.Spec.Repeat.Occurrences() {
		for step := range j.Spec.Steps {
			if !j.stepDone(occurrence, step) {
				return false
			}
		}
	}
	return true
}

func (j *Job) stepDone(occurrence, step int) bool {
	for index := range j.Spec.Steps[step].Parts {
		if !j.done[work.Part{Job: j.Spec.ID, Occurrence: occurrence, Step: step, Index: index}] {
			return false
		}
	}
	return true
}

// FailuresExhausted tells whether a part of a job has failed as often as its terms allow.
func (f *Fleet) FailuresExhausted(id ident.Job) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, failed := range f.jobs[id].failed {
		if len(failed) >= f.jobs[id].Spec.Terms.Failures {
			return true
		}
	}
	return false
}

// Started tells whether all parts of a job's first step were started at least once.
func (f *Fleet) Started(id ident.Job) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.jobs[id]
	return len(j.begun) >= j.Spec.Steps[0].Parts
}

// HighestAttempt returns the highest attempt that was started of any part of a job.
func (f *Fleet) HighestAttempt(id ident.Job) ident.Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	highest := ident.Attempt(0)
	for _, attempt := range f.jobs[id].begun {
		highest = max(highest, attempt)
	}
	return highest
}

func (f *Fleet) isCalm(span time.Duration) bool {
	return f.calm == nil || f.calm(span)
}

func (f *Fleet) breached(format string, args ...any) {
	f.breaches = append(f.breaches, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// advance ends what is due on all workers. Workers that nobody can reach end by themselves.
func (f *Fleet) advance() {
	for _, w := range f.workers {
		w.advance()
	}
}

// expected returns the job of a part that is to be started, or nil when nobody has handed such a part in.
func (f *Fleet) expected(part work.Part) *Job {
	j := f.jobs[part.Job]
	if j == nil || part.Step >= len(j.Spec.Steps) || part.Index >= j.Spec.Steps[part.Step].Parts {
		f.breached("%v: started, but nobody has handed it in", part)
		return nil
	}
	return j
}

// checkStart notes the promises that the start of an attempt on a worker breaks.
func (f *Fleet) checkStart(w *Worker, j *Job, o sched.StartRequest) {
	part := o.Attempt.Part
	step := j.Spec.Steps[part.Step]
	switch {
	case f.running[part] > 0:
		f.breached("%v: two runs at once, the second on %s", part, w.Entry.WorkerProcess.Worker)
	case f.noted[part]:
		f.breached("%v: started after an acknowledged end", part)
	case o.Payload != j.Spec.Payload:
		f.breached("%v: started with the payload of another job", part)
	case j.Refused:
		f.breached("%v: started, though the job was refused", part)
	case j.failedBefore(o.Attempt) >= j.Spec.Terms.Failures && !step.Lasting:
		f.breached("%v: attempt %d started on %s after %d failures", part, o.Attempt.Number, w.Entry.WorkerProcess.Worker, j.failedBefore(o.Attempt))
	case !j.Cancelled.IsZero() && time.Since(j.Cancelled) > cancelGrace && f.isCalm(cancelGrace):
		f.breached("%v: started %v after its cancellation", part, time.Since(j.Cancelled))
	case !w.DrainingSince.IsZero() && time.Since(w.DrainingSince) > drainGrace && f.isCalm(drainGrace):
		f.breached("%v: started on %s %v after it reported to leave", part, w.Entry.WorkerProcess.Worker, time.Since(w.DrainingSince))
	case time.Now().UnixMilli() < j.Spec.Repeat.DueMs(part.Occurrence)-earlyMs:
		f.breached("%v: started %d ms before its time", part, j.Spec.Repeat.DueMs(part.Occurrence)-time.Now().UnixMilli())
	case step.Label != "" && !w.labelled(step.Label):
		f.breached("%v: started on %s, which lacks %q", part, w.Entry.WorkerProcess.Worker, step.Label)
	}
	if _, own := j.restore(part, o.Checkpoint); !own {
		f.breached("%v: started with checkpoint %q of another part", part, o.Checkpoint)
	}
	for _, before := range step.After {
		if !j.stepDone(part.Occurrence, before) {
			f.breached("%v: started before step %d was done", part, before)
		}
	}
}

// first returns the part under which the failures of a part are counted.
func (j *Job) first(p work.Part) work.Part {
	if j.Spec.Steps[p.Step].Gang {
		p.Index = 0
	}
	return p
}

// acknowledged notes an end that the scheduler has taken in.
func (f *Fleet) acknowledged(end sched.EndedAttempt) {
	part := end.Attempt.Part
	j := f.jobs[part.Job]
	switch {
	case j == nil:
	case end.Outcome == pool.Done && !j.Spec.Steps[part.Step].Lasting:
		f.noted[part] = true
	case end.Outcome == pool.Failed:
		j.failures.add(j.first(part), end.Attempt.Number)
	}
}

// failedBefore counts the acknowledged failures of earlier attempts. Other parts of a gang may be started by orders that
// are under way when one of them fails.
func (j *Job) failedBefore(a work.Attempt) int {
	count := 0
	for number := range j.failures[j.first(a.Part)] {
		if number < a.Number {
			count++
		}
	}
	return count
}

// attempts are attempts by part, or by the first part of a gang, so that those of its parts count once.
type attempts map[work.Part]map[ident.Attempt]bool

func (a attempts) add(first work.Part, number ident.Attempt) {
	if a[first] == nil {
		a[first] = map[ident.Attempt]bool{}
	}
	a[first][number] = true
}
