package entry_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/entry"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/store"
)

// TestTrace checks that the trace of a call tells how the calls to the store ended.
func TestTrace(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want entry.CallEnd
	}{
		{"served", nil, entry.Answered},
		{"throttled", fault.New(fault.Throttled, "list", "store", "status 429"), entry.Throttled},
		{"refused", fault.New(fault.Unavailable, "list", "store", "status 503"), entry.Refused},
		{"reset", fault.New(fault.OutcomeUnknown, "list", "store", "reset"), entry.Broken},
		{"not answered", fault.Wrap(context.DeadlineExceeded, fault.OutcomeUnknown, "list", "store"), entry.Silent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				failures := 1
				memory := &store.Memory{InjectError: func(string, bool) error {
					if failures == 0 {
						return nil
					}
					failures--
					return test.err
				}}
				ctx, cancel := context.WithTimeout(entry.WithTrace(t.Context()), time.Second)
				defer cancel()
				_, err := entry.New(entry.Config{Store: memory}).State(ctx, entry.Caller{Account: "a"}, "00000000000000aa")
				assert.Assert(t, fault.Is(err, fault.NotFound), "%v", err)
				trace := entry.TraceOf(ctx)
				assert.Assert(t, trace.Ends[test.want] > 0, "%v", trace)
				assert.Assert(t, trace.Calls() >= 3)
			})
		})
	}
}
