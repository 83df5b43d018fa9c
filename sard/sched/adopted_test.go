package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// TestAdoptedPartsExceedCapacity guards against starts that bring a worker over its capacity after a takeover: the records
// place two jobs in the same room, as the start of one was written before the loss of the other.
func TestAdoptedPartsExceedCapacity(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		kill := r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("w1", 5*time.Second, work.Step{Parts: 1})
		r.sleep(time.Second)
		kill()
		running := r.waitForAttempt("w1", 1)
		r.submit("w2", time.Second, work.Step{Parts: 1})
		value, err := work.Encode(work.Progress{
			State: ident.Running, Account: "a", Queue: "q", Lives: []work.WorkerProcess{running.Entry.WorkerProcess},
			Groups: []work.Group{{Attempt: 1, Placed: true, Workers: []int{0}}},
		})
		assert.NilError(t, err)
		_, err = r.store.Apply(r.ctx, store.Tx{Put: []store.Put{{Key: work.ProgressKey("w2"), Value: value}}})
		assert.NilError(t, err)
		r.startInstance("i2")
		r.waitForState("w2", ident.Succeeded, 10*time.Second)
		r.waitForState("w1", ident.Succeeded, 10*time.Second)
	})
}
