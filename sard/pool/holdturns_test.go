package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// suspects adds jobs of one part, each of which has crashed a worker, that wait for the given workers, on which something else
// is on probation.
func (h *harness) suspects(count int, workers ...int) {
	h.t.Helper()
	for i := range count {
		id := ident.Job(fmt.Sprintf("suspect%d", i))
		h.submit("a", id, 1, work.Step{Parts: 1, Need: smallPart, Estimate: time.Second})
		h.decide()
		h.crash(id)
	}
	for _, i := range workers {
		h.engine.nodes[i].lastStart = h.now
	}
	h.advance(retryDelay)
}

// surviveAll lets all attempts survive their probation that have run for it.
func (h *harness) surviveAll() {
	h.engine.ForEachAttempt(func(a work.Attempt, _ work.WorkerProcess) {
		if p := h.engine.currentPart(a); h.now.Sub(p.group.startedAt) >= Probation {
			h.engine.AttemptSurvived(a)
		}
	})
}

// TestSuspectsLeaveOthersATurn guards against groups that nobody suspects and that wait without end, as suspects have all workers
// for themselves in turn.
func TestSuspectsLeaveOthersATurn(t *testing.T) {
	tests := []struct {
		name     string
		suspects int
		// placed is set if the suspects are on probation when the group comes.
		placed bool
		// eachRound runs before each round of 100 ms.
		eachRound func(*harness)
	}{
		{"one probation after another", 9, false, (*harness).surviveAll},
		{"no answer", 2, true, func(*harness) {}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.suspects(test.suspects, 0, 1)
			if test.placed {
				h.advance(Probation)
			}
			h.addJob("waits", 2, work.Step{Parts: 1, Need: smallPart})
			assert.Equal(t, len(h.workersOf("waits")), 0)
			for range 29 {
				test.eachRound(h)
				h.advance(100 * time.Millisecond)
			}
			assert.Equal(t, len(h.workersOf("waits")), 1)
		})
	}
}

// TestSuspectsTakeTurns guards against suspects that never start, as others of more urgent jobs come again and again.
func TestSuspectsTakeTurns(t *testing.T) {
	h := newHarness(t, 1)
	h.suspects(2, 0)
	h.submit("a", "waits", 2, work.Step{Parts: 1, Need: smallPart, Estimate: time.Hour})
	h.decide()
	h.crash("waits")
	for i := range 29 {
		if i%3 == 0 {
			id := ident.Job(fmt.Sprintf("urgent%d", i))
			h.submit("a", id, 1, work.Step{Parts: 1, Need: smallPart, Estimate: time.Millisecond})
			h.engine.jobs[id].forEachGroup(func(g *group) {
				g.parts[0].crashes.likely = 1
				h.engine.suspects[g] = true
			})
		}
		h.surviveAll()
		h.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(h.workersOf("waits")), 1)
}
