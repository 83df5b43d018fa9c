package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/work"
)

// TestFullStepHoldsNoOtherBack guards against jobs that wait because another job's step, with equal demand and an equal limit
// of parts per worker, has reached its limit on each worker.
func TestFullStepHoldsNoOtherBack(t *testing.T) {
	step := work.Step{Parts: 3, Need: smallPart, MaxPerWorker: 1}
	h := newHarness(t, 2)
	h.addJob("a", 1, step)
	assert.Equal(t, len(h.workersOf("a")), 2)
	h.addJob("b", 1, step)
	assert.Equal(t, len(h.workersOf("b")), 2)
}

// TestDisturbingPartsHoldNoOtherBack guards against jobs that wait because a part with equal demand, which would disturb those
// on all workers, does not fit.
func TestDisturbingPartsHoldNoOtherBack(t *testing.T) {
	// Parts that fill reserve no processor time.
	need := work.Resources{Memory: smallPart.Memory, Accelerators: smallPart.Accelerators}
	h := newHarness(t, 1)
	h.addJob("serves", 1, work.Step{Parts: 1, Need: smallPart, Latency: time.Second})
	h.submit("a", "fills", 1, work.Step{Parts: 1, Need: need, Fills: true})
	h.submit("a", "plain", 1, work.Step{Parts: 1, Need: need})
	h.decide()
	assert.Equal(t, len(h.workersOf("fills")), 0)
	assert.Equal(t, len(h.workersOf("plain")), 1)
}
