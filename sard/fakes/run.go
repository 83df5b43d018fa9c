package fakes

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/work"
)

// run is the simulated execution of an attempt on a worker.
type run struct {
	attempt   work.Attempt
	worker    *Worker
	startedAt time.Time
	// workDone is the work done until updatedAt, including that of the checkpoint it started from.
	workDone  time.Duration
	updatedAt time.Time
	ended     bool
	// stalled makes the run make no progress.
	stalled bool
	// unfenced indicates that no scheduler could keep the worker from the run, and listedAt is when a report to the current lease
	// holder first listed it.
	unfenced bool
	listedAt time.Time
	// gangWasComplete is set once all parts of the gang were running at the same time.
	gangWasComplete bool
	// stopDue is when a requested stop takes effect; zero if no stop was requested.
	stopDue time.Time
	// shares holds the changes of the run's share; it has its full share before them. Only those of the last half second count.
	shares []shareChange
	// harmedSince is since when the run's tail has exceeded its target because of what fills beside it; zero if it does not.
	harmedSince time.Time
}

// newRun returns a run that continues from the checkpoint of a start request.
func newRun(w *Worker, req sched.StartRequest) *run {
	now := time.Now()
	workDone, _ := w.fleet.jobs[req.Attempt.Part.Job].parseCheckpoint(req.Attempt.Part, req.Checkpoint)
	return &run{attempt: req.Attempt, worker: w, startedAt: now, updatedAt: now, stalled: w.Stalled, workDone: workDone}
}

// reactionTime is how long a lease holder may take to act upon a report.
const reactionTime = 300 * time.Millisecond

// unknown reports whether the current lease holder can't be expected to know of an unfenced run yet.
func (r *run) unknown() bool {
	return r.unfenced && (r.listedAt.IsZero() || time.Since(r.listedAt) < reactionTime)
}

// unknownRuns returns the number of runs of a part that the current lease holder can't be expected to know of yet.
func (f *Fleet) unknownRuns(part work.Part) int {
	unknown := 0
	for _, w := range f.workers {
		if r := w.runs[part]; r != nil && r.unknown() {
			unknown++
		}
	}
	return unknown
}

// NextHolder records that another lease holder has this epoch, which has been told of no run yet.
func (f *Fleet) NextHolder(epoch ident.Epoch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holderEpoch = epoch
	for _, w := range f.workers {
		for _, r := range w.runs {
			r.listedAt = time.Time{}
		}
	}
}

// noteListed records that a report has listed the runs of the worker in response to a request with an epoch.
func (w *Worker) noteListed(epoch ident.Epoch) {
	if epoch < w.fleet.holderEpoch {
		return
	}
	for _, r := range w.runs {
		if r.listedAt.IsZero() {
			r.listedAt = time.Now()
		}
	}
}

func (r *run) job() *Job {
	return r.worker.fleet.jobs[r.attempt.Part.Job]
}

func (r *run) step() *work.Step {
	return &r.job().Spec.Steps[r.attempt.Part.Step]
}

// gangRuns returns the runs of the same attempt of the gang on all workers, or only r if the part is not in a gang.
func (r *run) gangRuns() []*run {
	if !r.step().Gang {
		return []*run{r}
	}
	var runs []*run
	for index := range r.step().Parts {
		part := r.attempt.Part
		part.Index = index
		for _, w := range r.worker.fleet.workers {
			if m := w.runs[part]; m != nil && m.attempt.Number == r.attempt.Number {
				runs = append(runs, m)
			}
		}
	}
	return runs
}

// gangComplete reports whether all parts of the gang are running. It is true for a part that is not in a gang.
func (r *run) gangComplete() bool {
	return !r.step().Gang || len(r.gangRuns()) == r.step().Parts
}

// updateWork adds the work done since updatedAt to workDone. A gang progresses at the speed of its slowest part.
func (r *run) updateWork() {
	now := time.Now()
	r.gangWasComplete = r.gangWasComplete || r.gangComplete()
	from := r.updatedAt
	slowdown, stalled := 1.0, false
	for _, m := range r.gangRuns() {
		if m.startedAt.After(from) {
			from = m.startedAt
		}
		slowdown = max(slowdown, max(m.worker.Slowdown, 1)*max(m.worker.UsualSlowdown, 1))
		stalled = stalled || m.stalled
	}
	r.updatedAt = now
	if !stalled && r.gangComplete() && now.After(from) {
		r.workDone += time.Duration(float64(now.Sub(from)) / slowdown)
	}
}

// failsByItself reports whether the run is one of the first attempts, which fail.
func (r *run) failsByItself() bool {
	j := r.job()
	return r.gangComplete() && len(j.failed[j.failureKey(r.attempt.Part)]) < j.FailsFirst
}

// finished reports whether the run has done all of its work. A part of a lasting step never finishes.
func (r *run) finished() bool {
	return r.gangComplete() && !r.step().Lasting && r.workDone >= r.job().RunTime
}

// percent returns the percentage of its work that the run has done, or for a part of a lasting step the speed at which
// it runs, which is always 100 percent.
func (r *run) percent() int {
	if r.step().Lasting {
		return 100
	}
	return int(min(100, r.workDone*100/max(r.job().RunTime, 1)))
}

// checkpoint returns the latest checkpoint, which consists of the failure key of the part and the work done.
func (r *run) checkpoint() work.Checkpoint {
	workDone := r.workDone.Truncate(checkpointInterval)
	if workDone <= 0 || !r.step().Checkpoints {
		return ""
	}
	return work.Checkpoint(fmt.Sprintf("%v %d", r.job().failureKey(r.attempt.Part), workDone))
}

// parseCheckpoint returns the work done according to a checkpoint of a part, and false if it is not a checkpoint of
// that part.
func (j *Job) parseCheckpoint(p work.Part, c work.Checkpoint) (time.Duration, bool) {
	if c == "" {
		return 0, true
	}
	owner, value, _ := strings.Cut(string(c), " ")
	workDone, err := strconv.ParseInt(value, 10, 64)
	return time.Duration(workDone), err == nil && owner == j.failureKey(p).String()
}
