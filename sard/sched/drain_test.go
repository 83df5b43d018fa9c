package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// TestStartDecidedBeforeDrain guards against starts on a worker that is draining, because they were decided before the
// scheduler learned of it, and sent when their record was written at last.
func TestStartDecidedBeforeDrain(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		r.slowStore = 500 * time.Millisecond
		r.startInstance("i1")
		r.sleep(3 * time.Second)
		r.submit("j1", time.Second, work.Step{Parts: 8})
		r.sleep(100 * time.Millisecond)
		wa := r.fleet.Worker("wa")
		r.updateFleet(func() { wa.Entry.Accepting = false })
		r.listWorker(wa)
		r.waitForState("j1", ident.Succeeded, 10*time.Second)
		assert.Equal(t, wa.EndedCount(), 0)
	})
}
