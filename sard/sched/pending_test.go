package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/work"
)

// TestRefusedStartsCountAsWaiting guards against a count of waiting jobs that leaves out jobs which were placed on a worker that
// refuses them, so that none of their parts has begun.
func TestRefusedStartsCountAsWaiting(t *testing.T) {
	const jobs = 3
	runTest(t, 1, func(r *harness) {
		r.disturbed.Store(true)
		unwell := sched.Unwell
		r.fleet.ForEachWorker(func(w *fakes.Worker) { w.RefuseStarts = &unwell })
		kill := r.startInstance("i1")
		r.sleep(2 * time.Second)
		ids := []ident.Job{"j1", "j2", "j3"}
		for _, id := range ids {
			r.submit(id, time.Second, work.Step{Parts: 1})
		}
		for range 6 {
			r.sleep(time.Second)
			assert.Equal(t, r.waiting(), jobs)
		}
		kill()
		r.startInstance("i2")
		r.sleep(4 * time.Second)
		assert.Equal(t, r.waiting(), jobs)
		r.fleet.ForEachWorker(func(w *fakes.Worker) { w.RefuseStarts = nil })
		for _, id := range ids {
			r.waitForState(id, ident.Succeeded, 20*time.Second)
		}
		r.sleep(time.Second)
		assert.Equal(t, r.waiting(), 0)
	})
}

// TestRunningJobIsNotWaiting checks that a job counts as waiting only until its first part has begun, however long that runs.
func TestRunningJobIsNotWaiting(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("j1", 20*time.Second, work.Step{Parts: 2})
		r.sleep(2 * time.Second)
		assert.Equal(t, r.waiting(), 0)
	})
}

// waiting returns the number of waiting jobs of the queue q.
func (r *harness) waiting() int {
	r.t.Helper()
	count, err := r.api.CountWaiting(r.ctx, "q")
	assert.NilError(r.t, err)
	return count
}
