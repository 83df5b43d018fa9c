package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// TestGuaranteedGangStopsNoMoreThanItNeeds lets a guaranteed gang need half of each of two full workers. One worker runs a
// long job and a part of another gang, the other one a job that has just started and the other part of that gang. Stopping
// the gang makes room on both workers, so the job that has just started must run on.
func TestGuaranteedGangStopsNoMoreThanItNeeds(t *testing.T) {
	half := work.Resources{CPU: 26000, Memory: 60000, Accelerators: 4}
	h := newHarness(t, 2)
	h.addJob("long", 1, work.Step{Parts: 1, Need: half})
	h.advance(20 * time.Second)
	h.addJob("gang", 1, work.Step{Parts: 2, Need: half, Gang: true, MaxPerWorker: 1})
	h.advance(time.Second)
	h.addJob("new", 1, work.Step{Parts: 1, Need: half, Estimate: time.Millisecond})
	h.advance(2 * time.Second)
	assert.Equal(t, len(h.starts), 4)

	h.addJob("quote", work.Guaranteed, work.Step{Parts: 2, Need: half, Gang: true, MaxPerWorker: 1})
	stopped := map[ident.Job]int{}
	for _, stop := range h.stops {
		stopped[stop.Attempt.Part.Job]++
	}
	assert.DeepEqual(t, stopped, map[ident.Job]int{"gang": 2})
	h.confirmStops()
	assert.Equal(t, len(h.workersOf("quote")), 2)
}
