package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/clock"
)

func TestSleep(t *testing.T) {
	tests := []struct {
		name      string
		duration  time.Duration
		cancelled bool
		completed bool
		elapsed   time.Duration
	}{
		{name: "whole duration", duration: time.Second, completed: true, elapsed: time.Second},
		{name: "zero duration", completed: true},
		{name: "negative duration", duration: -time.Second, completed: true},
		{name: "cancelled context", duration: time.Second, cancelled: true},
		{name: "cancelled context and zero duration", cancelled: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if test.cancelled {
					cancel()
				}
				started := time.Now()
				assert.Equal(t, clock.Sleep(ctx, test.duration), test.completed)
				assert.Equal(t, time.Since(started), test.elapsed)
			})
		})
	}
}

// TestConcurrentSleepsOfZero checks that sleeps of zero use no timer. In a synctest bubble, goroutines that receive
// from timers that are already due share a context of the race detector, which crashes the process (Go 1.26.8).
func TestConcurrentSleepsOfZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group errgroup.Group
		for range 8 {
			group.Go(func() error {
				for range 20_000 {
					clock.Sleep(t.Context(), 0)
				}
				return nil
			})
		}
		assert.NilError(t, group.Wait())
	})
}
