package lease_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/lease"
	"github.com/sardineline/sardineline/sard/table"
)

// dc is the data centre of all tests.
const dc ident.DataCentre = "dc1"

// fixture provides a table and instances that compete for a lease in it.
type fixture struct {
	t     *testing.T
	store *table.Memory
	group errgroup.Group
}

// contender is the lease manager of one instance, with its own faulty connection to the table.
type contender struct {
	manager *lease.Manager
	store   *faultyStore
}

// faultyStore forwards calls, rejects them or drops their responses.
type faultyStore struct {
	table.Store
	unavailable, loseResponses atomic.Bool
}

// Get reads an item unless the table is unavailable.
func (s *faultyStore) Get(ctx context.Context, p table.Priority, key table.Key) (table.Item, error) {
	if s.unavailable.Load() {
		return table.Item{}, fault.New(fault.Unavailable, "get item", "table", "unavailable")
	}
	return s.Store.Get(ctx, p, key)
}

// GetStale reads an item unless the table is unavailable; the data is never stale.
func (s *faultyStore) GetStale(ctx context.Context, p table.Priority, key table.Key) (table.Item, error) {
	return s.Get(ctx, p, key)
}

// Apply applies a batch unless the table is unavailable; its response may be lost.
func (s *faultyStore) Apply(ctx context.Context, p table.Priority, batch ...table.Write) error {
	if s.unavailable.Load() {
		return fault.New(fault.Unavailable, "apply batch", "table", "unavailable")
	}
	err := s.Store.Apply(ctx, p, batch...)
	if s.loseResponses.Load() {
		return fault.New(fault.OutcomeUnknown, "apply batch", "table", "response lost")
	}
	return err
}

// newContender returns an instance with its own connection to the table.
func (f *fixture) newContender(name ident.Instance) contender {
	store := &faultyStore{Store: f.store}
	return contender{lease.New(lease.Config{Store: store, Instance: name}), store}
}

// acquire acquires the lease and renews it until ctx ends.
func (f *fixture) acquire(ctx context.Context, c contender) *lease.Lease {
	held, err := c.manager.Acquire(ctx, dc)
	assert.NilError(f.t, err)
	f.group.Go(func() error { return held.KeepAlive(ctx) })
	return held
}

// runWithFixture runs a test in virtual time and then waits for its goroutines.
func runWithFixture(t *testing.T, test func(t *testing.T, f *fixture, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fixture{t: t, store: &table.Memory{}}
		test(t, f, ctx)
		cancel()
		assert.NilError(t, f.group.Wait())
	})
}

// TestHolderStops checks that another instance acquires the lease in time after the holder is killed, loses the table
// or releases the lease, and that writes under the old epoch fail from then on.
func TestHolderStops(t *testing.T) {
	tests := []struct {
		name string
		stop func(c contender, held *lease.Lease, cancel func())
		// limit bounds the time until another instance holds the lease.
		limit time.Duration
	}{
		{"killed", func(_ contender, _ *lease.Lease, cancel func()) { cancel() }, lease.DefaultTerm + 2*time.Second},
		{"cut off from the table", func(c contender, _ *lease.Lease, _ func()) { c.store.unavailable.Store(true) }, lease.DefaultTerm + 3*time.Second},
		{"released", func(_ contender, held *lease.Lease, _ func()) { _ = held.Release(context.Background()) }, 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runWithFixture(t, func(t *testing.T, f *fixture, ctx context.Context) {
				a, b := f.newContender("a"), f.newContender("b")
				holderCtx, kill := context.WithCancel(ctx)
				defer kill()
				first := f.acquire(holderCtx, a)
				time.Sleep(time.Minute)
				assert.NilError(t, first.Check())
				var second *lease.Lease
				var acquiredAt time.Time
				var acquiring errgroup.Group
				acquiring.Go(func() (err error) {
					second, err = b.manager.Acquire(ctx, dc)
					acquiredAt = time.Now()
					return err
				})
				time.Sleep(20 * time.Second)
				stoppedAt := time.Now()
				test.stop(a, first, kill)
				assert.NilError(t, acquiring.Wait())
				assert.Equal(t, second.Epoch(), first.Epoch()+1)
				assert.Assert(t, first.Check() != nil, "two instances hold the lease at the same time")
				assert.Assert(t, acquiredAt.Sub(stoppedAt) <= test.limit, "%v", acquiredAt.Sub(stoppedAt))
				err := f.store.Apply(ctx, table.LeasePriority, first.Fence())
				assert.Assert(t, fault.Is(err, fault.Conflict), "a write under the old epoch succeeded")
				assert.NilError(t, f.store.Apply(ctx, table.LeasePriority, second.Fence()))
			})
		})
	}
}

// TestRestartedInstanceAcquiresAtOnce guards against a restarted instance that waits for its own lease to expire, while gangs
// that have ended meanwhile are reported to nobody.
func TestRestartedInstanceAcquiresAtOnce(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture, ctx context.Context) {
		killed, kill := context.WithCancel(ctx)
		first := f.acquire(killed, f.newContender("a@1"))
		// The process is killed between two renewals.
		time.Sleep(time.Minute + 100*time.Millisecond)
		kill()
		restarted := lease.New(lease.Config{
			Store: f.store, Instance: "a@2",
			IsPredecessor: func(holder ident.Instance) bool { return holder == "a@1" },
		})
		start := time.Now()
		second, err := restarted.Acquire(ctx, dc)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(start) < time.Second)
		assert.Assert(t, second.Epoch() > first.Epoch())
	})
}

// TestRenewalAfterOutage checks that a holder keeps its epoch after an outage of the table during which nobody else took
// the lease over.
func TestRenewalAfterOutage(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture, ctx context.Context) {
		a := f.newContender("a")
		held := f.acquire(ctx, a)
		a.store.unavailable.Store(true)
		time.Sleep(time.Hour)
		assert.Assert(t, fault.Is(held.Check(), fault.Unavailable))
		a.store.unavailable.Store(false)
		time.Sleep(5 * time.Second)
		assert.NilError(t, held.Check())
		assert.Equal(t, held.Epoch(), ident.Epoch(1))
	})
}

// TestLostAnswers checks that an acquisition whose response is lost is read back, and that renewals without a response
// don't extend the lease.
func TestLostAnswers(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture, ctx context.Context) {
		a := f.newContender("a")
		a.store.loseResponses.Store(true)
		held := f.acquire(ctx, a)
		assert.Equal(t, held.Epoch(), ident.Epoch(1))
		time.Sleep(3 * time.Second)
		assert.NilError(t, held.Check())
		time.Sleep(time.Minute)
		assert.Assert(t, fault.Is(held.Check(), fault.Unavailable), "the lease was extended without a response")
		a.store.loseResponses.Store(false)
		time.Sleep(5 * time.Second)
		assert.NilError(t, held.Check())
	})
}

// TestLostChannelIsClosed checks that a holder that was cut off from the table learns of the takeover.
func TestLostChannelIsClosed(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture, ctx context.Context) {
		a, b := f.newContender("a"), f.newContender("b")
		first := f.acquire(ctx, a)
		a.store.unavailable.Store(true)
		second := f.acquire(ctx, b)
		a.store.unavailable.Store(false)
		<-first.Lost()
		assert.Assert(t, fault.Is(first.Check(), fault.Fenced))
		assert.NilError(t, second.Check())
		holding, err := b.manager.Read(ctx, dc)
		assert.NilError(t, err)
		assert.Equal(t, holding.Holder, ident.Instance("b"))
	})
}
