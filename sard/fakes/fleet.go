// Package fakes implements in-memory workers that simulate running parts and check the scheduler's invariants. Tests
// and the soak test use them through the interfaces of package sched and inject faults through fields of each worker.
//
// Jobs, steps, parts, gangs and attempts are those of package work. A run is an attempt that a worker executes now. A
// disturbance is a fault that a test injects; some invariants need to hold only some time after the last one.
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
	// gangTimeout is how long a part of a gang waits for the other parts to start.
	gangTimeout = 3 * time.Second
	// checkpointInterval is the amount of work between checkpoints, as run time on a worker without faults.
	checkpointInterval = time.Second
	// cancelGrace is how long parts of a job may still start after the response to its cancellation. A later start is a
	// violation only if there was no disturbance within the last cancelGrace.
	cancelGrace = 3 * time.Second
	// earlyStartMs is how many milliseconds before its due time an occurrence may start.
	earlyStartMs = 250
	// drainGrace is how long parts may still start on a worker after it started draining. A later start is a violation
	// only if there was no disturbance within the last drainGrace.
	drainGrace = 2 * time.Second
)

// DefaultShrinkGrace is the default of Fleet.ShrinkGrace: the time in which a calm scheduler learns of a change, and the
// time between two updates of a worker's entry in the platform's list.
const DefaultShrinkGrace = 3*time.Second + 1500*time.Millisecond

// EvacuationGrace is how long parts may still start in a data centre after its evacuation was requested. A later start is
// a violation only if there was no disturbance within the last EvacuationGrace.
const EvacuationGrace = 5 * time.Second

// Job is a submitted job, as known to the fleet.
type Job struct {
	Spec *work.Job
	// RunTime is how long each part runs on a worker without faults.
	RunTime time.Duration
	// AlwaysFails makes all attempts of the job fail, and FailsFirst that number of attempts of each group.
	AlwaysFails bool
	FailsFirst  int
	// FailureLimit is the highest number of failures that the job's queue ever allows; 0 means that of Spec.Terms.
	FailureLimit int
	// BaseTail is the tail of the response times of each part with a latency target, undisturbed and at usual load. Disturbs is what each
	// filling part adds to all tails on its worker at its full share.
	BaseTail, Disturbs time.Duration
	// CrashingParts holds the indexes of the parts of the first step that crash each worker that starts them.
	CrashingParts map[int]bool
	// Cancelled is the time of the response to a cancellation; zero if the job was not cancelled.
	Cancelled time.Time
	// Refused indicates that all submissions of the job were permanently refused.
	Refused bool

	// done holds the parts with a successful attempt.
	done map[work.Part]bool
	// failed holds the failed attempts, and ackedFailures those of them whose ends were acknowledged.
	failed, ackedFailures attemptSet
	// started holds the highest started attempt of each part.
	started map[work.Part]ident.Attempt
	// crashes holds what happened to the parts that crash workers.
	crashes map[work.Part]*crashRecord
}

// Fleet is a set of workers with a shared record of all runs, against which invariants are checked.
type Fleet struct {
	// ShrinkGrace is how long starts may still use the former capacity of a worker after it has shrunk.
	ShrinkGrace time.Duration
	// LateStarts is how late start requests may arrive after a disturbance. Until then, they may use the former capacity of a
	// worker for that much longer.
	LateStarts time.Duration
	// OnRestart, if not nil, is called when a worker that a part has crashed is back, with the name that it had before.
	OnRestart func(w *Worker, former ident.Worker)

	mu      sync.Mutex
	workers map[ident.Worker]*Worker
	// former holds the workers that have a new name, by their former ones.
	former map[ident.Worker]*Worker
	jobs   map[ident.Job]*Job
	// holderEpoch is the lowest epoch of the current lease holder; 0 if that is not known.
	holderEpoch ident.Epoch
	// runCounts holds the number of current runs of each part, and completed the parts whose successful end was
	// acknowledged.
	runCounts map[work.Part]int
	completed map[work.Part]bool
	// startCount is the number of started attempts of all parts.
	startCount int
	// violations describes the invariants that were violated, each with its time.
	violations []string
	// undisturbed reports whether there was no disturbance within the given time before now. If it is nil, there
	// are no disturbances.
	undisturbed func(time.Duration) bool
}

// NewFleet returns an empty Fleet. The function undisturbed reports whether there was no disturbance, that is, no
// injected fault, within the given time before now. Invariants that a disturbance may break for some time are checked
// only if it returns true for that time. If undisturbed is nil, all invariants are always checked.
func NewFleet(undisturbed func(time.Duration) bool) *Fleet {
	return &Fleet{
		ShrinkGrace: DefaultShrinkGrace, workers: map[ident.Worker]*Worker{}, former: map[ident.Worker]*Worker{}, jobs: map[ident.Job]*Job{},
		runCounts: map[work.Part]int{}, completed: map[work.Part]bool{}, undisturbed: undisturbed,
	}
}

// Update calls change while holding the lock of the fleet. Fields of workers and jobs must only be changed within it.
func (f *Fleet) Update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	change()
}

// Worker returns the worker with the given name, or the one at the address of a worker that had it; nil if there is none.
func (f *Fleet) Worker(id ident.Worker) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; w != nil {
		return w
	}
	return f.former[id]
}

// ForEachWorker calls visit for each worker, within Update.
func (f *Fleet) ForEachWorker(visit func(*Worker)) {
	f.Update(func() {
		for _, w := range f.workers {
			visit(w)
		}
	})
}

// AddWorker adds a worker that has the given entry in the platform's list of workers.
func (f *Fleet) AddWorker(entry sched.ListedWorker) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Worker{fleet: f, Entry: entry}
	w.reset()
	f.workers[entry.WorkerProcess.Worker] = w
	return w
}

// AddJob registers a job that is submitted to the scheduler.
func (f *Fleet) AddJob(j *Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j.done, j.failed, j.ackedFailures, j.started = map[work.Part]bool{}, attemptSet{}, attemptSet{}, map[work.Part]ident.Attempt{}
	j.crashes = map[work.Part]*crashRecord{}
	f.jobs[j.Spec.ID] = j
}

// StartCount returns the number of attempts of parts that were started on all workers.
func (f *Fleet) StartCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startCount
}

// Violations returns a description of each violation of an invariant so far, with its time.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// Completed reports whether all parts of a job have succeeded.
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

// FailuresExhausted reports whether a part of a job has failed as many times as its queue settings allow.
func (f *Fleet) FailuresExhausted(id ident.Job) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, failed := range f.jobs[id].failed {
		if len(failed) >= f.jobs[id].failureLimit() {
			return true
		}
	}
	return false
}

// Started reports whether all parts of a job's first step were started at least once.
func (f *Fleet) Started(id ident.Job) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.jobs[id]
	return len(j.started) >= j.Spec.Steps[0].Parts
}

// HighestAttempt returns the highest started attempt of any part of a job.
func (f *Fleet) HighestAttempt(id ident.Job) ident.Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	highest := ident.Attempt(0)
	for _, attempt := range f.jobs[id].started {
		highest = max(highest, attempt)
	}
	return highest
}

func (f *Fleet) undisturbedFor(span time.Duration) bool {
	return f.undisturbed == nil || f.undisturbed(span)
}

func (f *Fleet) addViolation(format string, args ...any) {
	f.violations = append(f.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// advance ends all runs that are due, on unreachable workers too.
func (f *Fleet) advance() {
	for _, w := range f.workers {
		w.advance()
	}
}

// findJob returns the job of a part that is about to start. If the part was never submitted, it records a violation and
// returns nil.
func (f *Fleet) findJob(part work.Part) *Job {
	j := f.jobs[part.Job]
	if j == nil || part.Step >= len(j.Spec.Steps) || part.Index >= j.Spec.Steps[part.Step].Parts {
		f.addViolation("%v: started, but was never submitted", part)
		return nil
	}
	return j
}

// checkStart records the invariants that are violated by the start of an attempt on a worker.
func (f *Fleet) checkStart(w *Worker, j *Job, req sched.StartRequest) {
	part := req.Attempt.Part
	step := j.Spec.Steps[part.Step]
	switch {
	case f.runCounts[part] > f.unknownRuns(part):
		f.addViolation("%v: two concurrent runs, the second on %s", part, w.Entry.WorkerProcess.Worker)
	case f.completed[part]:
		f.addViolation("%v: started after an acknowledged end", part)
	case req.Payload != j.Spec.Payload:
		f.addViolation("%v: started with the payload of another job", part)
	case j.Refused:
		f.addViolation("%v: started, but the job was refused", part)
	case j.ackedFailuresBefore(req.Attempt) >= j.failureLimit() && !step.Lasting:
		f.addViolation("%v: attempt %d started on %s after %d failures", part, req.Attempt.Number, w.Entry.WorkerProcess.Worker, j.ackedFailuresBefore(req.Attempt))
	case !j.Cancelled.IsZero() && time.Since(j.Cancelled) > cancelGrace && f.undisturbedFor(cancelGrace):
		f.addViolation("%v: started %v after its cancellation", part, time.Since(j.Cancelled))
	case !w.DrainingSince.IsZero() && time.Since(w.DrainingSince) > drainGrace && f.undisturbedFor(drainGrace):
		f.addViolation("%v: started on %s %v after it started draining", part, w.Entry.WorkerProcess.Worker, time.Since(w.DrainingSince))
	case !w.EvacuatedSince.IsZero() && time.Since(w.EvacuatedSince) > EvacuationGrace && f.undisturbedFor(EvacuationGrace):
		f.addViolation("%v: started on %s %v after the evacuation of its data centre", part, w.Entry.WorkerProcess.Worker, time.Since(w.EvacuatedSince))
	case time.Now().UnixMilli() < j.Spec.Repeat.DueMs(part.Occurrence)-earlyStartMs:
		f.addViolation("%v: started %d ms before its due time", part, j.Spec.Repeat.DueMs(part.Occurrence)-time.Now().UnixMilli())
	case step.Label != "" && !w.hasLabel(step.Label):
		f.addViolation("%v: started on %s, which lacks %q", part, w.Entry.WorkerProcess.Worker, step.Label)
	}
	f.checkCrashes(w, j, req.Attempt)
	if _, ok := j.parseCheckpoint(part, req.Checkpoint); !ok {
		f.addViolation("%v: started with checkpoint %q of another part", part, req.Checkpoint)
	}
	for _, required := range step.After {
		if !j.stepDone(part.Occurrence, required) {
			f.addViolation("%v: started before step %d was completed", part, required)
		}
	}
}

// failureLimit returns the number of failures of a group after which no attempt may start.
func (j *Job) failureLimit() int {
	if j.FailureLimit == 0 {
		return j.Spec.Terms.Failures
	}
	return j.FailureLimit
}

// failureKey returns the part under which failures are counted: the first part of a gang, or else the part itself.
func (j *Job) failureKey(p work.Part) work.Part {
	if j.Spec.Steps[p.Step].Gang {
		p.Index = 0
	}
	return p
}

// endAcknowledged records that the scheduler has acknowledged the end of an attempt.
func (f *Fleet) endAcknowledged(end sched.EndedAttempt) {
	part := end.Attempt.Part
	j := f.jobs[part.Job]
	switch {
	case j == nil:
	case end.Outcome == pool.Done && !j.Spec.Steps[part.Step].Lasting:
		f.completed[part] = true
	case end.Outcome == pool.Failed:
		j.ackedFailures.add(j.failureKey(part), end.Attempt.Number)
	}
}

// ackedFailuresBefore returns the number of acknowledged failures of earlier attempts. Failures of the same attempt do
// not count, because start requests for other parts of a gang may be in flight when one of its parts fails.
func (j *Job) ackedFailuresBefore(attempt work.Attempt) int {
	count := 0
	for number := range j.ackedFailures[j.failureKey(attempt.Part)] {
		if number < attempt.Number {
			count++
		}
	}
	return count
}

// attemptSet is a set of attempts by failure key (see Job.failureKey), so an attempt of a gang counts once however many
// of its parts it concerns.
type attemptSet map[work.Part]map[ident.Attempt]bool

func (a attemptSet) add(part work.Part, number ident.Attempt) {
	if a[part] == nil {
		a[part] = map[ident.Attempt]bool{}
	}
	a[part][number] = true
}
