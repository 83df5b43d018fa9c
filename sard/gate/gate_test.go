package gate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/admit"
	"github.com/sardineline/sardineline/sard/elect"
	"github.com/sardineline/sardineline/sard/work"
)

// TestSummaryIsUsedWhileFresh checks which notices of a burst make a Gate refuse a job, one after the other.
func TestSummaryIsUsedWhileFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Config{Logger: hclog.NewNullLogger()})
		load := admit.ServiceLoad{Service: "s", Capacity: work.Resources{Accelerators: 1}}
		load.Add("a", 1, time.Second, 1, admit.NewAmount(work.Resources{Accelerators: 1}, time.Minute))
		value, err := (&admit.Summary{Epoch: 7, Services: []admit.ServiceLoad{load}}).Encode()
		assert.NilError(t, err)
		decide := func() admit.Reason {
			return g.Decide(admit.Request{Account: "a", Priority: 1, Service: "s", Objective: 3 * time.Second, Path: time.Second}).Reason
		}
		assert.Equal(t, decide(), admit.NoSummary)
		g.Observe(elect.Notice{Value: value, Holder: 7})
		assert.Equal(t, decide(), admit.NoSummary, "written at an unknown time")
		g.Observe(elect.Notice{Value: value, Holder: 7, Fresh: true})
		assert.Equal(t, decide(), admit.TooLate)
		g.Observe(elect.Notice{Value: value, Holder: 8})
		assert.Equal(t, decide(), admit.FormerHolder)
		g.Observe(elect.Notice{Value: value, Holder: 7, Fresh: true})
		time.Sleep(5 * time.Second)
		assert.Equal(t, decide(), admit.Stale)
		g.Observe(elect.Notice{Value: []byte("?"), Holder: 7, Fresh: true})
		assert.Equal(t, decide(), admit.Unreadable)
	})
}
