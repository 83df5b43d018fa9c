package fakes

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/work"
)

// run is an attempt on a worker.
type run struct {
	attempt work.Attempt
	worker  *Worker
	began   time.Time
	// worked is the work that was done until lookedAt, from the checkpoint on.
	worked   time.Duration
	lookedAt time.Time
	ended    bool
	stalled  bool
	// stopAt is when a stop takes effect.
	stopAt time.Time
}

func newRun(w *Worker, o sched.StartRequest) *run {
	now := time.Now()
	saved, _ := w.fleet.jobs[o.Attempt.Part.Job].restore(o.Attempt.Part, o.Checkpoint)
	return &run{attempt: o.Attempt, worker: w, began: now, lookedAt: now, stalled: w.Stalled, worked: saved}
}

func (r *run) job() *Job {
	return r.worker.fleet.jobs[r.attempt.Part.Job]
}

func (r *run) step() *work.Step {
	return &r.job().Spec.Steps[r.attempt.Part.Step]
}

// members returns the runs of the same attempt of a gang, on all workers; for a single part, the run alone.
func (r *run) members() []*run {
	if !r.step().Gang {
		return []*run{r}
	}
	var found []*run
	for index := range r.step().Parts {
		part := r.attempt.Part
		part.Index = index
		for _, w := range r.worker.fleet.workers {
			if m := w.runs[part]; m != nil && m.attempt.Number == r.attempt.Number {
				found = append(found, m)
			}
		}
	}
	return found
}

// complete tells whether all parts of the run's gang are present.
func (r *run) complete() bool {
	return !r.step().Gang || len(r.members()) == r.step().Parts
}

// work does the work of the time since the last look. A gang works at the pace of its slowest part.
func (r *run) work() {
	now := time.Now()
	from := r.lookedAt
	slow, stalled := 1.0, false
	for _, m := range r.members() {
		if m.began.After(from) {
			from = m.began
		}
		slow = max(slow, m.worker.Slowdown)
		stalled = stalled || m.stalled
	}
	r.lookedAt = now
	if !stalled && r.complete() && now.After(from) {
		r.worked += time.Duration(float64(now.Sub(from)) / slow)
	}
}

func (r *run) done() bool {
	return r.complete() && !r.step().Lasting && r.worked >= r.job().RunTime
}

// percent is how much of the work is done; of a lasting part, the share at which it works.
func (r *run) percent() int {
	if r.step().Lasting {
		return 100
	}
	return int(min(100, r.worked*100/max(r.job().RunTime, 1)))
}

// checkpoint names the part, or the gang, whose work it holds, and the work.
func (r *run) checkpoint() work.Checkpoint {
	saved := r.worked.Truncate(saveEvery)
	if saved <= 0 || !r.step().Checkpoints {
		return ""
	}
	return work.Checkpoint(fmt.Sprintf("%v %d", r.job().first(r.attempt.Part), saved))
}

// restore returns the work that a checkpoint of a part holds, and false when it is not one of that part.
func (j *Job) restore(p work.Part, c work.Checkpoint) (time.Duration, bool) {
	if c == "" {
		return 0, true
	}
	owner, text, _ := strings.Cut(string(c), " ")
	saved, err := strconv.ParseInt(text, 10, 64)
	return time.Duration(saved), err == nil && owner == j.first(p).String()
}
