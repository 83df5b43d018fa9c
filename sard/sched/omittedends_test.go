package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// limitReportedEnds makes the reports of all workers list a few ends only.
func (r *harness) limitReportedEnds(limit int) {
	r.fleet.ForEachWorker(func(w *fakes.Worker) { w.MaxReportedEnds = limit })
}

// TestEndsBeyondReportAreNotTakenForVanished guards against parts that run a second time because a report lists only some of
// the ends that wait for their acknowledgement, so that the others look as if they had vanished.
func TestEndsBeyondReportAreNotTakenForVanished(t *testing.T) {
	const parts = 8
	tests := []struct {
		name string
		// takeover replaces the lease holder while the ends wait.
		takeover bool
	}{
		{"the store is down", false},
		{"the store is down and the lease holder ends", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 1, func(r *harness) {
				r.disturbed.Store(true)
				r.limitReportedEnds(3)
				kill := r.startInstance("i1")
				r.sleep(time.Second)
				r.submit("j1", 2*time.Second, work.Step{Parts: parts})
				r.sleep(time.Second)
				r.storeDown.Store(true)
				r.sleep(3 * time.Second)
				if test.takeover {
					kill()
				}
				r.storeDown.Store(false)
				if test.takeover {
					r.startInstance("i2")
				}
				r.waitForState("j1", ident.Succeeded, 10*time.Second)
				assert.Equal(t, r.fleet.StartCount(), parts)
			})
		})
	}
}

// TestRandomFaultsWithOmittedEnds is like TestRandomFaults, and reports list few ends. The store is away at times, so that many
// ends wait.
func TestRandomFaultsWithOmittedEnds(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runTest(t, 8, func(r *harness) {
				s := newScenario(r, seed)
				limits := rand.New(rand.NewPCG(seed, 11))
				r.limitReportedEnds(1 + limits.IntN(3))
				s.run()
			})
		})
	}
}
