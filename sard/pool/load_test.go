package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// TestFloodOfSmallJobsLeavesHeadroom: jobs with much slack leave room in which a guaranteed job starts at once.
func TestFloodOfSmallJobsLeavesHeadroom(t *testing.T) {
	r := newRig(t, 16)
	for i := range 40 {
		r.add(ident.Job(fmt.Sprintf("flood%02d", i)), 2, work.Step{Parts: 8, Need: small})
	}
	r.add("quote", work.Guaranteed, work.Step{Parts: 1, Need: work.Resources{CPU: 15000, Memory: 22000, Accelerators: 8}, Gang: true})
	assert.Equal(t, len(r.on("quote")), 1)
	assert.Equal(t, len(r.stops), 0)
}

// TestSmallPoolIsNotKeptIdle: where the headroom is a small part of a worker, none is kept.
func TestSmallPoolIsNotKeptIdle(t *testing.T) {
	r := newRig(t, 1)
	r.add("patient", 2, work.Step{Parts: 2, Need: small})
	assert.Equal(t, len(r.on("patient")), 2)
}

// TestFloodWithoutSlackUsesAllWorkers: jobs that have to start now take the headroom too.
func TestFloodWithoutSlackUsesAllWorkers(t *testing.T) {
	r := newRig(t, 4)
	for i := range 40 {
		r.add(ident.Job(fmt.Sprintf("flood%02d", i)), 2, work.Step{Parts: 1, Need: small})
	}
	before := r.engine.Summary().Used
	r.pass(20 * time.Second)
	assert.Assert(t, before < 32)
	assert.Equal(t, r.engine.Summary().Used, ident.Accelerators(32))
}

// TestBurstOfGuaranteedJobsReclaims: a covered job has others stopped, those that lose the least.
func TestBurstOfGuaranteedJobsReclaims(t *testing.T) {
	r := newRig(t, 2)
	r.add("old", 1, work.Step{Parts: 1, Need: large})
	r.pass(25 * time.Second)
	r.add("young", 1, work.Step{Parts: 1, Need: large, Estimate: time.Millisecond})
	r.pass(3 * time.Second)
	assert.Equal(t, len(r.on("young")), 1)
	r.add("quote", work.Guaranteed, work.Step{Parts: 1, Need: large, Gang: true})
	assert.DeepEqual(t, r.stoppedJobs(), map[ident.Job]int{"young": 1})
	r.stopped()
	assert.Equal(t, len(r.on("quote")), 1)
}

// TestReclaimTakesCheckpointedWorkFirst: of two jobs that ran as long, the one that saves its progress gives way.
func TestReclaimTakesCheckpointedWorkFirst(t *testing.T) {
	r := newRig(t, 2)
	r.add("plain", 1, work.Step{Parts: 1, Need: large, Estimate: time.Millisecond})
	r.add("saving", 1, work.Step{Parts: 1, Need: large, Checkpoints: true, Estimate: time.Millisecond})
	r.pass(4 * time.Second)
	r.engine.ForEachAttempt(func(a work.Attempt, _ work.WorkerProcess) { r.engine.AttemptRunning(a, 10, "c", r.now) })
	r.pass(100 * time.Millisecond)
	r.add("quote", work.Guaranteed, work.Step{Parts: 1, Need: large, Gang: true})
	assert.DeepEqual(t, r.stoppedJobs(), map[ident.Job]int{"saving": 1})
}

// TestGuaranteedJobsDoNotStopEachOther: beyond the guarantee, a job waits for others of its priority.
func TestGuaranteedJobsDoNotStopEachOther(t *testing.T) {
	r := newRig(t, 2)
	r.add("first", work.Guaranteed, work.Step{Parts: 2, Need: large, Gang: true})
	r.add("second", work.Guaranteed, work.Step{Parts: 1, Need: large, Gang: true})
	assert.Equal(t, len(r.stops), 0)
	assert.Equal(t, len(r.on("second")), 0)
}

// TestCoveredJobReclaimsFromBorrowers: a job within its guarantee gets its accelerators from guaranteed jobs beyond
// theirs.
func TestCoveredJobReclaimsFromBorrowers(t *testing.T) {
	r := newRig(t, 3)
	r.add("borrower", work.Guaranteed, work.Step{Parts: 3, Need: large, Gang: true})
	assert.Equal(t, len(r.on("borrower")), 3)
	r.add("covered", work.Guaranteed, work.Step{Parts: 1, Need: large, Gang: true})
	assert.Equal(t, r.stoppedJobs()["borrower"], 3, "a gang is stopped whole")
	r.stopped()
	assert.Equal(t, len(r.on("covered")), 1)
}

// TestLargeGangStaysOnOneRack: a gang that is slow on several racks is placed on one, and waits for it. The gangs have
// little slack left, so that they may use the headroom.
func TestLargeGangStaysOnOneRack(t *testing.T) {
	r := newRig(t, 16)
	for _, id := range []ident.Job{"first", "second", "third"} {
		r.add(id, 1, work.Step{Parts: 5, Need: large, Gang: true, SameRack: true})
	}
	r.pass(15 * time.Second)
	assert.Equal(t, r.racks("first"), 1)
	assert.Equal(t, r.racks("second"), 1)
	assert.Equal(t, len(r.on("third")), 0)
}

// TestHeadroomDoesNotSpreadAGang: a patient gang waits for its rack when a part of each rack is kept free for others.
func TestHeadroomDoesNotSpreadAGang(t *testing.T) {
	r := newRig(t, 16)
	busy := work.Resources{CPU: 15000, Memory: 22000, Accelerators: 6}
	r.add("first", work.Guaranteed, work.Step{Parts: 7, Need: busy, MaxPerWorker: 1, DataRack: "r0"})
	r.add("second", work.Guaranteed, work.Step{Parts: 5, Need: busy, MaxPerWorker: 1, DataRack: "r1"})
	wide := work.Resources{CPU: 52000, Memory: 140000, Accelerators: 2}
	r.add("gang", 1, work.Step{Parts: 8, Need: wide, Gang: true, SameRack: true})
	assert.Equal(t, len(r.on("gang")), 0, "%v", r.on("gang"))
	r.pass(20 * time.Second)
	assert.Equal(t, len(r.on("gang")), 8, "without slack it takes the headroom")
	assert.Equal(t, r.racks("gang"), 1)
}

// TestMostlyIdlePoolKeepsNothingFree: after a burst, a patient gang does not wait for headroom that nobody needs.
func TestMostlyIdlePoolKeepsNothingFree(t *testing.T) {
	r := newRig(t, 16)
	r.add("dots", 2, work.Step{Parts: 6, Need: small, MaxPerWorker: 1})
	r.add("gang", 1, work.Step{Parts: 7, Need: large, Gang: true, SameRack: true})
	assert.Equal(t, len(r.on("gang")), 7)
	assert.Equal(t, r.racks("gang"), 1)
}

// TestGangWiderThanARackSpansRacks: it could never run otherwise.
func TestGangWiderThanARackSpansRacks(t *testing.T) {
	r := newRig(t, 16)
	r.add("gang", 1, work.Step{Parts: 9, Need: large, Gang: true, SameRack: true, Estimate: time.Millisecond})
	r.pass(5 * time.Second)
	assert.Equal(t, len(r.on("gang")), 9)
}

// TestDataRackComesFirst: parts wait for the rack of their data while it could take them.
func TestDataRackComesFirst(t *testing.T) {
	r := newRig(t, 16)
	r.add("near", 1, work.Step{Parts: 2, Need: large, Gang: true, DataRack: "r1", Estimate: time.Millisecond})
	for _, w := range r.on("near") {
		assert.Equal(t, r.engine.byID[w].Rack, ident.Rack("r1"))
	}
}

// TestMaxPerWorkerSpreads: no more than so many parts of an occurrence share a worker.
func TestMaxPerWorkerSpreads(t *testing.T) {
	r := newRig(t, 4)
	r.add("spread", 1, work.Step{Parts: 6, Need: small, MaxPerWorker: 2, Estimate: time.Millisecond})
	r.pass(5 * time.Second)
	counts := map[ident.Worker]int{}
	for _, w := range r.on("spread") {
		counts[w]++
		assert.Assert(t, counts[w] <= 2)
	}
}

// TestStepsRunInOrder: a step waits for those before it.
func TestStepsRunInOrder(t *testing.T) {
	r := newRig(t, 4)
	r.engine.AddJob(&work.Job{
		ID: "j", Account: "a", Terms: work.QueueSettings{Service: "s", Priority: 1, Failures: 3, Stretch: 3, Target: time.Second},
		Steps: []work.Step{
			{Parts: 2, Need: small, Estimate: time.Second},
			{Parts: 1, Need: small, Estimate: time.Second, After: []int{0}},
		},
	}, nil, r.now, r.now.UnixMilli())
	r.decide()
	assert.Equal(t, len(r.starts), 2)
	r.end("j", Done)
	assert.Equal(t, len(r.starts), 3)
	assert.Equal(t, r.starts[2].Attempt.Part.Step, 1)
}

// TestOccurrencesStartWhenDue: each run of the steps waits for its time.
func TestOccurrencesStartWhenDue(t *testing.T) {
	r := newRig(t, 4)
	r.engine.AddJob(&work.Job{
		ID: "j", Account: "a", Terms: work.QueueSettings{Service: "s", Priority: 1, Failures: 3, Stretch: 3, Target: time.Second},
		Steps:  []work.Step{{Parts: 1, Need: small, Estimate: time.Second}},
		Repeat: work.Repeat{Count: 2, StartMs: r.now.Add(time.Second).UnixMilli(), Interval: 2 * time.Second},
	}, nil, r.now, r.now.UnixMilli())
	r.decide()
	assert.Equal(t, len(r.starts), 0)
	r.pass(time.Second)
	assert.Equal(t, len(r.starts), 1)
	r.pass(2 * time.Second)
	assert.Equal(t, len(r.starts), 2)
	assert.Equal(t, r.starts[1].Attempt.Part.Occurrence, 1)
}
