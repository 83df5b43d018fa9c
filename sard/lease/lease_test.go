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

const dc ident.DataCentre = "dc1"

// rig has a table and instances that hold leases of it.
type rig struct {
	t     *testing.T
	store *table.Memory
	group errgroup.Group
}

// contender is one instance's leases, with the faults of its own way to the table.
type contender struct {
	leases *lease.Manager
	store  *gate
}

// gate passes calls on, refuses them or loses their answers.
type gate struct {
	table.Store
	down, mute atomic.Bool
}

func (g *gate) Get(ctx context.Context, p table.Priority, key table.Key) (table.Item, error) {
	if g.down.Load() {
		return table.Item{}, fault.New(fault.Unavailable, "get item", "table", "down")
	}
	return g.Store.Get(ctx, p, key)
}

func (g *gate) GetStale(ctx context.Context, p table.Priority, key table.Key) (table.Item, error) {
	return g.Get(ctx, p, key)
}

func (g *gate) Apply(ctx context.Context, p table.Priority, batch ...table.Write) error {
	if g.down.Load() {
		return fault.New(fault.Unavailable, "apply batch", "table", "down")
	}
	err := g.Store.Apply(ctx, p, batch...)
	if g.mute.Load() {
		return fault.New(fault.OutcomeUnknown, "apply batch", "table", "answer lost")
	}
	return err
}

func (r *rig) contender(name ident.Instance) contender {
	store := &gate{Store: r.store}
	return contender{lease.New(lease.Config{Store: store, Instance: name}), store}
}

func (r *rig) acquire(ctx context.Context, c contender) *lease.Lease {
	held, err := c.leases.Acquire(ctx, dc)
	assert.NilError(r.t, err)
	r.group.Go(func() error { return held.KeepAlive(ctx) })
	return held
}

func bubble(t *testing.T, f func(t *testing.T, r *rig, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &rig{t: t, store: &table.Memory{}}
		f(t, r, ctx)
		cancel()
		assert.NilError(t, r.group.Wait())
	})
}

func TestHolderStops(t *testing.T) {
	tests := []struct {
		name string
		stop func(c contender, held *lease.Lease, cancel func())
		// within is when another holds the lease at the latest.
		within time.Duration
	}{
		{"killed", func(_ contender, _ *lease.Lease, cancel func()) { cancel() }, lease.DefaultTerm + 2*time.Second},
		{"cut off from the table", func(c contender, _ *lease.Lease, _ func()) { c.store.down.Store(true) }, lease.DefaultTerm + 3*time.Second},
		{"released", func(_ contender, held *lease.Lease, _ func()) { _ = held.Release(context.Background()) }, 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, r *rig, ctx context.Context) {
				a, b := r.contender("a"), r.contender("b")
				life, kill := context.WithCancel(ctx)
				defer kill()
				first := r.acquire(life, a)
				time.Sleep(time.Minute)
				assert.NilError(t, first.Check())
				var second *lease.Lease
				var taken time.Time
				var waiting errgroup.Group
				waiting.Go(func() (err error) {
					second, err = b.leases.Acquire(ctx, dc)
					taken = time.Now()
					return err
				})
				time.Sleep(20 * time.Second)
				stopped := time.Now()
				test.stop(a, first, kill)
				assert.NilError(t, waiting.Wait())
				assert.Equal(t, second.Epoch(), first.Epoch()+1)
				assert.Assert(t, first.Check() != nil, "two holders at once")
				assert.Assert(t, taken.Sub(stopped) <= test.within, "%v", taken.Sub(stopped))
				err := r.store.Apply(ctx, table.LeasePriority, first.Fence())
				assert.Assert(t, fault.Is(err, fault.Conflict), "an old holder's write passed")
				assert.NilError(t, r.store.Apply(ctx, table.LeasePriority, second.Fence()))
			})
		})
	}
}

func TestRenewalAfterOutage(t *testing.T) {
	bubble(t, func(t *testing.T, r *rig, ctx context.Context) {
		a := r.contender("a")
		held := r.acquire(ctx, a)
		a.store.down.Store(true)
		time.Sleep(time.Hour)
		assert.Assert(t, fault.Is(held.Check(), fault.Unavailable))
		a.store.down.Store(false)
		time.Sleep(5 * time.Second)
		assert.NilError(t, held.Check())
		assert.Equal(t, held.Epoch(), ident.Epoch(1))
	})
}

func TestLostAnswers(t *testing.T) {
	bubble(t, func(t *testing.T, r *rig, ctx context.Context) {
		a := r.contender("a")
		a.store.mute.Store(true)
		held := r.acquire(ctx, a)
		assert.Equal(t, held.Epoch(), ident.Epoch(1))
		time.Sleep(3 * time.Second)
		assert.NilError(t, held.Check())
		time.Sleep(time.Minute)
		assert.Assert(t, fault.Is(held.Check(), fault.Unavailable), "a lease was lengthened without an answer")
		a.store.mute.Store(false)
		time.Sleep(5 * time.Second)
		assert.NilError(t, held.Check())
	})
}

func TestLostIsTold(t *testing.T) {
	bubble(t, func(t *testing.T, r *rig, ctx context.Context) {
		a, b := r.contender("a"), r.contender("b")
		first := r.acquire(ctx, a)
		a.store.down.Store(true)
		second := r.acquire(ctx, b)
		a.store.down.Store(false)
		<-first.Lost()
		assert.Assert(t, fault.Is(first.Check(), fault.Fenced))
		assert.NilError(t, second.Check())
		holding, err := b.leases.Read(ctx, dc)
		assert.NilError(t, err)
		assert.Equal(t, holding.Holder, ident.Instance("b"))
	})
}
