package store_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/store"
)

// pollers is the number of loops that poll the store in tests.
const pollers = 5

// TestStoreAwayIsNotPressed polls a store in several loops during outages. While the store is away, all loops together
// make few calls; when it is back, all of them succeed soon.
func TestStoreAwayIsNotPressed(t *testing.T) {
	const outage = 10 * time.Second
	tests := []struct {
		name string
		kind fault.Kind
		// latency is how long a failing call takes.
		latency time.Duration
	}{
		{"refusing", fault.Unavailable, 0},
		{"busy", fault.Throttled, 4 * time.Millisecond},
		{"silent", fault.OutcomeUnknown, 900 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var away atomic.Bool
				var calls, successes atomic.Int64
				memory := &store.Memory{InjectError: func(string, bool) error {
					if !away.Load() {
						successes.Add(1)
						return nil
					}
					calls.Add(1)
					time.Sleep(test.latency)
					return fault.New(test.kind, "call", "store", "store is away")
				}}
				stop := startPollers(t, store.NewBreaker(memory).Background())
				away.Store(true)
				time.Sleep(outage)
				assert.Assert(t, calls.Load() < 50, "%d calls", calls.Load())
				away.Store(false)
				// All pauses are whole milliseconds. The second to count begins between two polls, so that none falls on its edge.
				time.Sleep(2*time.Second + 500*time.Microsecond)
				before := successes.Load()
				time.Sleep(time.Second)
				assert.Equal(t, successes.Load()-before, int64(10*pollers))
				stop()
			})
		})
	}
}

// startPollers polls a store ten times a second in each of several loops. It returns a function that ends them.
func startPollers(t *testing.T, s store.Store) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	for range pollers {
		group.Go(func() error {
			for {
				callCtx, done := context.WithTimeout(ctx, time.Second)
				_, _ = s.List(callCtx, store.Range{Table: "t"})
				done()
				if !clock.Sleep(ctx, 100*time.Millisecond) {
					return nil
				}
			}
		})
	}
	return func() {
		cancel()
		assert.NilError(t, group.Wait())
	}
}

// TestEndOfOutageIsNoticedSoon checks that a waiting call passes at once when another call succeeds, and else within the
// longest pause.
func TestEndOfOutageIsNoticedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var away atomic.Bool
		away.Store(true)
		memory := &store.Memory{InjectError: func(string, bool) error {
			if away.Load() {
				return fault.New(fault.Unavailable, "call", "store", "store is away")
			}
			return nil
		}}
		b := store.NewBreaker(memory)
		stop := startPollers(t, b.Background())
		time.Sleep(5 * time.Second)
		away.Store(false)
		started := time.Now()
		_, err := b.Background().List(t.Context(), store.Range{Table: "t"})
		assert.NilError(t, err)
		assert.Assert(t, time.Since(started) <= 500*time.Millisecond, "%v", time.Since(started))
		stop()
	})
}

// TestSingleFailuresHoldUpNothing lets every third call fail, as when responses are lost.
func TestSingleFailuresHoldUpNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		memory := &store.Memory{InjectError: func(string, bool) error {
			calls++
			if calls%3 == 0 {
				return fault.New(fault.OutcomeUnknown, "call", "store", "response lost")
			}
			return nil
		}}
		s := store.NewBreaker(memory).Background()
		started := time.Now()
		for range 30 {
			_, _ = s.List(t.Context(), store.Range{Table: "t"})
		}
		assert.Equal(t, time.Since(started), time.Duration(0))
		assert.Equal(t, calls, 30)
	})
}

// TestAnswersAreNoFailures checks that refusals which show that the store serves do not limit calls.
func TestAnswersAreNoFailures(t *testing.T) {
	for _, kind := range []fault.Kind{fault.Conflict, fault.NotFound, fault.Invalid} {
		synctest.Test(t, func(t *testing.T) {
			memory := &store.Memory{InjectError: func(string, bool) error { return fault.New(kind, "call", "store", "refused") }}
			s := store.NewBreaker(memory).Background()
			started := time.Now()
			for range 10 {
				_, err := s.List(t.Context(), store.Range{Table: "t"})
				assert.Assert(t, fault.Is(err, kind))
			}
			assert.Equal(t, time.Since(started), time.Duration(0))
		})
	}
}
