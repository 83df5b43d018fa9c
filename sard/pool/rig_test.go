package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// rig is an engine with a clock of its own and what it has decided.
type rig struct {
	t      *testing.T
	engine *Engine
	now    time.Time
	starts []Start
	stops  []Stop
}

// Amounts of the tests: a worker has 8 accelerators, a large part takes over half of its memory.
var (
	whole = work.Resources{CPU: 128000, Memory: 262144, Accelerators: 8}
	small = work.Resources{CPU: 11000, Memory: 16000, Accelerators: 1}
	large = work.Resources{CPU: 52000, Memory: 140000, Accelerators: 8}
)

const guarantee = 16

// newRig makes an engine with workers, 8 a rack.
func newRig(t *testing.T, workers int) *rig {
	r := &rig{t: t, now: time.Unix(1_000_000, 0)}
	r.engine = New(Config{
		QueueSettings: func(j *work.Job) work.QueueSettings { return j.Terms },
		Guarantee:     func(ident.Account) ident.Accelerators { return guarantee },
	})
	for i := range workers {
		r.worker(i)
	}
	return r
}

func (r *rig) worker(i int) Worker {
	w := Worker{
		WorkerProcess: work.WorkerProcess{Worker: workerID(i), StartedMs: 1}, Service: "s",
		Rack: ident.Rack(fmt.Sprintf("r%d", i/8)), Capacity: whole, Accepting: true,
	}
	r.engine.SetWorker(w)
	return w
}

func workerID(i int) ident.Worker {
	return ident.Worker(fmt.Sprintf("w%02d", i))
}

// add hands a job of one step in and decides.
func (r *rig) add(id ident.Job, priority work.Priority, step work.Step) {
	r.t.Helper()
	if step.Estimate == 0 {
		step.Estimate = 10 * time.Second
	}
	r.engine.AddJob(&work.Job{
		ID: id, Account: "a", Steps: []work.Step{step}, AcceptedMs: r.now.UnixMilli(),
		Terms: work.QueueSettings{Service: "s", Priority: priority, Failures: 3, Stretch: 3, Target: time.Second},
	}, nil, r.now, r.now.UnixMilli())
	r.decide()
}

// decide has the engine decide and checks that no worker is given more than it has.
func (r *rig) decide() {
	r.t.Helper()
	for _, d := range r.engine.Decide(r.now, r.now.UnixMilli()) {
		switch d := d.(type) {
		case Start:
			r.starts = append(r.starts, d)
		case Stop:
			r.stops = append(r.stops, d)
		}
	}
	assert.Equal(r.t, len(r.engine.Violations()), 0)
	r.engine.ChangesWritten(r.engine.TakeChanges(1<<20, r.now))
	for _, n := range r.engine.nodes {
		assert.Assert(r.t, n.used.Fits(n.Capacity), "worker %s uses %v", n.WorkerProcess.Worker, n.used)
	}
}

// pass lets time pass and decides.
func (r *rig) pass(d time.Duration) {
	r.t.Helper()
	r.now = r.now.Add(d)
	r.decide()
}

// progress reports what all running attempts of a job have done.
func (r *rig) progress(id ident.Job, percent int) {
	r.engine.ForEachAttempt(func(a work.Attempt, _ work.WorkerProcess) {
		if a.Part.Job == id {
			r.engine.AttemptRunning(a, percent, "", r.now)
		}
	})
}

// end ends all current attempts of a job and decides.
func (r *rig) end(id ident.Job, how End) {
	r.t.Helper()
	var ended []work.Attempt
	r.engine.ForEachAttempt(func(a work.Attempt, _ work.WorkerProcess) {
		if a.Part.Job == id {
			ended = append(ended, a)
		}
	})
	for _, a := range ended {
		r.engine.AttemptEnded(a, how, "", r.now)
	}
	r.decide()
}

// stopped ends all attempts that were ordered to stop and decides.
func (r *rig) stopped() {
	r.t.Helper()
	for _, s := range r.stops {
		r.engine.AttemptEnded(s.Attempt, Stopped, "", r.now)
	}
	r.stops = nil
	r.decide()
}

// on returns the workers on which a job's parts are placed.
func (r *rig) on(id ident.Job) []ident.Worker {
	var found []ident.Worker
	r.engine.ForEachAttempt(func(a work.Attempt, life work.WorkerProcess) {
		if a.Part.Job == id {
			found = append(found, life.Worker)
		}
	})
	return found
}

// racks returns how many racks a job's parts are on.
func (r *rig) racks(id ident.Job) int {
	racks := map[ident.Rack]bool{}
	for _, w := range r.on(id) {
		racks[r.engine.byID[w].Rack] = true
	}
	return len(racks)
}

// stoppedJobs counts the stops that were ordered, by job.
func (r *rig) stoppedJobs() map[ident.Job]int {
	counts := map[ident.Job]int{}
	for _, s := range r.stops {
		counts[s.Attempt.Part.Job]++
	}
	return counts
}
