package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// resize changes the capacity of a worker to a number of eighths of workerCapacity.
func (h *harness) resize(i, eighths int) {
	w := h.engine.nodesByID[workerID(i)].Worker
	w.Capacity = work.Resources{
		CPU: workerCapacity.CPU / 8 * work.MilliCores(eighths), Memory: workerCapacity.Memory / 8 * work.MiB(eighths),
		Accelerators: workerCapacity.Accelerators / 8 * ident.Accelerators(eighths),
	}
	h.engine.SetWorker(w)
	if h.resized == nil {
		h.resized = map[ident.Worker]bool{}
	}
	h.resized[w.WorkerProcess.Worker] = true
}

// TestRandomResizes resizes random workers while random jobs are placed, stopped for guaranteed jobs and done. No placement
// may count on room that a worker has lost, which decide checks, and all jobs must end once the workers have all their
// capacity again.
func TestRandomResizes(t *testing.T) {
	const workers, jobs = 6, 60
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			h := newHarness(t, workers)
			rng := rand.New(rand.NewPCG(seed, 1))
			for i := range jobs {
				h.resize(rng.IntN(workers), rng.IntN(9))
				step := work.Step{Parts: 1 + rng.IntN(6), Need: smallPart, Gang: rng.IntN(2) == 0, SameRack: rng.IntN(3) == 0, Fills: rng.IntN(5) == 0}
				if rng.IntN(3) == 0 {
					step.Parts, step.Need = 1+rng.IntN(2), largePart
				}
				h.addJob(ident.Job(fmt.Sprintf("j%02d", i)), work.Priority(rng.IntN(3)), step)
				h.advance(time.Duration(rng.IntN(1000)) * time.Millisecond)
				if rng.IntN(2) == 0 {
					h.confirmStops()
				}
				h.endJob(ident.Job(fmt.Sprintf("j%02d", rng.IntN(i+1))), Done)
			}
			for i := range workers {
				h.resize(i, 8)
			}
			h.endAll(jobs)
			assert.Equal(t, len(h.engine.jobs), 0)
		})
	}
}

// endAll ends the attempts of all jobs, and those that start after them, until no job can be left that fits.
func (h *harness) endAll(jobs int) {
	for range jobs {
		h.confirmStops()
		for i := range jobs {
			h.endJob(ident.Job(fmt.Sprintf("j%02d", i)), Done)
		}
		h.advance(time.Second)
	}
}

// TestReservationEndsWithLostRoom guards against a guaranteed gang that waits for reserved room on a worker that no longer has
// it. The gang must claim another worker.
func TestReservationEndsWithLostRoom(t *testing.T) {
	h := newHarness(t, 4)
	for i := range 4 {
		h.addJob(ident.Job(fmt.Sprintf("low%02d", i)), 1, work.Step{Parts: 1, Need: largePart, Estimate: time.Millisecond})
	}
	h.advance(20 * time.Second)
	h.addJob("quote", work.Guaranteed, work.Step{Parts: 2, Need: largePart, Gang: true})
	assert.Equal(t, len(h.stops), 2)
	for i := range 4 {
		if workerID(i) == h.stops[0].Worker.Worker {
			h.resize(i, 4)
		}
	}
	h.decide()
	assert.Equal(t, len(h.stops), 3)
	h.confirmStops()
	assert.Equal(t, len(h.workersOf("quote")), 2)
}

// TestPartThatFitsNoWorkerWaits lets a part wait for a worker that can hold it again, without stopping anything.
func TestPartThatFitsNoWorkerWaits(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob("low", 1, work.Step{Parts: 1, Need: smallPart})
	h.resize(0, 4)
	h.addJob("quote", work.Guaranteed, work.Step{Parts: 1, Need: largePart})
	h.advance(time.Second)
	assert.Equal(t, len(h.stops), 0)
	assert.Equal(t, len(h.workersOf("quote")), 0)
	h.resize(0, 8)
	h.decide()
	h.confirmStops()
	assert.Equal(t, len(h.workersOf("quote")), 1)
}
