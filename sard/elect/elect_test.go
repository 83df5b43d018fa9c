package elect

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
)

// rig is a store and candidates in virtual time.
type rig struct {
	t     *testing.T
	store *store.Memory
	group errgroup.Group
	stops []context.CancelFunc
	// safe counts the candidates that may act at the same time.
	safe atomic.Int32
}

// candidate is one process of an instance.
type candidate struct {
	store *links
	stop  context.CancelFunc
	held  atomic.Pointer[Lease]
}

// links is a candidate's own way to the store.
type links struct {
	store.Store
	away, lost atomic.Bool
}

// Apply makes a transaction unless the way is cut; its answer may be lost.
func (l *links) Apply(ctx context.Context, tx store.Tx) (store.Result, error) {
	if l.away.Load() {
		return store.Result{}, fault.New(fault.Unavailable, "apply", "store", "away")
	}
	result, err := l.Store.Apply(ctx, tx)
	if err == nil && l.lost.Load() {
		return store.Result{}, fault.New(fault.OutcomeUnknown, "apply", "store", "answer lost")
	}
	return result, err
}

// List reads a range unless the way is cut.
func (l *links) List(ctx context.Context, r store.Range) (store.Listing, error) {
	if l.away.Load() {
		return store.Listing{}, fault.New(fault.Unavailable, "list", "store", "away")
	}
	return l.Store.List(ctx, r)
}

// Feed follows a table unless the way is cut.
func (l *links) Feed(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Changes, error) {
	if l.away.Load() {
		return store.Changes{}, fault.New(fault.Unavailable, "feed", "store", "away")
	}
	return l.Store.Feed(ctx, table, after, wait)
}

func play(t *testing.T, test func(*rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &rig{t: t, store: &store.Memory{}}
		test(r)
		for _, stop := range r.stops {
			stop()
		}
		assert.NilError(t, r.group.Wait())
	})
}

// start runs a candidate that checks, while it holds the lease, that nobody else may act.
func (r *rig) start(instance ident.Instance, process string) *candidate {
	ctx, stop := context.WithCancel(r.t.Context())
	r.stops = append(r.stops, stop)
	c := &candidate{store: &links{Store: r.store}, stop: stop}
	runner := New(Config{Store: c.store, Instance: instance, ProcessID: process, Logger: hclog.NewNullLogger()})
	r.group.Go(func() error {
		return runner.Run(ctx, func(ctx context.Context, h *Lease) error { return r.act(ctx, c, h) })
	})
	return c
}

func (r *rig) act(ctx context.Context, c *candidate, h *Lease) error {
	c.held.Store(h)
	defer c.held.Store(nil)
	for clock.Sleep(ctx, 10*time.Millisecond) {
		if h.Check() != nil {
			continue
		}
		if r.safe.Add(1) > 1 {
			r.t.Error("two candidates may act at once")
		}
		clock.Sleep(ctx, time.Millisecond)
		r.safe.Add(-1)
	}
	return nil
}

// holds tells whether the candidate may act.
func (c *candidate) holds() bool {
	h := c.held.Load()
	return h != nil && h.Check() == nil
}

func TestOneOfManyHolds(t *testing.T) {
	play(t, func(r *rig) {
		var all []*candidate
		for _, name := range []ident.Instance{"a", "b", "c"} {
			all = append(all, r.start(name, "1"))
		}
		time.Sleep(10 * time.Second)
		holding := 0
		for _, c := range all {
			if c.holds() {
				holding++
			}
		}
		assert.Equal(t, holding, 1)
	})
}

func TestTakeover(t *testing.T) {
	tests := []struct {
		name string
		lose func(*candidate)
		// within is how long it may take until the other holds.
		within time.Duration
	}{
		{"released", func(c *candidate) { c.stop() }, 200 * time.Millisecond},
		{"cut off", func(c *candidate) { c.store.away.Store(true) }, DefaultTerm + time.Second},
		{"killed", func(c *candidate) { c.store.away.Store(true); c.stop() }, DefaultTerm + time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			play(t, func(r *rig) {
				first := r.start("a", "1")
				time.Sleep(time.Second)
				second := r.start("b", "1")
				time.Sleep(time.Second)
				assert.Assert(t, first.holds() && !second.holds())
				test.lose(first)
				time.Sleep(test.within)
				assert.Assert(t, second.holds())
				assert.Assert(t, !first.holds())
			})
		})
	}
}

// TestRestartedInstanceTakesOverAtOnce: an earlier process of the same instance is surely gone.
func TestRestartedInstanceTakesOverAtOnce(t *testing.T) {
	play(t, func(r *rig) {
		first := r.start("a", "1")
		time.Sleep(time.Second)
		first.store.away.Store(true)
		first.stop()
		second := r.start("a", "2")
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, second.holds())
	})
}

// TestLostAnswers: renewals without answers keep the lease but not the right to act; it comes back with the answers.
func TestLostAnswers(t *testing.T) {
	play(t, func(r *rig) {
		first := r.start("a", "1")
		time.Sleep(time.Second)
		r.start("b", "1")
		epoch := first.held.Load().Epoch()
		first.store.lost.Store(true)
		time.Sleep(5 * time.Second)
		assert.Assert(t, !first.holds())
		assert.Assert(t, first.held.Load().LapsedFor() > 0)
		first.store.lost.Store(false)
		time.Sleep(time.Second)
		assert.Assert(t, first.holds())
		assert.Equal(t, first.held.Load().Epoch(), epoch)
	})
}

// TestOutageForAll: nobody takes over while the store is away, and the holder goes on afterwards.
func TestOutageForAll(t *testing.T) {
	play(t, func(r *rig) {
		first, second := r.start("a", "1"), r.start("b", "1")
		time.Sleep(time.Second)
		if second.holds() {
			first, second = second, first
		}
		first.store.away.Store(true)
		second.store.away.Store(true)
		time.Sleep(time.Minute)
		assert.Assert(t, !first.holds() && !second.holds())
		first.store.away.Store(false)
		second.store.away.Store(false)
		time.Sleep(time.Second)
		assert.Assert(t, first.holds())
	})
}

// TestEpochsRise: each holder has a higher epoch than those before it.
func TestEpochsRise(t *testing.T) {
	play(t, func(r *rig) {
		last := ident.Epoch(0)
		for range 5 {
			c := r.start("a", time.Now().String())
			time.Sleep(time.Second)
			epoch := c.held.Load().Epoch()
			assert.Assert(t, epoch > last)
			last = epoch
			c.stop()
			time.Sleep(time.Second)
		}
	})
}
