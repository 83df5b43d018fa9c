package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// newStrayed returns an engine whose job "j" has lost its only attempt, together with that attempt.
func newStrayed(t *testing.T) (*harness, work.Attempt) {
	h := newHarness(t, 2)
	h.addJob("j", 1, work.Step{Parts: 1, Need: largePart})
	assert.Equal(t, len(h.starts), 1)
	a := h.starts[0].Attempt
	h.engine.AttemptEnded(a, Lost, "", h.now)
	h.starts = nil
	return h, a
}

// TestPartWithStrayIsNotPlaced guards against parts that run twice at the same time, because one is placed again while a worker runs
// an attempt of it whose start was executed late.
func TestPartWithStrayIsNotPlaced(t *testing.T) {
	h, a := newStrayed(t)
	assert.Check(t, h.engine.StrayBegan(a))
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 0)
	h.engine.StrayEnded(a)
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Attempt.Number, ident.Attempt(2))
}

// TestStrayCompletesItsPart guards against work that is done again although a run of it has ended as done, because that was of an
// attempt which had been given up.
func TestStrayCompletesItsPart(t *testing.T) {
	tests := []struct {
		name string
		// again indicates that the part has been placed again by then.
		again bool
	}{
		{"the part waits", false},
		{"the part runs again", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h, a := newStrayed(t)
			if test.again {
				h.advance(time.Second)
				assert.Equal(t, len(h.starts), 1)
			}
			var recorded work.Progress
			h.write = func(changes []Change) {
				for _, c := range changes {
					recorded = c.Progress
				}
			}
			assert.Check(t, h.engine.StrayDone(a))
			assert.Check(t, !h.engine.StrayDone(a))
			h.starts = nil
			h.advance(time.Second)
			assert.Equal(t, len(h.starts), 0)
			if test.again {
				assert.Equal(t, len(h.stops), 1)
				assert.Equal(t, h.stops[0].Reason, ReasonStrayDone)
				h.engine.AttemptEnded(h.stops[0].Attempt, Stopped, "", h.now)
			}
			assert.Equal(t, recorded.State, ident.Succeeded)
		})
	}
}

// TestUnknownStrayChangesNothing checks that a run of an attempt that was never made neither holds up nor completes a part.
func TestUnknownStrayChangesNothing(t *testing.T) {
	h, a := newStrayed(t)
	a.Number++
	assert.Check(t, !h.engine.StrayBegan(a))
	assert.Check(t, !h.engine.StrayDone(a))
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 1)
}
