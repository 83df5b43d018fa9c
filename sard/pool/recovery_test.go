package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// reportSteadily reports progress at a constant rate for the given time.
func (h *harness) reportSteadily(id ident.Job, from, perSecond int, d time.Duration) {
	h.t.Helper()
	const step = 500 * time.Millisecond
	for elapsed := time.Duration(0); elapsed <= d; elapsed += step {
		h.reportProgress(id, from+int(elapsed*time.Duration(perSecond)/time.Second))
		h.advance(step)
	}
}

// TestUnderestimatedJobIsNotMoved checks that a job that takes five times its estimate on a healthy worker is not
// moved.
func TestUnderestimatedJobIsNotMoved(t *testing.T) {
	h := newHarness(t, 4)
	h.addJob("long", 1, work.Step{Parts: 1, Need: largePart, Estimate: 2 * time.Second})
	h.reportSteadily("long", 0, 10, 6*time.Second)
	assert.Equal(t, len(h.stops), 0)
}

// TestSlowedJobIsMovedOnce checks that a job that becomes much slower is moved once and not placed on the same worker
// again.
func TestSlowedJobIsMovedOnce(t *testing.T) {
	h := newHarness(t, 4)
	h.addJob("job", 1, work.Step{Parts: 1, Need: largePart, Estimate: 10 * time.Second})
	slow := h.workersOf("job")[0]
	h.reportSteadily("job", 0, 10, 2*time.Second)
	h.reportSteadily("job", 22, 1, 14*time.Second)
	assert.DeepEqual(t, h.stopsByJob(), map[ident.Job]int{"job": 1})
	h.advance(400 * time.Millisecond)
	h.confirmStops()
	h.advance(retryDelay)
	assert.Assert(t, !slices.Contains(h.workersOf("job"), slow))
}

// TestTemporarySlowdownDoesNotMoveJob checks that a job stays where it is if it would end sooner than after a restart
// elsewhere, assuming that the slowdown lasts as long again as it has lasted.
func TestTemporarySlowdownDoesNotMoveJob(t *testing.T) {
	h := newHarness(t, 4)
	h.addJob("job", 1, work.Step{Parts: 1, Need: largePart, Estimate: 10 * time.Second})
	h.reportSteadily("job", 0, 10, 4*time.Second)
	h.reportSteadily("job", 42, 1, 5*time.Second)
	assert.Equal(t, len(h.stops), 0)
	h.reportSteadily("job", 48, 10, 5*time.Second)
	h.endJob("job", Done)
	assert.Equal(t, len(h.starts), 1)
}

// TestStalledAttemptIsMoved checks that an attempt without progress is moved and that its worker is suspended for a
// while.
func TestStalledAttemptIsMoved(t *testing.T) {
	h := newHarness(t, 4)
	h.addJob("job", 1, work.Step{Parts: 1, Need: largePart, Estimate: 5 * time.Second})
	hung := h.workersOf("job")[0]
	h.reportSteadily("job", 0, 0, 3*time.Second)
	assert.Equal(t, h.stopsByJob()["job"], 1)
	h.confirmStops()
	h.advance(retryDelay)
	assert.Assert(t, !slices.Contains(h.workersOf("job"), hung))
	h.addJob("other", 1, work.Step{Parts: 1, Need: largePart, Estimate: time.Millisecond})
	assert.Assert(t, !slices.Contains(h.workersOf("other"), hung))
}

// TestMissingReportsAreNotAStall checks that a long time without reports, as when the scheduler process is paused, does
// not count as a stall.
func TestMissingReportsAreNotAStall(t *testing.T) {
	h := newHarness(t, 4)
	h.addJob("job", 1, work.Step{Parts: 1, Need: largePart})
	h.reportProgress("job", 10)
	h.advance(20 * time.Second)
	assert.Equal(t, len(h.stops), 0)
}

// TestFailingJobDoesNotQuarantineWorkers checks that a job that fails on every worker ends as failed and quarantines
// none of them.
func TestFailingJobDoesNotQuarantineWorkers(t *testing.T) {
	h := newHarness(t, 4)
	h.addJob("poison", 1, work.Step{Parts: 2, Need: largePart, Gang: true})
	for range 3 {
		h.endJob("poison", Failed)
		h.advance(retryDelay)
	}
	assert.Assert(t, !h.engine.HasOpenJob("poison"))
	for _, n := range h.engine.nodes {
		assert.Assert(t, n.health.healthy(h.now))
	}
}

// TestFailingWorkerIsQuarantined checks that a worker on which two jobs failed gets no parts for a while.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	h := newHarness(t, 2)
	for i := range 2 {
		id := ident.Job(fmt.Sprintf("job%d", i))
		h.addJob(id, 1, work.Step{Parts: 1, Need: smallPart, Estimate: time.Millisecond})
		a := h.starts[len(h.starts)-1]
		h.engine.AttemptEnded(a.Attempt, Failed, "", h.now)
		h.engine.nodesByID[a.Worker.Worker].health.recordFailure("other", h.now, h.now)
		h.decide()
		h.advance(retryDelay)
		assert.Assert(t, !slices.Contains(h.workersOf(id), a.Worker.Worker))
	}
}

// TestLeavingWorkerStopsLongAttempts checks that only attempts that would not end before their worker leaves are
// stopped.
func TestLeavingWorkerStopsLongAttempts(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob("long", 1, work.Step{Parts: 1, Need: smallPart, Estimate: 10 * time.Second, Checkpoints: true})
	h.addJob("short", 1, work.Step{Parts: 1, Need: smallPart, Estimate: time.Second})
	assert.DeepEqual(t, h.workersOf("long"), h.workersOf("short"))
	n := h.engine.nodesByID[h.workersOf("long")[0]]
	w := n.Worker
	w.Accepting, w.AvailableUntil = false, h.now.Add(2*time.Second)
	h.engine.SetWorker(w)
	h.decide()
	assert.DeepEqual(t, h.stopsByJob(), map[ident.Job]int{"long": 1})
}

// TestLostPartRestartsWholeGang checks that the loss of one part stops the rest of the gang and that all parts are
// restarted together.
func TestLostPartRestartsWholeGang(t *testing.T) {
	h := newHarness(t, 8)
	h.addJob("gang", 1, work.Step{Parts: 3, Need: largePart, Gang: true})
	h.engine.ProcessLost(h.engine.nodesByID[h.workersOf("gang")[0]].WorkerProcess, h.now)
	h.decide()
	assert.Equal(t, h.stopsByJob()["gang"], 2)
	assert.Equal(t, len(h.starts), 3)
	h.confirmStops()
	h.advance(retryDelay)
	assert.Equal(t, len(h.starts), 6)
	assert.Equal(t, h.starts[5].Attempt.Number, ident.Attempt(2))
}

// TestRestoreKeepsRunningAttempts checks that a new engine restores running attempts from the record and does not start
// them again.
func TestRestoreKeepsRunningAttempts(t *testing.T) {
	h := newHarness(t, 4)
	h.addJob("job", 1, work.Step{Parts: 3, Need: smallPart, Estimate: time.Millisecond})
	h.engine.AttemptEnded(h.starts[0].Attempt, Done, "", h.now)
	j := h.engine.jobs["job"]
	recorded := j.progressRecord()
	restored := newHarness(t, 4)
	restored.engine.AddJob(j.Job, &recorded, restored.now, restored.now.UnixMilli())
	restored.advance(time.Second)
	assert.Equal(t, len(restored.starts), 0)
	assert.DeepEqual(t, restored.workersOf("job"), h.workersOf("job"))
	restored.endJob("job", Done)
	assert.Assert(t, !restored.engine.HasOpenJob("job"))
}
