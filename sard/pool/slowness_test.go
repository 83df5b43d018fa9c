package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fcast"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// newRunTimesHarness returns a harness with forecasts of run times switched on.
func newRunTimesHarness(t *testing.T, workers int) *harness {
	h := newHarness(t, workers)
	h.engine.config.RunTimes, h.engine.runTimes = true, fcast.New()
	return h
}

// progressOn reports the progress of a job's attempts, each at the rate that perSecond returns for its worker.
func (h *harness) progressOn(d time.Duration, perSecond func(ident.Job, ident.Worker) float64) {
	h.t.Helper()
	const step = 500 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < d; elapsed += step {
		h.engine.ForEachAttempt(func(a work.Attempt, on work.WorkerProcess) {
			p := h.engine.currentPart(a)
			ran := h.now.Sub(p.group.startedAt).Seconds()
			h.engine.AttemptRunning(a, min(99, int(ran*perSecond(a.Part.Job, on.Worker))), "", h.now)
		})
		h.advance(step)
	}
}

// TestWrongEstimatesMoveNothing checks that work is not moved however wrong its estimate is, alone or beside other work.
func TestWrongEstimatesMoveNothing(t *testing.T) {
	for _, estimate := range []time.Duration{time.Second, 9 * time.Second, 11 * time.Second, 19 * time.Second, 100 * time.Second} {
		t.Run(estimate.String(), func(t *testing.T) {
			h := newRunTimesHarness(t, 4)
			for i := range 8 {
				h.addJob(ident.Job(fmt.Sprintf("job%d", i)), 1, work.Step{Parts: 2, Need: smallPart, Estimate: estimate})
			}
			h.progressOn(9*time.Second, func(ident.Job, ident.Worker) float64 { return 10 })
			assert.Equal(t, len(h.stops), 0)
		})
	}
}

// TestLongWorkIsNotMoved checks that work that takes seven times as long as the rest of its queue, at a steady rate, stays
// where it is, also with a percent that takes longer than the stall timeout for its estimate.
func TestLongWorkIsNotMoved(t *testing.T) {
	h := newRunTimesHarness(t, 2)
	for i := range 4 {
		h.addJob(ident.Job(fmt.Sprintf("job%d", i)), 1, work.Step{Parts: 1, Need: smallPart, Estimate: 10 * time.Second})
	}
	h.addJob("long", 1, work.Step{Parts: 1, Need: smallPart, Estimate: 10 * time.Second})
	h.progressOn(9*time.Second, func(id ident.Job, _ ident.Worker) float64 {
		if id == "long" {
			return 10.0 / 7
		}
		return 10
	})
	assert.Equal(t, len(h.stops), 0)
}

// TestDelayedReportsAreNoSlowdown checks that an attempt is not moved when a burst of progress, between a report that came
// late and one in time, is followed by its usual rate.
func TestDelayedReportsAreNoSlowdown(t *testing.T) {
	h := newRunTimesHarness(t, 2)
	h.addJob("job", 1, work.Step{Parts: 1, Need: largePart, Estimate: time.Second})
	percents := []int{0, 2, 4, 14, 16, 18, 20, 22, 24, 26, 28, 30, 32, 34, 36, 38, 40, 42, 44, 46}
	for _, percent := range percents {
		h.reportProgress("job", percent)
		h.advance(minRateWindow)
	}
	assert.Equal(t, len(h.stops), 0)
}

// TestSlowWorkerIsFoundBySlowedWork checks that an attempt that slows down is moved, and so is one that started on the slow
// worker since, with the evidence as the reason.
func TestSlowWorkerIsFoundBySlowedWork(t *testing.T) {
	h := newRunTimesHarness(t, 2)
	h.addJob("old", 1, work.Step{Parts: 1, Need: smallPart, Estimate: 20 * time.Second})
	slow := h.workersOf("old")[0]
	h.progressOn(3*time.Second, func(ident.Job, ident.Worker) float64 { return 5 })
	h.addJob("new", 1, work.Step{Parts: 1, Need: smallPart, Estimate: 20 * time.Second})
	n, p := h.engine.nodesByID[slow], h.engine.jobs["new"].findPart(work.Part{Job: "new"})
	p.node.detach(p)
	n.attach(p)
	for i := range 60 {
		h.reportProgress("old", 15+i/4)
		h.reportProgress("new", i/4)
		h.advance(500 * time.Millisecond)
	}
	reasons := map[ident.Job]StopReason{}
	for _, s := range h.stops {
		reasons[s.Attempt.Part.Job] = s.Reason
	}
	assert.DeepEqual(t, reasons, map[ident.Job]StopReason{"old": ReasonSlowedDown, "new": ReasonSlowWorker})
	h.confirmStops()
	h.advance(retryDelay)
	assert.Assert(t, !slices.Contains(h.workersOf("old"), slow))
}

// TestSlowWorkerIsFoundBySiblings checks that parts that have always been slow on one worker are moved off it, as the other
// parts of their step are much faster elsewhere.
func TestSlowWorkerIsFoundBySiblings(t *testing.T) {
	h := newRunTimesHarness(t, 4)
	h.addJob("wide", 1, work.Step{Parts: 16, Need: smallPart, Estimate: time.Minute, MaxPerWorker: 4})
	h.progressOn(14*time.Second, func(_ ident.Job, on ident.Worker) float64 {
		if on == workerID(0) {
			return 1
		}
		return 8
	})
	assert.Equal(t, len(h.stops), 4)
	for _, s := range h.stops {
		assert.Equal(t, s.Worker.Worker, workerID(0))
		assert.Equal(t, s.Reason, ReasonSlowWorker)
	}
}

// TestSinglePartBehindItsStepIsNotMoved checks that a part that is much slower than the others of its step is not moved if
// that is all that is known of its worker.
func TestSinglePartBehindItsStepIsNotMoved(t *testing.T) {
	h := newRunTimesHarness(t, 8)
	h.addJob("wide", 1, work.Step{Parts: 8, Need: largePart, Estimate: time.Minute})
	h.progressOn(8*time.Second, func(_ ident.Job, on ident.Worker) float64 {
		if on == workerID(0) {
			return 2
		}
		return 12
	})
	assert.Equal(t, len(h.stops), 0)
}

// TestStallOfAttemptIsMoved checks that an attempt that makes no progress at all is moved, with a wrong estimate too.
func TestStallOfAttemptIsMoved(t *testing.T) {
	for _, estimate := range []time.Duration{time.Second, 100 * time.Second} {
		t.Run(estimate.String(), func(t *testing.T) {
			h := newRunTimesHarness(t, 4)
			h.addJob("job", 1, work.Step{Parts: 1, Need: largePart, Estimate: estimate})
			h.reportSteadily("job", 0, 10, 4*time.Second)
			h.reportSteadily("job", 40, 0, 4*time.Second)
			assert.Equal(t, h.stopsByJob()["job"], 1)
			assert.Equal(t, h.stops[0].Reason, ReasonStalled)
		})
	}
}

// TestGangIsAsFarAsItsSlowestPart checks that a gang is neither stalled nor slow when some of its parts have done their work
// and wait for the others, and that it stalls when the slowest part does.
func TestGangIsAsFarAsItsSlowestPart(t *testing.T) {
	h := newRunTimesHarness(t, 2)
	h.addJob("gang", 1, work.Step{Parts: 4, Need: smallPart, Gang: true, Estimate: 5 * time.Second})
	report := func(slowest int) {
		h.engine.ForEachAttempt(func(a work.Attempt, _ work.WorkerProcess) {
			percent := 100
			if a.Part.Index == 0 {
				percent = slowest
			}
			if a.Part.Index != 0 || slowest >= 0 {
				h.engine.AttemptRunning(a, percent, "", h.now)
			}
		})
		h.advance(500 * time.Millisecond)
	}
	for i := range 16 {
		report(i * 4)
	}
	assert.Equal(t, h.engine.jobs["gang"].occurrences[0].steps[0].groups[0].progress.percent, 60)
	for range 10 {
		report(-1) // The worker of the slowest part does not answer.
	}
	assert.Equal(t, len(h.stops), 0)
	for range 10 {
		report(64)
	}
	assert.Equal(t, len(h.stops), 4)
	assert.Equal(t, h.stops[0].Reason, ReasonStalled)
}
