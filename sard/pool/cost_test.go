package pool

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/admit"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// startLimit is the time limit on the start of guaranteed jobs in tests with cost order.
const startLimit = 2700 * time.Millisecond

// newCostHarness returns a harness whose engine delays and stops the work whose delay costs callers least.
func newCostHarness(t *testing.T, workers int) *harness {
	h := newHarness(t, workers)
	h.engine.config.CostOrder, h.engine.config.StartLimit = true, startLimit
	return h
}

// fill lets a job with a large part start on each worker and run for the given time, which its estimate does not exceed.
func (h *harness) fill(workers int, ran, estimate time.Duration) {
	for i := range workers {
		h.addJob(ident.Job(fmt.Sprintf("low%02d", i)), 1, work.Step{Parts: 1, Need: largePart, Estimate: estimate})
	}
	h.advance(ran)
}

// TestReclaimCases lets a guaranteed job need one of two full workers. Of the jobs there, the one must be stopped whose loss
// costs its caller least.
func TestReclaimCases(t *testing.T) {
	large := func(estimate time.Duration) work.Step {
		return work.Step{Parts: 1, Need: largePart, Estimate: estimate}
	}
	saving := large(20 * time.Second)
	saving.Checkpoints = true
	cases := []struct {
		name       string
		kept, lost work.Step
		apart      time.Duration
	}{
		{name: "stop saves the progress", kept: large(20 * time.Second), lost: saving},
		{name: "in time after a restart", kept: large(800 * time.Millisecond), lost: large(12 * time.Second)},
		{name: "less work done", kept: large(20 * time.Second), lost: large(20 * time.Second), apart: time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newCostHarness(t, 2)
			h.submit("a", "kept", 1, c.kept)
			h.decide()
			h.advance(c.apart)
			h.submit("a", "lost", 1, c.lost)
			h.decide()
			h.advance(time.Second)
			assert.Equal(t, len(h.starts), 2)
			h.addJob("quote", work.Guaranteed, large(time.Second))
			assert.DeepEqual(t, h.stopsByJob(), map[ident.Job]int{"lost": 1})
		})
	}
}

// TestReclaimWaitsForEnd lets a guaranteed job with slack need a worker on which a job is about to end. It must wait for
// that and stop nothing.
func TestReclaimWaitsForEnd(t *testing.T) {
	h := newCostHarness(t, 2)
	h.fill(2, time.Second, 4*time.Second)
	h.reportProgress("low00", 30)
	h.advance(time.Second)
	h.reportProgress("low00", 60)
	h.advance(time.Second)
	h.reportProgress("low00", 90)
	h.addJob("quote", work.Guaranteed, work.Step{Parts: 1, Need: largePart, Gang: true, Estimate: 5 * time.Second})
	assert.Equal(t, len(h.stops), 0)
	h.advance(300 * time.Millisecond)
	h.endJob("low00", Done)
	assert.Equal(t, len(h.workersOf("quote")), 1)
	assert.Equal(t, len(h.stops), 0)
}

// TestReclaimWaitIsBounded guards against a guaranteed job that waits for an end that never comes. It must claim a worker
// while there is still time for the stop.
func TestReclaimWaitIsBounded(t *testing.T) {
	h := newCostHarness(t, 1)
	h.fill(1, time.Second, 4*time.Second)
	for percent := 10; percent <= 80; percent += 10 {
		h.reportProgress("low00", percent)
		h.advance(700 * time.Millisecond)
	}
	h.addJob("quote", work.Guaranteed, work.Step{Parts: 1, Need: largePart, Gang: true, Estimate: 20 * time.Second})
	for waited := time.Duration(0); waited <= startLimit/2; waited += 100 * time.Millisecond {
		h.reportProgress("low00", 95)
		h.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(h.stops), 1)
	h.confirmStops()
	assert.Equal(t, len(h.workersOf("quote")), 1)
}

// TestWaitingWorkIsOrderedByStake lets jobs wait for a single worker, of which each needs the whole. The one that will just
// be in time must start first, although another one, which is late anyway, has waited for longer.
func TestWaitingWorkIsOrderedByStake(t *testing.T) {
	h := newCostHarness(t, 1)
	h.addJob("runs", 1, work.Step{Parts: 1, Need: largePart, Estimate: 20 * time.Second})
	h.addJob("late", 2, work.Step{Parts: 1, Need: largePart, Estimate: 4 * time.Second})
	h.advance(11 * time.Second)
	h.addJob("patient", 2, work.Step{Parts: 1, Need: largePart, Estimate: 10 * time.Second})
	h.addJob("urgent", 1, work.Step{Parts: 1, Need: largePart, Estimate: time.Second})
	h.advance(2 * time.Second)
	var order []ident.Job
	for _, id := range []ident.Job{"runs", "urgent", "patient"} {
		order = append(order, h.starts[len(h.starts)-1].Attempt.Part.Job)
		h.endJob(id, Done)
	}
	order = append(order, h.starts[len(h.starts)-1].Attempt.Part.Job)
	assert.DeepEqual(t, order, []ident.Job{"runs", "urgent", "patient", "late"})
}

// TestLoadOfBurst checks that a burst makes the load summary tell of a wait, and that it is gone when the backlog has
// drained.
func TestLoadOfBurst(t *testing.T) {
	h := newCostHarness(t, 1)
	for i := range 10 {
		h.addJob(ident.Job(fmt.Sprint(i)), 1, work.Step{Parts: 1, Need: largePart, Estimate: 5 * time.Second})
	}
	burst := h.engine.Load(h.now)
	assert.Assert(t, burst.Pressure())
	assert.Equal(t, burst.Services[0].LongestWait(), 45*time.Second)
	for i := range 10 {
		h.engine.CancelJob(ident.Job(fmt.Sprint(i)))
	}
	h.confirmStops()
	drained := h.engine.Load(h.now)
	assert.Assert(t, !drained.Pressure())
}

// TestWorkOfHugeJobs checks that the work of a job grows with its parts beyond the range of a duration.
func TestWorkOfHugeJobs(t *testing.T) {
	const manyParts = 20000
	works := map[int]float64{}
	for _, parts := range []int{1, manyParts} {
		h := newCostHarness(t, 1)
		h.addJob("a", 1, work.Step{Parts: parts, Need: largePart, Estimate: 100 * time.Hour})
		expected := h.engine.outlook(h.engine.jobs["a"].occurrences[0], h.now)
		assert.Equal(t, expected.work, expected.left)
		works[parts] = float64(expected.work)
	}
	assert.Equal(t, works[manyParts], manyParts*works[1])
}

// TestGuaranteedJobIsTheLastToBeStopped lets a job run for so long that its loss exceeds 1,000 hours of a
// processor core. Its stop must still cost less than that of a guaranteed job that has just started.
func TestGuaranteedJobIsTheLastToBeStopped(t *testing.T) {
	h := newCostHarness(t, 2)
	h.addJob("long", 1, work.Step{Parts: 1, Need: largePart, Estimate: 500 * time.Hour})
	h.advance(400 * time.Hour)
	h.addJob("guaranteed", work.Guaranteed, work.Step{Parts: 1, Need: largePart, Estimate: time.Hour})
	r := newRound(h.engine, h.now)
	cost := func(id ident.Job) time.Duration {
		return r.stopCost(h.engine.jobs[id].occurrences[0].steps[0].groups[0])
	}
	assert.Assert(t, cost("long") < cost("guaranteed"), "%v, %v", cost("long"), cost("guaranteed"))
}

// TestOutlookOfDenseSteps lets a job have many steps that each wait for all earlier ones. What is expected of it must be known
// soon.
func TestOutlookOfDenseSteps(t *testing.T) {
	const steps = 64
	h := newCostHarness(t, 1)
	dense := make([]work.Step, steps)
	for i := range dense {
		dense[i] = work.Step{Parts: 1, Need: largePart, Estimate: time.Second}
		for before := range i {
			dense[i].After = append(dense[i].After, before)
		}
	}
	h.engine.AddJob(&work.Job{
		ID: "dense", Account: "a", Steps: dense, AcceptedMs: h.now.UnixMilli(),
		Terms: work.QueueSettings{Service: "s", Priority: 1, Failures: 3, Stretch: 3, Target: time.Second},
	}, nil, h.now, h.now.UnixMilli())
	h.decide()
	expected := h.engine.outlook(h.engine.jobs["dense"].occurrences[0], h.now)
	assert.Equal(t, expected.rest, steps*time.Second)
}

// TestLoadOfSillyJobsIsReadable lets one client submit jobs that can never run as they say. The summary of the load must still be
// readable, as all instances would accept everything otherwise.
func TestLoadOfSillyJobsIsReadable(t *testing.T) {
	cases := []struct {
		name string
		step work.Step
	}{
		{"lasting work needs more than there is", work.Step{Parts: 3, Need: largePart, Lasting: true}},
		{"negative estimate", work.Step{Parts: 1, Need: largePart, Estimate: math.MinInt64}},
		{"gang whose demand exceeds the range", work.Step{Parts: 3, Gang: true, Need: work.Resources{CPU: math.MaxInt64 / 2}, Estimate: time.Second}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newCostHarness(t, 1)
			h.fill(1, time.Second, time.Hour)
			h.addJob("silly", 1, c.step)
			load := h.engine.Load(h.now)
			value, err := load.Encode()
			assert.NilError(t, err)
			_, err = admit.DecodeSummary(value)
			assert.NilError(t, err)
		})
	}
}
