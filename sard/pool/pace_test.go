package pool

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/speed"
	"github.com/sardineline/sardineline/sard/work"
)

// newSpeedHarness returns a harness whose engine places work by the learned speeds of its workers.
func newSpeedHarness(t *testing.T, workers int) *harness {
	h := newHarness(t, 0)
	h.engine = New(Config{QueueSettings: h.engine.config.QueueSettings, Guarantee: h.engine.config.Guarantee, WorkerSpeeds: true})
	for i := range workers {
		h.addWorker(i)
	}
	return h
}

// speedOf returns the learned speed of a worker relative to that of another.
func (h *harness) speedOf(worker, other int) float64 {
	return math.Exp(float64(h.engine.KnownSpeed(workerID(worker)).Speed - h.engine.KnownSpeed(workerID(other)).Speed))
}

// TestMuchFasterWorkersAreLearned checks that workers of twice the speed of the others are known as such from the ends of
// parts.
func TestMuchFasterWorkersAreLearned(t *testing.T) {
	h := newSpeedHarness(t, 8)
	h.runAtSpeeds([]float64{1, 1, 0.46, 1, 1, 1, 0.46, 1})
	assert.Assert(t, h.speedOf(2, 0) > 1.8 && h.speedOf(6, 1) > 1.8, "%.2f %.2f", h.speedOf(2, 0), h.speedOf(6, 1))
	assert.Equal(t, h.engine.KnownSpeed(workerID(2)).Group(), speed.Fast)
	assert.Equal(t, h.engine.KnownSpeed(workerID(3)).Group(), speed.Typical)
}

// TestSpeedIsLearnedFromProgress checks that the paces of running parts tell the speed of their workers before any part
// ends.
func TestSpeedIsLearnedFromProgress(t *testing.T) {
	h := newSpeedHarness(t, 6)
	h.addJob("wide", work.Guaranteed, work.Step{Parts: 48, Need: smallPart})
	for tick := range 8 {
		h.engine.ForEachAttempt(func(a work.Attempt, process work.WorkerProcess) {
			percent := 5 * tick
			if process.Worker == workerID(4) {
				percent /= 5
			}
			h.engine.AttemptRunning(a, percent, "", h.now)
		})
		h.advance(500 * time.Millisecond)
	}
	assert.Assert(t, h.speedOf(4, 0) < 0.5, "%.2f", h.speedOf(4, 0))
}

// TestSpreadGangTeachesNothing checks that a gang that is far from its data says nothing about its workers.
func TestSpreadGangTeachesNothing(t *testing.T) {
	h := newSpeedHarness(t, 4)
	h.addJob("far", work.Guaranteed, work.Step{Parts: 2, Need: largePart, Gang: true, DataRack: "elsewhere"})
	assert.Equal(t, len(h.workersOf("far")), 2)
	h.now = h.now.Add(30 * time.Second)
	h.endJob("far", Done)
	assert.Equal(t, h.engine.KnownSpeed(workerID(0)).Weight, 0.0)
}

// TestNextHolderKnowsSpeeds checks that an engine that restores a snapshot places a gang like the one that learned.
func TestNextHolderKnowsSpeeds(t *testing.T) {
	h := newSpeedHarness(t, 8)
	h.runAtSpeeds([]float64{1, 1, 0.46, 1, 1, 1, 0.46, 1})
	next := newSpeedHarness(t, 8)
	next.now = h.now
	next.engine.RestoreSpeeds(h.engine.SpeedSnapshot(h.now), next.now)
	next.addJob("quote", work.Guaranteed, work.Step{Parts: 2, Need: largePart, Gang: true})
	assert.DeepEqual(t, next.workersOf("quote"), []ident.Worker{workerID(2), workerID(6)})
}
