package sched

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/clock"
)

// TestRoundsLeaveTime guards against decisions that use up the processor when they take long, and against pauses by which an event
// is decided late.
func TestRoundsLeaveTime(t *testing.T) {
	tests := []struct {
		took time.Duration
		// maxShare is the largest share of the time that rounds may take, and maxPause the longest pause after one.
		maxShare float64
		maxPause time.Duration
	}{
		{50 * time.Microsecond, 0.013, 4 * time.Millisecond},
		{time.Millisecond, 0.2, 4 * time.Millisecond},
		{20 * time.Millisecond, 0.2, 80 * time.Millisecond},
		{60 * time.Millisecond, 0.5, 100 * time.Millisecond},
		{300 * time.Millisecond, 0.5, 300 * time.Millisecond},
		{10 * time.Second, 1, 500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.took), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const count = 50
				var r rounds
				assert.Assert(t, r.due(clock.Now()), "an event after a quiet time has to wait")
				r.take(clock.Now())
				for range count {
					started := clock.Now()
					time.Sleep(test.took)
					r.end(started, clock.Now())
					r.undecided = true
					pause, waits := r.wakeIn(clock.Now())
					assert.Assert(t, waits && pause <= test.maxPause, "pause %v", pause)
					time.Sleep(pause)
					assert.Assert(t, r.due(clock.Now()))
				}
				stats := r.take(clock.Now())
				assert.Equal(t, stats.count, count)
				assert.Equal(t, stats.longest, test.took)
				assert.Assert(t, stats.share <= test.maxShare+0.001, "share %v", stats.share)
			})
		})
	}
}
