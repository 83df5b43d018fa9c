package entry_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/entry"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// TestLargestJobCanBeCancelled guards against a job that fills its row so that the mark of its cancellation does not fit any more.
func TestLargestJobCanBeCancelled(t *testing.T) {
	memory := &store.Memory{LimitSizes: true}
	jobs := entry.New(entry.Config{Store: memory})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	payload := strings.Repeat("x", store.MaxRowBytes)
	accepted := false
	for ; !accepted; payload = payload[1:] {
		err := jobs.Submit(ctx, &work.Job{ID: "00000000000000aa", Account: "a", Queue: "claims", Payload: payload, Steps: []work.Step{{Parts: 1}}})
		accepted = err == nil
		assert.Assert(t, accepted || fault.Is(err, fault.Invalid), "%v", err)
	}
	assert.NilError(t, jobs.Cancel(ctx, entry.Caller{Account: "a"}, "00000000000000aa"))
	state, err := jobs.State(ctx, entry.Caller{Account: "a"}, "00000000000000aa")
	assert.NilError(t, err)
	assert.Equal(t, state, ident.Cancelled)
}
