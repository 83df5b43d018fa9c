package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// useAccelerators lets jobs use 5 of 8 workers' accelerators, and guaranteed ones have used those of the others, so that they
// are kept free.
func (h *harness) useAccelerators(cpu work.MilliCores) {
	h.t.Helper()
	h.addJob("peak", work.Guaranteed, work.Step{Parts: 3, Need: largePart, Gang: true})
	h.advance(100 * time.Millisecond)
	h.endJob("peak", Done)
	h.addJob("runs", 1, work.Step{Parts: 10, Need: work.Resources{CPU: cpu, Accelerators: 4}, Gang: true})
}

// useRacks lets a part run on each of 3 racks.
func (h *harness) useRacks() {
	h.t.Helper()
	h.addJob("on r0", 1, work.Step{Parts: 1, Need: smallPart, DataRack: "r0"})
	h.addJob("on r1", 1, work.Step{Parts: 1, Need: smallPart, DataRack: "r1"})
	h.addJob("on r2", 1, work.Step{Parts: 1, Need: smallPart, DataRack: "r2"})
}

// TestHoldsEndInPoolWithRoom guards against parts that can run, and are held back for 3 s and more with most of the workers' room
// free: by headroom, for the sake of a rack or by quarantines.
func TestHoldsEndInPoolWithRoom(t *testing.T) {
	tests := []struct {
		name    string
		workers int
		setup   func(*harness)
		step    work.Step
		// ends is set if the hold ends.
		ends bool
	}{
		{"headroom", 8, func(h *harness) { h.useAccelerators(1000) }, work.Step{Parts: 1, Need: largePart}, true},
		{"headroom in a fuller pool", 8, func(h *harness) { h.useAccelerators(60000) }, work.Step{Parts: 1, Need: largePart}, false},
		{"headroom in a fuller pool, lasting", 8, func(h *harness) { h.useAccelerators(60000) }, work.Step{Parts: 1, Need: largePart, Lasting: true}, true},
		{"rack of a gang", 24, (*harness).useRacks, work.Step{Parts: 8, Need: largePart, Gang: true, SameRack: true}, true},
		{"rack of the data", 24, (*harness).useRacks, work.Step{Parts: 8, Need: largePart, Gang: true, DataRack: "r1"}, true},
		{"quarantine", 4, func(h *harness) { h.quarantine(0, 1, 2, 3) }, work.Step{Parts: 2, Need: largePart, Gang: true}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.workers)
			test.setup(h)
			h.addJob("waits", 2, test.step)
			assert.Equal(t, len(h.workersOf("waits")), 0)
			for range 30 {
				h.advance(100 * time.Millisecond)
			}
			assert.Equal(t, len(h.workersOf("waits")) == test.step.Parts, test.ends)
		})
	}
}

// TestLeastFailedWorkersFirst guards against groups that run into a long quarantine while others are about to end.
func TestLeastFailedWorkersFirst(t *testing.T) {
	h := newHarness(t, 4)
	h.quarantine(0, 1, 2)
	h.engine.SuspendWorker(workerID(3), h.now, 2*maxHold)
	h.addJob("waits", 2, work.Step{Parts: 1, Need: largePart})
	h.advance(maxHold)
	assert.Equal(t, h.workersOf("waits")[0], workerID(3))
}

// TestSuspectsUseSuspendedWorkersThatAnswer guards against suspects that wait without end, or for as long as refusals go on, for
// suspended workers that can be reached, and against ones whose crash goes unnoticed on a worker that can't.
func TestSuspectsUseSuspendedWorkersThatAnswer(t *testing.T) {
	tests := []struct {
		name    string
		suspend func(*Engine, ident.Worker, time.Time, time.Duration)
		waits   bool
	}{
		{"refused", (*Engine).SuspendWorker, false},
		{"out of reach", (*Engine).SuspendUnreached, true},
		{"out of reach, then refused", func(e *Engine, id ident.Worker, now time.Time, pause time.Duration) {
			e.SuspendUnreached(id, now, pause)
			e.SuspendWorker(id, now, 2*pause)
		}, true},
		{"refused, then out of reach", func(e *Engine, id ident.Worker, now time.Time, pause time.Duration) {
			e.SuspendWorker(id, now, 2*pause)
			e.SuspendUnreached(id, now, pause)
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 4)
			h.addJob("suspect", 2, work.Step{Parts: 1, Need: smallPart})
			h.crash("suspect")
			for i := range 4 {
				test.suspend(h.engine, workerID(i), h.now, maxQuarantine)
			}
			for range 30 {
				h.advance(100 * time.Millisecond)
			}
			assert.Equal(t, len(h.workersOf("suspect")) == 0, test.waits)
		})
	}
}

// TestRefusedGroupIsTriedElsewhereSoon guards against groups that wait anew for as long as before, each time that a worker refuses
// them which was quarantined with cause.
func TestRefusedGroupIsTriedElsewhereSoon(t *testing.T) {
	h := newHarness(t, 4)
	h.quarantine(0, 1, 2, 3)
	h.addJob("waits", 2, work.Step{Parts: 1, Need: largePart})
	h.advance(maxHold)
	assert.Equal(t, len(h.starts), 1)
	h.quarantine(0)
	h.endJob("waits", Refused)
	h.advance(retryDelay)
	assert.Equal(t, len(h.starts), 1)
	h.advance(refusedPause)
	assert.Equal(t, len(h.starts), 2)
	assert.Assert(t, h.starts[1].Worker != h.starts[0].Worker)
}

// TestRefusingWorkersAreTriedLast guards against groups that are refused by one worker again and again, as its suspension ends
// soonest, while others would run them.
func TestRefusingWorkersAreTriedLast(t *testing.T) {
	h := newHarness(t, 4)
	for i := range 4 {
		h.engine.SuspendWorker(workerID(i), h.now, maxQuarantine)
	}
	h.addJob("waits", 2, work.Step{Parts: 1, Need: largePart})
	h.advance(maxHold)
	tried := map[ident.Worker]bool{}
	for range 4 {
		w := h.starts[len(h.starts)-1].Worker.Worker
		assert.Assert(t, !tried[w], "%s is tried again", w)
		tried[w] = true
		h.engine.nodesByID[w].health.quarantinedUntil = h.now.Add(initialQuarantine)
		h.endJob("waits", Refused)
		h.advance(refusedPause)
	}
}

// TestSuspectIsNotStarved guards against suspects that wait without end for quarantined workers on which nothing is on probation,
// while others are started there again and again.
func TestSuspectIsNotStarved(t *testing.T) {
	h := newHarness(t, 4)
	h.addJob("suspect", 2, work.Step{Parts: 1, Need: smallPart})
	h.crash("suspect")
	for _, n := range h.engine.nodes {
		n.health.quarantinedUntil = h.now.Add(maxQuarantine)
	}
	for i := range 30 {
		h.advance(100 * time.Millisecond)
		if i >= 25 || len(h.workersOf("suspect")) > 0 {
			continue
		}
		for _, n := range h.engine.nodes {
			if h.engine.isolatedNodes(h.now)[n] == nil {
				n.lastStart = h.now
			}
		}
	}
	assert.Equal(t, len(h.workersOf("suspect")), 1)
}

// quarantineAll quarantines all workers for good.
func (h *harness) quarantineAll() {
	for _, n := range h.engine.nodes {
		n.health.quarantinedUntil = h.now.Add(time.Hour)
	}
}

// placedBy returns the number of attempts that are placed after the given time in rounds of 100 ms.
func (h *harness) placedBy(d time.Duration) int {
	h.t.Helper()
	for end := h.now.Add(d); h.now.Before(end); {
		h.advance(100 * time.Millisecond)
	}
	return len(h.starts)
}

// TestHoldsOfManyGroupsEnd guards against a limit on the work of a round by which groups of which no two are equal are held back
// for 3 s and more in a pool with room.
func TestHoldsOfManyGroupsEnd(t *testing.T) {
	const jobs = 1000
	h := newHarness(t, jobs/5)
	h.quarantineAll()
	for i := range jobs {
		step := work.Step{Parts: 1, Need: work.Resources{CPU: work.MilliCores(10_000 + i), Memory: 1000}}
		h.submit("a", ident.Job(fmt.Sprintf("j%04d", i)), 2, step)
	}
	assert.Equal(t, h.placedBy(maxHold-100*time.Millisecond), 0)
	assert.Equal(t, h.placedBy(maxHeldBack-maxHold-100*time.Millisecond), jobs)
}

// TestHoldsEndByTurns guards against a group that is held back for good, because more urgent ones, which fit nowhere, use up the
// work that a round does for such groups.
func TestHoldsEndByTurns(t *testing.T) {
	h := newHarness(t, 16)
	for _, n := range h.engine.nodes[:8] {
		n.Labels = []string{"kind"}
	}
	h.addJob("serves", 1, work.Step{Parts: 8, Need: smallPart, Label: "kind", Latency: time.Second, Lasting: true, MaxPerWorker: 1})
	h.quarantineAll()
	for i := range 2 * maxHoldSearches {
		step := work.Step{Parts: 1, Need: work.Resources{Memory: work.MiB(1000 + i)}, Label: "kind", Fills: true, Estimate: time.Second}
		h.submit("a", ident.Job(fmt.Sprintf("fills%04d", i)), 1, step)
	}
	h.submit("a", "waits", 2, work.Step{Parts: 1, Need: largePart, Estimate: time.Minute})
	h.placedBy(maxHeldBack - 100*time.Millisecond)
	assert.Equal(t, len(h.workersOf("waits")), 1)
}

// TestNewHolderGoesOnWithWaits guards against jobs that are held back anew by each new lease holder, for as long as by the one before.
func TestNewHolderGoesOnWithWaits(t *testing.T) {
	h := newHarness(t, 4)
	h.addJob("ran", 2, work.Step{Parts: 1, Need: largePart})
	h.endJob("ran", Failed)
	ran := h.engine.jobs["ran"]
	recorded := ran.progressRecord()
	fresh := *ran.Job
	fresh.ID = "fresh"
	next := newHarness(t, 4)
	next.now = h.now.Add(3 * time.Second)
	next.quarantine(0, 1, 2, 3)
	next.engine.AddJob(ran.Job, &recorded, next.now, next.now.UnixMilli())
	next.engine.AddJob(&fresh, nil, next.now, next.now.UnixMilli())
	for range 7 {
		next.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(next.workersOf("ran")), 1)
	assert.Equal(t, len(next.workersOf("fresh")), 1)
}
