package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/work"
)

// TestOperatorLearnsWhyJobWaits guards against jobs that wait, and of which only the logs tell why.
func TestOperatorLearnsWhyJobWaits(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.inspector = &sched.Inspector{}
		_, err := r.inspector.Waits(r.ctx, "w1")
		assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
		stop := r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("w1", 5*time.Second, work.Step{Parts: 1})
		r.sleep(300 * time.Millisecond)
		r.submit("w2", time.Second, work.Step{Parts: 1})
		r.sleep(time.Second)
		runs, err := r.inspector.Waits(r.ctx, "w1")
		assert.NilError(t, err)
		assert.Equal(t, runs.Running, 1)
		assert.Equal(t, len(runs.Waits), 0)
		waits, err := r.inspector.Waits(r.ctx, "w2")
		assert.NilError(t, err)
		assert.Equal(t, waits.State, "Queued")
		assert.Equal(t, len(waits.Waits), 1)
		got := waits.Waits[0]
		assert.Equal(t, got.Reason, pool.NoRoom.String())
		assert.Assert(t, got.EndedBy != "" && got.WaitedMs >= 900 && got.LimitMs == 0, "%+v", got)
		_, err = r.inspector.Waits(r.ctx, "w3")
		assert.Assert(t, fault.Is(err, fault.NotFound), "%v", err)
		stop()
		r.sleep(time.Second)
		_, err = r.inspector.Waits(r.ctx, "w2")
		assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
	})
}

// TestOperatorLearnsOfOrdersWithoutResult guards against attempts that count as running and wait for an answer, of which
// only the logs tell.
func TestOperatorLearnsOfOrdersWithoutResult(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.inspector = &sched.Inspector{}
		d := r.deafen()
		d.starts.Store(true)
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("w1", time.Second, work.Step{Parts: 1})
		r.sleep(600 * time.Millisecond)
		found, err := r.inspector.Waits(r.ctx, "w1")
		assert.NilError(t, err)
		assert.Equal(t, len(found.Orders), 1)
		assert.Equal(t, found.Orders[0].Reason, "startWait")
		assert.Equal(t, string(found.Orders[0].Worker), "wa")
	})
}
