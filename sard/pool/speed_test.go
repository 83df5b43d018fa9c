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

// show has the workers show their speed by a step of many parts, which take so many times as long on each worker.
func (r *rig) show(times []float64) {
	r.t.Helper()
	const length = 10 * time.Second
	for round := range 3 {
		id := ident.Job(fmt.Sprintf("show%d", round))
		r.add(id, work.Guaranteed, work.Step{Parts: 8 * len(times), Need: small, Estimate: length})
		began := r.now
		for _, w := range sortedBy(times) {
			r.now = began.Add(time.Duration(times[w] * float64(length)))
			r.endOn(id, workerID(w))
		}
		r.decide()
	}
}

// sortedBy returns the indexes of values, the smallest value first.
func sortedBy(values []float64) []int {
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

// endOn ends the parts of a job on one worker well.
func (r *rig) endOn(id ident.Job, worker ident.Worker) {
	var ended []work.Attempt
	r.engine.ForEachAttempt(func(a work.Attempt, life work.WorkerProcess) {
		if a.Part.Job == id && life.Worker == worker {
			ended = append(ended, a)
		}
	})
	for _, a := range ended {
		r.engine.AttemptEnded(a, Done, "", r.now)
	}
}

// TestGangsGoToEquallyFastWorkers: a gang works at the pace of its slowest worker, so it is given the fast ones.
func TestGangsGoToEquallyFastWorkers(t *testing.T) {
	r := newRig(t, 4)
	r.show([]float64{1.25, 0.8, 1, 0.8})
	assert.Equal(t, r.engine.byID[workerID(0)].class(), sluggish)
	assert.Equal(t, r.engine.byID[workerID(1)].class(), swift)
	assert.Equal(t, r.engine.byID[workerID(2)].class(), usual)
	r.add("quote", work.Guaranteed, work.Step{Parts: 2, Need: large, Gang: true})
	assert.DeepEqual(t, r.on("quote"), []ident.Worker{workerID(1), workerID(3)})
	r.add("second", work.Guaranteed, work.Step{Parts: 2, Need: large, Gang: true})
	// Slow workers are better than none.
	assert.DeepEqual(t, r.on("second"), []ident.Worker{workerID(0), workerID(2)})
}

// TestFastWorkersDoNotSpreadAGang: a gang that is slow on several racks stays on one, however fast workers elsewhere are.
func TestFastWorkersDoNotSpreadAGang(t *testing.T) {
	r := newRig(t, 16)
	times := make([]float64, 16)
	for i := range times {
		times[i] = 1
	}
	times[0], times[8] = 0.7, 0.7
	r.show(times)
	r.add("quote", work.Guaranteed, work.Step{Parts: 2, Need: large, Gang: true, SameRack: true})
	assert.Equal(t, r.racks("quote"), 1)
}

// TestEstimateErrorsAreNoSpeed: a job that takes twice its estimate on all workers tells nothing of them.
func TestEstimateErrorsAreNoSpeed(t *testing.T) {
	r := newRig(t, 4)
	r.show([]float64{2, 2, 2, 2})
	for _, n := range r.engine.nodes {
		assert.Equal(t, n.class(), usual)
	}
}
