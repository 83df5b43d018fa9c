package stall

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestTimeoutIsExtendedByStalls checks that a timeout leaves out the time in which the process could not run.
func TestTimeoutIsExtendedByStalls(t *testing.T) {
	tests := []struct {
		name string
		// stalls holds the lateness recorded at the start of each 100 ms.
		stalls []time.Duration
		want   time.Duration
	}{
		{"none", nil, 500 * time.Millisecond},
		{"timers that are slightly late", []time.Duration{2 * time.Millisecond, 4 * time.Millisecond}, 500 * time.Millisecond},
		{"one stall", []time.Duration{0, 300 * time.Millisecond}, 800 * time.Millisecond},
		{"a stall during the extension", []time.Duration{200 * time.Millisecond, 0, 0, 0, 0, 0, 100 * time.Millisecond}, 800 * time.Millisecond},
		{"limit of the extension", []time.Duration{time.Minute}, 3500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var m Meter
				started := time.Now()
				ctx, cancel := m.WithTimeout(t.Context(), 500*time.Millisecond)
				defer cancel()
				for _, late := range test.stalls {
					m.record(late)
					time.Sleep(100 * time.Millisecond)
				}
				<-ctx.Done()
				assert.Equal(t, time.Since(started), test.want)
				assert.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
			})
		})
	}
}

// TestStallsBeforeTheCallDoNotCount checks that only lateness since the start of a timeout extends it.
func TestStallsBeforeTheCallDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m Meter
		m.record(time.Second)
		started := time.Now()
		ctx, cancel := m.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		assert.Equal(t, time.Since(started), 500*time.Millisecond)
	})
}

// TestRunMeasuresNothingWhileWakeUpsAreOnTime checks the measurement with exact timers.
func TestRunMeasuresNothingWhileWakeUpsAreOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m Meter
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.NilError(t, m.Run(ctx))
		assert.Equal(t, m.Total(), time.Duration(0))
	})
}

// TestTotalCountsTheSampleUnderWay checks that a pause counts as soon as the process runs again, before Run has run.
func TestTotalCountsTheSampleUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m Meter
		m.sampled.Store(int64(time.Since(origin)))
		time.Sleep(2 * time.Second)
		assert.Equal(t, m.Total(), 2*time.Second-samplePeriod)
	})
}
