package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// TestFailuresOfOneMomentQuarantineOnce guards against workers that get no parts for half a minute after a trouble of some
// seconds, because the failures of all parts that ran there at once lengthened the quarantine one by one.
func TestFailuresOfOneMomentQuarantineOnce(t *testing.T) {
	h := newHarness(t, 1)
	jobs := []ident.Job{"a", "b", "c", "d", "e", "f"}
	for _, id := range jobs {
		h.addJob(id, 1, work.Step{Parts: 1, Need: smallPart})
	}
	for _, id := range jobs {
		h.endJob(id, Failed)
	}
	h.advance(initialQuarantine)
	for _, id := range jobs {
		assert.Equal(t, len(h.workersOf(id)), 1, "%s", id)
	}
}

// TestFailureAfterQuarantineLengthensIt checks that a worker that goes on failing is quarantined for longer each time.
func TestFailureAfterQuarantineLengthensIt(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob("a", 1, work.Step{Parts: 1, Need: smallPart})
	h.addJob("b", 1, work.Step{Parts: 1, Need: smallPart})
	for _, length := range []time.Duration{initialQuarantine, 2 * initialQuarantine} {
		h.endJob("a", Failed)
		h.endJob("b", Failed)
		n := h.engine.nodesByID[workerID(0)]
		assert.Equal(t, n.health.quarantinedUntil, h.now.Add(length))
		h.advance(length)
		assert.Equal(t, len(h.workersOf("a"))+len(h.workersOf("b")), 2)
	}
}
