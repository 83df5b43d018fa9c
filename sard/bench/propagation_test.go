package bench_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/bench"
)

// TestPropagationInVirtualTime checks the time until a document is in force at all instances against its bounds, and
// logs the cost of propagation.
func TestPropagationInVirtualTime(t *testing.T) {
	tests := []struct {
		n     int
		bound time.Duration
	}{
		{9, 2 * time.Second},
		{100, 10 * time.Second},
		{400, 10 * time.Second},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			r, err := bench.MeasurePropagation(t.Context(), bench.PropagationConfig{Instances: tt.n, Changes: 3, IdlePeriod: 20 * time.Second})
			assert.NilError(t, err)
			last := r.InForce[len(r.InForce)-1]
			assert.Assert(t, last <= tt.bound, "%d instances: %v", tt.n, last)
			t.Logf("%d instances: in force p50 %v p99 %v max %v; acknowledged p50 %v max %v; idle cost per second %+v; cost per change %+v", tt.n,
				r.InForce[len(r.InForce)/2], r.InForce[len(r.InForce)*99/100], last, r.Acknowledged[len(r.Acknowledged)/2], r.Acknowledged[len(r.Acknowledged)-1], r.Idle, r.Change)
		})
	}
}
