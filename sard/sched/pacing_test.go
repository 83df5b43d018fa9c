package sched_test

import (
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/work"
)

// gauge returns the value of a gauge of the scheduler without labels.
func gauge(t *testing.T, registry *prometheus.Registry, name string) float64 {
	t.Helper()
	families, err := registry.Gather()
	assert.NilError(t, err)
	for _, f := range families {
		if f.GetName() == "sardine_sched_"+name {
			return f.GetMetric()[0].GetGauge().GetValue()
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}

// TestLongRoundsArePaced guards against decisions that take up nearly all of the time when each round takes long, and against
// such a holder without a sign of it.
func TestLongRoundsArePaced(t *testing.T) {
	const round = 300 * time.Millisecond
	runTest(t, 8, func(r *harness) {
		registry := prometheus.NewRegistry()
		r.metrics = sched.NewMetrics(registry)
		r.startInstance("a")
		r.sleep(2 * time.Second)
		// Each round asks for the settings of the only job, which waits.
		r.submit("w1", time.Second, work.Step{Parts: 9, Gang: true})
		r.sleep(time.Second)
		r.slowPolicy.Store(int64(round))
		r.sleep(20 * time.Second)
		share, longest := gauge(t, registry, "round_share"), gauge(t, registry, "longest_round_seconds")
		assert.Assert(t, share > 0.3 && share < 0.55, "share %v", share)
		assert.Assert(t, longest >= round.Seconds() && longest < 2*round.Seconds(), "longest %v", longest)
		r.slowPolicy.Store(0)
	})
}

// TestEventIsDecidedAfterPause guards against an event that has to wait for the next tick after the pause that follows a round.
func TestEventIsDecidedAfterPause(t *testing.T) {
	const (
		round = 10 * time.Millisecond
		limit = 100 * time.Millisecond
	)
	runTest(t, 8, func(r *harness) {
		r.startInstance("a")
		r.sleep(2 * time.Second)
		r.submit("w1", time.Second, work.Step{Parts: 9, Gang: true})
		r.sleep(time.Second)
		r.slowPolicy.Store(int64(round))
		var waits []time.Duration
		for i, id := range []ident.Job{"b", "c", "d", "e", "f", "g", "h", "i"} {
			r.sleep(time.Second + time.Duration(i)*13*time.Millisecond)
			started := clock.Now()
			r.submit(id, 100*time.Millisecond, work.Step{Parts: 1})
			for !r.fleet.Started(id) {
				r.sleep(time.Millisecond)
			}
			waits = append(waits, clock.Since(started))
			r.sleep(300 * time.Millisecond)
		}
		// A round may be running. After it, the event is handled, which takes as long as two rounds, and when the pause of four times
		// the round is over, the job is placed in a round with two jobs.
		assert.Assert(t, slices.Max(waits) <= limit, "started after %v", waits)
		r.slowPolicy.Store(0)
	})
}
