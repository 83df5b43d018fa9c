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

// runAtSpeeds runs jobs of many parts so that the engine learns the speed of each worker. On worker i, a part takes
// runTimes[i] times its estimate.
func (h *harness) runAtSpeeds(runTimes []float64) {
	h.t.Helper()
	const estimate = 10 * time.Second
	for round := range 3 {
		id := ident.Job(fmt.Sprintf("show%d", round))
		h.addJob(id, work.Guaranteed, work.Step{Parts: 8 * len(runTimes), Need: smallPart, Estimate: estimate})
		start := h.now
		for _, w := range sortedIndexes(runTimes) {
			h.now = start.Add(time.Duration(runTimes[w] * float64(estimate)))
			h.endJobOn(id, workerID(w))
		}
		h.decide()
	}
}

// sortedIndexes returns the indexes of values in ascending order of value.
func sortedIndexes(values []float64) []int {
	order := make([]int, len(values))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if values[a] < values[b] {
			return -1
		}
		return 1
	})
	return order
}

// endJobOn reports success for all parts of a job on one worker.
func (h *harness) endJobOn(id ident.Job, worker ident.Worker) {
	var ended []work.Attempt
	h.engine.ForEachAttempt(func(a work.Attempt, process work.WorkerProcess) {
		if a.Part.Job == id && process.Worker == worker {
			ended = append(ended, a)
		}
	})
	for _, a := range ended {
		h.engine.AttemptEnded(a, Done, "", h.now)
	}
}

// TestGangsPreferEquallyFastWorkers checks that a gang is placed on fast workers, as it runs at the speed of the
// slowest one.
func TestGangsPreferEquallyFastWorkers(t *testing.T) {
	h := newHarness(t, 4)
	h.runAtSpeeds([]float64{1.25, 0.8, 1, 0.8})
	assert.Equal(t, h.engine.nodesByID[workerID(0)].classifySpeed(), slowSpeed)
	assert.Equal(t, h.engine.nodesByID[workerID(1)].classifySpeed(), fastSpeed)
	assert.Equal(t, h.engine.nodesByID[workerID(2)].classifySpeed(), normalSpeed)
	h.addJob("quote", work.Guaranteed, work.Step{Parts: 2, Need: largePart, Gang: true})
	assert.DeepEqual(t, h.workersOf("quote"), []ident.Worker{workerID(1), workerID(3)})
	h.addJob("second", work.Guaranteed, work.Step{Parts: 2, Need: largePart, Gang: true})
	// Slow workers are used if no others are free.
	assert.DeepEqual(t, h.workersOf("second"), []ident.Worker{workerID(0), workerID(2)})
}

// TestFastWorkersDoNotSpreadAGang checks that a SameRack gang stays on one rack even if there are faster workers on
// several racks.
func TestFastWorkersDoNotSpreadAGang(t *testing.T) {
	h := newHarness(t, 16)
	times := make([]float64, 16)
	for i := range times {
		times[i] = 1
	}
	times[0], times[8] = 0.7, 0.7
	h.runAtSpeeds(times)
	h.addJob("quote", work.Guaranteed, work.Step{Parts: 2, Need: largePart, Gang: true, SameRack: true})
	assert.Equal(t, h.rackCount("quote"), 1)
}

// TestEstimateErrorsDoNotChangeWorkerSpeed checks that a job that takes twice its estimate on all workers does not
// affect their speed classes.
func TestEstimateErrorsDoNotChangeWorkerSpeed(t *testing.T) {
	h := newHarness(t, 4)
	h.runAtSpeeds([]float64{2, 2, 2, 2})
	for _, n := range h.engine.nodes {
		assert.Equal(t, n.classifySpeed(), normalSpeed)
	}
}
