package sched_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/admit"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// TestRandomFaultsWithCostOrder is like TestRandomFaults, and work is delayed and stopped by what that costs callers.
func TestRandomFaultsWithCostOrder(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runTest(t, 8, func(r *harness) {
				r.costOrder = true
				newScenario(r, seed).run()
			})
		})
	}
}

// TestSummariesWhileBacklogDrains lets a burst wait for a single worker, whose holder is killed. Summaries must come while
// work waits, at most one a second, with the epoch of their holder, and a last one that says that it is over.
func TestSummariesWhileBacklogDrains(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		var summaries []*admit.Summary
		var times []time.Time
		r.costOrder = true
		r.announced = func(value []byte) {
			s, err := admit.DecodeSummary(value)
			assert.NilError(t, err)
			summaries, times = append(summaries, s), append(times, time.Now())
		}
		kill := r.startInstance("i1")
		r.sleep(time.Second)
		for i := range 6 {
			r.submit(ident.Job(fmt.Sprintf("w%d", i)), 4*time.Second, work.Step{Parts: 1})
		}
		r.sleep(2500 * time.Millisecond)
		kill()
		r.startInstance("i2")
		r.sleep(30 * time.Second)
		assert.Assert(t, len(summaries) > 4)
		last := summaries[len(summaries)-1]
		assert.Assert(t, last.Over && last.Epoch > summaries[0].Epoch)
		for i := 1; i < len(times); i++ {
			if summaries[i].Epoch == summaries[i-1].Epoch {
				assert.Assert(t, times[i].Sub(times[i-1]) >= time.Second)
				assert.Assert(t, !summaries[i].Over || !summaries[i-1].Over, "nothing is written without pressure")
			}
		}
	})
}
