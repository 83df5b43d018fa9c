package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// TestManySmallJobsLeaveHeadroom checks that jobs with much slack leave enough free capacity for a guaranteed job to
// start at once.
func TestManySmallJobsLeaveHeadroom(t *testing.T) {
	h := newHarness(t, 16)
	for i := range 40 {
		h.addJob(ident.Job(fmt.Sprintf("flood%02d", i)), 2, work.Step{Parts: 8, Need: smallPart})
	}
	h.addJob("quote", work.Guaranteed, work.Step{Parts: 1, Need: work.Resources{CPU: 15000, Memory: 22000, Accelerators: 8}, Gang: true})
	assert.Equal(t, len(h.workersOf("quote")), 1)
	assert.Equal(t, len(h.stops), 0)
}

// TestSmallPoolKeepsNoHeadroom checks that no worker is kept free if only a small part of it is needed as headroom.
func TestSmallPoolKeepsNoHeadroom(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob("patient", 2, work.Step{Parts: 2, Need: smallPart})
	assert.Equal(t, len(h.workersOf("patient")), 2)
}

// TestJobsWithoutSlackUseHeadroom checks that jobs that must start now to meet their objective use the headroom too.
func TestJobsWithoutSlackUseHeadroom(t *testing.T) {
	h := newHarness(t, 4)
	for i := range 40 {
		h.addJob(ident.Job(fmt.Sprintf("flood%02d", i)), 2, work.Step{Parts: 1, Need: smallPart})
	}
	before := h.engine.Summary().Used
	h.advance(20 * time.Second)
	assert.Assert(t, before < 32)
	assert.Equal(t, h.engine.Summary().Used, ident.Accelerators(32))
}

// TestReclaimStopsJobThatLosesLeast checks that a job within its guarantee reclaims capacity from the job that loses
// the least work.
func TestReclaimStopsJobThatLosesLeast(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob("old", 1, work.Step{Parts: 1, Need: largePart})
	h.advance(25 * time.Second)
	h.addJob("young", 1, work.Step{Parts: 1, Need: largePart, Estimate: time.Millisecond})
	h.advance(3 * time.Second)
	assert.Equal(t, len(h.workersOf("young")), 1)
	h.addJob("quote", work.Guaranteed, work.Step{Parts: 1, Need: largePart, Gang: true})
	assert.DeepEqual(t, h.stopsByJob(), map[ident.Job]int{"young": 1})
	h.confirmStops()
	assert.Equal(t, len(h.workersOf("quote")), 1)
}

// TestReclaimStopsCheckpointedJobFirst checks that, of two jobs with equal run times, the one that saves checkpoints is
// stopped.
func TestReclaimStopsCheckpointedJobFirst(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob("plain", 1, work.Step{Parts: 1, Need: largePart, Estimate: time.Millisecond})
	h.addJob("saving", 1, work.Step{Parts: 1, Need: largePart, Checkpoints: true, Estimate: time.Millisecond})
	h.advance(4 * time.Second)
	h.engine.ForEachAttempt(func(a work.Attempt, _ work.WorkerProcess) { h.engine.AttemptRunning(a, 10, "c", h.now) })
	h.advance(100 * time.Millisecond)
	h.addJob("quote", work.Guaranteed, work.Step{Parts: 1, Need: largePart, Gang: true})
	assert.DeepEqual(t, h.stopsByJob(), map[ident.Job]int{"saving": 1})
}

// TestGuaranteedJobsDoNotStopEachOther checks that a job beyond its account's guarantee waits for other guaranteed
// jobs.
func TestGuaranteedJobsDoNotStopEachOther(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob("first", work.Guaranteed, work.Step{Parts: 2, Need: largePart, Gang: true})
	h.addJob("second", work.Guaranteed, work.Step{Parts: 1, Need: largePart, Gang: true})
	assert.Equal(t, len(h.stops), 0)
	assert.Equal(t, len(h.workersOf("second")), 0)
}

// TestCoveredJobReclaimsFromBorrowers checks that a job within its account's guarantee reclaims accelerators from
// guaranteed jobs that exceed theirs.
func TestCoveredJobReclaimsFromBorrowers(t *testing.T) {
	h := newHarness(t, 3)
	h.addJob("borrower", work.Guaranteed, work.Step{Parts: 3, Need: largePart, Gang: true})
	assert.Equal(t, len(h.workersOf("borrower")), 3)
	h.addJob("covered", work.Guaranteed, work.Step{Parts: 1, Need: largePart, Gang: true})
	assert.Equal(t, h.stopsByJob()["borrower"], 3, "a gang is stopped whole")
	h.confirmStops()
	assert.Equal(t, len(h.workersOf("covered")), 1)
}

// TestLargeGangStaysOnOneRack checks that a SameRack gang is placed on one rack and waits until one is available. The
// jobs have little slack left, so they may use the headroom.
func TestLargeGangStaysOnOneRack(t *testing.T) {
	h := newHarness(t, 16)
	for _, id := range []ident.Job{"first", "second", "third"} {
		h.addJob(id, 1, work.Step{Parts: 5, Need: largePart, Gang: true, SameRack: true})
	}
	h.advance(15 * time.Second)
	assert.Equal(t, h.rackCount("first"), 1)
	assert.Equal(t, h.rackCount("second"), 1)
	assert.Equal(t, len(h.workersOf("third")), 0)
}

// TestHeadroomDoesNotSpreadAGang checks that a gang with slack waits for a whole rack when part of each rack is kept
// free as headroom, and does not spread over racks.
func TestHeadroomDoesNotSpreadAGang(t *testing.T) {
	h := newHarness(t, 16)
	busy := work.Resources{CPU: 15000, Memory: 22000, Accelerators: 6}
	h.addJob("first", work.Guaranteed, work.Step{Parts: 7, Need: busy, MaxPerWorker: 1, DataRack: "r0"})
	h.addJob("second", work.Guaranteed, work.Step{Parts: 5, Need: busy, MaxPerWorker: 1, DataRack: "r1"})
	wide := work.Resources{CPU: 52000, Memory: 140000, Accelerators: 2}
	h.addJob("gang", 1, work.Step{Parts: 8, Need: wide, Gang: true, SameRack: true})
	assert.Equal(t, len(h.workersOf("gang")), 0, "%v", h.workersOf("gang"))
	h.advance(20 * time.Second)
	assert.Equal(t, len(h.workersOf("gang")), 8, "without slack it takes the headroom")
	assert.Equal(t, h.rackCount("gang"), 1)
}

// TestMostlyIdlePoolKeepsNoHeadroom checks that a gang with slack starts at once in a mostly idle pool and does not
// wait for headroom that no job needs.
func TestMostlyIdlePoolKeepsNoHeadroom(t *testing.T) {
	h := newHarness(t, 16)
	h.addJob("dots", 2, work.Step{Parts: 6, Need: smallPart, MaxPerWorker: 1})
	h.addJob("gang", 1, work.Step{Parts: 7, Need: largePart, Gang: true, SameRack: true})
	assert.Equal(t, len(h.workersOf("gang")), 7)
	assert.Equal(t, h.rackCount("gang"), 1)
}

// TestGangWiderThanARackSpansRacks checks that a SameRack gang that fits on no single rack is spread, as it could never
// run otherwise.
func TestGangWiderThanARackSpansRacks(t *testing.T) {
	h := newHarness(t, 16)
	h.addJob("gang", 1, work.Step{Parts: 9, Need: largePart, Gang: true, SameRack: true, Estimate: time.Millisecond})
	h.advance(5 * time.Second)
	assert.Equal(t, len(h.workersOf("gang")), 9)
}

// TestPartsArePlacedOnTheirDataRack checks that parts run on the rack of their data if it can hold them.
func TestPartsArePlacedOnTheirDataRack(t *testing.T) {
	h := newHarness(t, 16)
	h.addJob("near", 1, work.Step{Parts: 2, Need: largePart, Gang: true, DataRack: "r1", Estimate: time.Millisecond})
	for _, w := range h.workersOf("near") {
		assert.Equal(t, h.engine.nodesByID[w].Rack, ident.Rack("r1"))
	}
}

// TestMaxPerWorkerLimitsPartsPerWorker checks that at most MaxPerWorker parts of an occurrence share a worker.
func TestMaxPerWorkerLimitsPartsPerWorker(t *testing.T) {
	h := newHarness(t, 4)
	h.addJob("spread", 1, work.Step{Parts: 6, Need: smallPart, MaxPerWorker: 2, Estimate: time.Millisecond})
	h.advance(5 * time.Second)
	counts := map[ident.Worker]int{}
	for _, w := range h.workersOf("spread") {
		counts[w]++
		assert.Assert(t, counts[w] <= 2)
	}
}

// TestStepsRunInOrder checks that a step starts only after the steps that it depends on.
func TestStepsRunInOrder(t *testing.T) {
	h := newHarness(t, 4)
	h.engine.AddJob(&work.Job{
		ID: "j", Account: "a", Terms: work.QueueSettings{Service: "s", Priority: 1, Failures: 3, Stretch: 3, Target: time.Second},
		Steps: []work.Step{
			{Parts: 2, Need: smallPart, Estimate: time.Second},
			{Parts: 1, Need: smallPart, Estimate: time.Second, After: []int{0}},
		},
	}, nil, h.now, h.now.UnixMilli())
	h.decide()
	assert.Equal(t, len(h.starts), 2)
	h.endJob("j", Done)
	assert.Equal(t, len(h.starts), 3)
	assert.Equal(t, h.starts[2].Attempt.Part.Step, 1)
}

// TestOccurrencesStartWhenDue checks that each occurrence starts at its due time.
func TestOccurrencesStartWhenDue(t *testing.T) {
	h := newHarness(t, 4)
	h.engine.AddJob(&work.Job{
		ID: "j", Account: "a", Terms: work.QueueSettings{Service: "s", Priority: 1, Failures: 3, Stretch: 3, Target: time.Second},
		Steps:  []work.Step{{Parts: 1, Need: smallPart, Estimate: time.Second}},
		Repeat: work.Repeat{Count: 2, StartMs: h.now.Add(time.Second).UnixMilli(), Interval: 2 * time.Second},
	}, nil, h.now, h.now.UnixMilli())
	h.decide()
	assert.Equal(t, len(h.starts), 0)
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 1)
	h.advance(2 * time.Second)
	assert.Equal(t, len(h.starts), 2)
	assert.Equal(t, h.starts[1].Attempt.Part.Occurrence, 1)
}

// TestGuaranteedJobReclaimsFromLastingWork guards against guaranteed jobs that wait for ever behind work that lasts and is outside
// its account's guarantee. Work whose step limits how many of its parts may be missing is left alone.
func TestGuaranteedJobReclaimsFromLastingWork(t *testing.T) {
	tests := []struct {
		name     string
		priority work.Priority
		mayMiss  int
		reclaims bool
	}{
		{"guaranteed job", work.Guaranteed, 0, true},
		{"guaranteed job, parts that may not be missing", work.Guaranteed, 1, false},
		{"job of a higher priority without a guarantee", 1, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 4)
			h.submit("other", "lasting", 2, work.Step{Parts: 4, Need: largePart, Lasting: true, MayMiss: test.mayMiss})
			h.advance(20 * time.Second)
			assert.Equal(t, len(h.workersOf("lasting")), 4)
			h.advance(time.Minute)
			h.addJob("job", test.priority, work.Step{Parts: 2, Need: largePart, Estimate: time.Second})
			h.confirmStops()
			h.advance(time.Second)
			want := 0
			if test.reclaims {
				want = 2
			}
			assert.Equal(t, len(h.workersOf("job")), want)
			if !test.reclaims {
				return
			}
			assert.Equal(t, len(h.workersOf("lasting")), 2)
			h.endJob("job", Done)
			h.advance(time.Second)
			assert.Equal(t, len(h.workersOf("lasting")), 4)
		})
	}
}
