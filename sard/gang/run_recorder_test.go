package gang_test

import (
	"fmt"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/worker"
)

// partRun is one run of a part on a worker.
type partRun struct {
	worker     ident.Worker
	start, end time.Time
	state      ident.PartState
}

// runRecorder records what actually happened on the fake workers, independently of the scheduler's state, and collects
// violations of its guarantees.
type runRecorder struct {
	mu sync.Mutex
	// reservations holds the workers of each attempt, runs its started parts.
	reservations map[worker.Part]map[ident.Worker]bool
	runs         map[worker.Part]map[ident.Worker]*partRun
	// faults is when each worker was last disconnected, reconnected or crashed.
	faults     map[ident.Worker]time.Time
	violations []string
}

// newRunRecorder returns an empty recorder.
func newRunRecorder() *runRecorder {
	return &runRecorder{reservations: map[worker.Part]map[ident.Worker]bool{}, runs: map[worker.Part]map[ident.Worker]*partRun{}, faults: map[ident.Worker]time.Time{}}
}

// addViolation records a violation.
func (r *runRecorder) addViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// recordReservation records that a worker has reserved a part of an attempt.
func (r *runRecorder) recordReservation(w ident.Worker, part worker.Part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reservations[part] == nil {
		r.reservations[part] = map[ident.Worker]bool{}
	}
	r.reservations[part][w] = true
}

// recordStart records a start and checks that no other attempt of the job is running.
func (r *runRecorder) recordStart(w ident.Worker, part worker.Part, spec worker.Spec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, runs := range r.runs {
		if other.Job != part.Job || other == part {
			continue
		}
		if spec.Kind == "once" {
			r.addViolation("attempts %d and %d of %s started, but the job must not be repeated", other.Attempt, part.Attempt, part.Job)
		}
		for _, run := range runs {
			if run.end.IsZero() {
				r.addViolation("attempt %d of %s started while attempt %d was running on %s", part.Attempt, part.Job, other.Attempt, run.worker)
			}
		}
	}
	if r.runs[part] == nil {
		r.runs[part] = map[ident.Worker]*partRun{}
	}
	if r.runs[part][w] != nil {
		r.addViolation("%v started twice on %s", part, w)
	}
	r.runs[part][w] = &partRun{worker: w, start: time.Now()}
}

// recordEnd records the end of a run and its final state.
func (r *runRecorder) recordEnd(w ident.Worker, part worker.Part, state ident.PartState, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.runs[part][w]
	run.end, run.state = at, state
}

// checkPartialRuns checks at the end of a test that no part ran longer than maxPartialRun without the whole gang, nor
// longer than maxRunAfterBreak after another part had ended early.
func (r *runRecorder) checkPartialRuns(maxPartialRun, maxRunAfterBreak time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for part, runs := range r.runs {
		whole := len(runs) == len(r.reservations[part])
		var lastStart, firstFailure time.Time
		for _, run := range runs {
			if run.start.After(lastStart) {
				lastStart = run.start
			}
			if run.state != ident.PartDone && !run.end.IsZero() && (firstFailure.IsZero() || run.end.Before(firstFailure)) {
				firstFailure = run.end
			}
		}
		for _, run := range runs {
			end := run.end
			if end.IsZero() {
				end = time.Now()
			}
			if !whole && end.Sub(run.start) > maxPartialRun {
				r.addViolation("%v ran on %s for %v without the whole gang", part, run.worker, end.Sub(run.start))
			}
			if whole && lastStart.Sub(run.start) > maxPartialRun {
				r.addViolation("%v ran on %s for %v before the whole gang had started", part, run.worker, lastStart.Sub(run.start))
			}
			if !firstFailure.IsZero() && end.Sub(firstFailure) > maxRunAfterBreak {
				r.addViolation("%v ran on %s for %v after a part of the gang had ended early", part, run.worker, end.Sub(firstFailure))
			}
		}
	}
}

// recordFault records the time at which a worker is disconnected, reconnected or crashes.
func (r *runRecorder) recordFault(w ident.Worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[w] = time.Now()
}

// countSucceeded counts the attempts of a job whose parts were all done. Those without a fault of a worker since the
// start are also counted as certain, since the lease holder must have learnt of their end.
func (r *runRecorder) countSucceeded(job ident.Job) (all, certain int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for part, runs := range r.runs {
		done, reported := 0, 0
		for _, run := range runs {
			if run.state != ident.PartDone {
				continue
			}
			done++
			if r.faults[run.worker].Before(run.start) {
				reported++
			}
		}
		if part.Job != job || done != len(r.reservations[part]) {
			continue
		}
		all++
		if reported == done {
			certain++
		}
	}
	return all, certain
}

// foundViolations returns the violations recorded so far.
func (r *runRecorder) foundViolations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations
}
