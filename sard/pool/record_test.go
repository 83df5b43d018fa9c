package pool

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/work"
)

// TestLaterEndsOfAGangChangeNoRecord: the first end of a gang stands for all, so its job is recorded as ended once.
func TestLaterEndsOfAGangChangeNoRecord(t *testing.T) {
	r := newRig(t, 4)
	r.add("gang", work.Guaranteed, work.Step{Parts: 3, Need: large, Gang: true})
	r.engine.Ended(r.starts[0].Attempt, Done, "", r.now)
	changes := r.engine.Changes(10, r.now)
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].Progress.State.Terminal())
	r.engine.Written(changes)
	for _, s := range r.starts[1:] {
		r.engine.Ended(s.Attempt, Done, "", r.now)
	}
	assert.Equal(t, r.engine.Unrecorded(), 0)
	assert.Assert(t, !r.engine.Knows("gang"))
}
