package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// TestGangKeepsRackWhileAnotherLooksBetter lets a guaranteed gang claim two workers of a rack whose stops end one after the
// other. Meanwhile, another rack could hold it too once a stop there has completed, which it never does. Less urgent jobs
// must not get the claimed workers.
func TestGangKeepsRackWhileAnotherLooksBetter(t *testing.T) {
	h := newHarness(t, 16)
	for i := range 16 {
		h.addJob(ident.Job(fmt.Sprintf("low%02d", i)), 1, work.Step{Parts: 1, Need: largePart, Estimate: time.Millisecond})
	}
	h.advance(20 * time.Second)
	for i := range 4 {
		h.addJob(ident.Job(fmt.Sprintf("wait%d", i)), 1, work.Step{Parts: 1, Need: largePart, Estimate: time.Millisecond})
	}
	h.addJob("quote", work.Guaranteed, work.Step{Parts: 2, Need: largePart, Gang: true, SameRack: true})
	assert.Equal(t, len(h.stops), 2)
	claimed := append([]Stop(nil), h.stops...)
	rack := h.engine.nodesByID[claimed[0].Worker.Worker].Rack

	// Another worker of the claimed rack is emptied too, and on the other rack one job ends and one is being stopped.
	here, there := h.lowJobs(rack)
	h.engine.CancelJob(here[0])
	h.engine.CancelJob(there[0])
	h.endJob(there[1], Done)

	for _, stop := range claimed {
		h.engine.AttemptEnded(stop.Attempt, Stopped, "", h.now)
		h.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(h.workersOf("quote")), 2)
	assert.Equal(t, h.engine.nodesByID[h.workersOf("quote")[0]].Rack, rack)
}

// lowJobs returns the running jobs that are not being stopped, on the given rack and on the others.
func (h *harness) lowJobs(rack ident.Rack) (here, there []ident.Job) {
	h.engine.ForEachAttempt(func(a work.Attempt, process work.WorkerProcess) {
		switch {
		case h.engine.currentPart(a).stopping:
		case h.engine.nodesByID[process.Worker].Rack == rack:
			here = append(here, a.Part.Job)
		default:
			there = append(there, a.Part.Job)
		}
	})
	return here, there
}

// TestShorterGuaranteedJobTakesNoReservedWorker lets a guaranteed gang claim two workers of a rack. When the first one is
// free, a guaranteed job of another account arrives that has less time left. It must claim a worker of its own, because the
// gang would otherwise have to claim another rack.
func TestShorterGuaranteedJobTakesNoReservedWorker(t *testing.T) {
	h := newHarness(t, 16)
	for i := range 16 {
		h.addJob(ident.Job(fmt.Sprintf("low%02d", i)), 1, work.Step{Parts: 1, Need: largePart, Estimate: time.Millisecond})
	}
	h.advance(20 * time.Second)
	h.addJob("quote", work.Guaranteed, work.Step{Parts: 2, Need: largePart, Gang: true, SameRack: true})
	assert.Equal(t, len(h.stops), 2)
	claimed := append([]Stop(nil), h.stops...)

	h.engine.AttemptEnded(claimed[0].Attempt, Stopped, "", h.now)
	h.submit("b", "short", work.Guaranteed, work.Step{Parts: 1, Need: largePart, Gang: true, Estimate: time.Second})
	h.decide()
	assert.Equal(t, len(h.workersOf("short")), 0)
	assert.Equal(t, len(h.stops), 3)

	h.engine.AttemptEnded(claimed[1].Attempt, Stopped, "", h.now)
	h.decide()
	assert.Equal(t, len(h.workersOf("quote")), 2)
	h.engine.AttemptEnded(h.stops[2].Attempt, Stopped, "", h.now)
	h.decide()
	assert.Equal(t, len(h.workersOf("short")), 1)
}

// TestReservationGivesWayIfThereIsNoOtherWorker lets a guaranteed gang wait for a worker that is reserved for it, next to a
// free one. A guaranteed job with less time left that can claim nothing else gets the free worker.
func TestReservationGivesWayIfThereIsNoOtherWorker(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob("low", 1, work.Step{Parts: 1, Need: largePart, Estimate: time.Millisecond})
	h.advance(20 * time.Second)
	h.addJob("quote", work.Guaranteed, work.Step{Parts: 2, Need: largePart, Gang: true})
	assert.Equal(t, len(h.stops), 1)
	h.submit("b", "short", work.Guaranteed, work.Step{Parts: 1, Need: largePart, Gang: true, Estimate: time.Second})
	h.decide()
	assert.Equal(t, len(h.workersOf("short")), 1)
}

// TestReservationEndsWithItsWorker checks that a gang looks for other workers when one that is reserved for it leaves.
func TestReservationEndsWithItsWorker(t *testing.T) {
	h := newHarness(t, 4)
	for i := range 4 {
		h.addJob(ident.Job(fmt.Sprintf("low%02d", i)), 1, work.Step{Parts: 1, Need: largePart, Estimate: time.Millisecond})
	}
	h.advance(20 * time.Second)
	h.addJob("quote", work.Guaranteed, work.Step{Parts: 2, Need: largePart, Gang: true})
	assert.Equal(t, len(h.stops), 2)
	h.engine.DropWorker(h.stops[0].Worker.Worker)
	h.decide()
	assert.Equal(t, len(h.stops), 3)
	h.confirmStops()
	assert.Equal(t, len(h.workersOf("quote")), 2)
}

// TestGangOfOneRackStartsWhereThereIsRoom lets guaranteed jobs of other accounts take all but one worker of each rack. A gang
// within its guarantee that is faster on one rack then has no rack to wait for, and must start on the workers that are free.
func TestGangOfOneRackStartsWhereThereIsRoom(t *testing.T) {
	h := newHarness(t, 16)
	for i := range 14 {
		h.submit(ident.Account(fmt.Sprintf("b%d", i/2)), ident.Job(fmt.Sprintf("other%02d", i)), work.Guaranteed, work.Step{
			Parts: 1, Need: largePart, Gang: true, DataRack: ident.Rack(fmt.Sprintf("r%d", i%2)), Estimate: time.Minute,
		})
	}
	h.decide()
	assert.Equal(t, len(h.starts), 14)
	h.addJob("quote", work.Guaranteed, work.Step{Parts: 2, Need: largePart, Gang: true, SameRack: true})
	h.advance(2 * time.Second)
	assert.Equal(t, len(h.workersOf("quote")), 2)
}

// TestSuspectTakesNoReservedWorker guards against guaranteed gangs that wait for longer than for the stops they have claimed,
// because a suspect of another account has one of their reserved workers for itself.
func TestSuspectTakesNoReservedWorker(t *testing.T) {
	h := newHarness(t, 3)
	h.submit("b", "suspect", 1, work.Step{Parts: 1, Need: smallPart})
	h.decide()
	h.crash("suspect")
	h.engine.DropWorker(h.starts[0].Worker.Worker)
	h.submit("b", "low", 2, work.Step{Parts: 1, Need: largePart, Estimate: time.Millisecond})
	h.decide()
	h.addJob("quote", work.Guaranteed, work.Step{Parts: 2, Need: work.Resources{CPU: 50000, Memory: 100000, Accelerators: 4}, Gang: true, MaxPerWorker: 1})
	assert.Equal(t, len(h.stops), 1)
	for range 20 {
		h.advance(100 * time.Millisecond)
	}
	h.confirmStops()
	assert.Equal(t, len(h.workersOf("quote")), 2)
}

// TestReservedCapacityOfGuaranteedGangIsKept guards against guaranteed gangs that have others stopped again, because groups which
// have been held back for long take the capacity that was freed for them.
func TestReservedCapacityOfGuaranteedGangIsKept(t *testing.T) {
	h := newHarness(t, 8)
	for _, n := range h.engine.nodes[:2] {
		n.Labels = []string{"kind"}
	}
	h.addJob("borrows", 2, work.Step{Parts: 2, Need: largePart, Label: "kind"})
	assert.Equal(t, len(h.workersOf("borrows")), 2)
	h.addJob("gang", work.Guaranteed, work.Step{Parts: 2, Need: largePart, Gang: true, Label: "kind"})
	assert.Equal(t, len(h.stops), 2)
	h.engine.AttemptEnded(h.stops[0].Attempt, Stopped, "", h.now)
	h.addJob("waits", 2, work.Step{Parts: 1, Need: smallPart, Label: "kind"})
	for range 25 {
		h.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(h.workersOf("waits")), 0)
	h.engine.AttemptEnded(h.stops[1].Attempt, Stopped, "", h.now)
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.workersOf("gang")), 2)
	assert.Equal(t, len(h.stops), 2)
}
