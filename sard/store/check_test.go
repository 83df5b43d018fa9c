package store_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/store"
)

// partlySilent is a Store that does not answer reads of one partition while silent is set.
type partlySilent struct {
	store.Store
	partition string
	silent    atomic.Bool
	reads     atomic.Int64
}

// List returns the rows of a range, or waits for the end of ctx.
func (s *partlySilent) List(ctx context.Context, r store.Range) (store.Listing, error) {
	if r.Partition != s.partition || !s.silent.Load() {
		return s.Store.List(ctx, r)
	}
	s.reads.Add(1)
	<-ctx.Done()
	return store.Listing{}, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "read rows", "store")
}

// TestCheckOfSilentPartition makes a partition silent under one read that its caller cancels late. The partition must be
// refused from then on, others not, without pressing the store, and be admitted soon after its return.
func TestCheckOfSilentPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &partlySilent{Store: &store.Memory{}, partition: "s0"}
		dropped, restores := 0, 0
		check := store.NewCheck(inner, store.CheckConfig{ProbeTable: "t", OnRestored: func() { restores++ }, DropIdle: func() { dropped++ }, Logger: hclog.NewNullLogger()})
		ctx, stop := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return check.Run(ctx) })
		read := func(partition string, timeout time.Duration) error {
			callCtx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			_, err := check.List(callCtx, store.Range{Table: "t", Partition: partition})
			return err
		}
		assert.NilError(t, read("s0", time.Second))
		assert.NilError(t, read("s1", time.Second))
		inner.silent.Store(true)
		assert.Assert(t, read("s0", 800*time.Millisecond) != nil)
		err := check.Admit("s0")
		assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
		err = check.AdmitCreation("s0")
		assert.Assert(t, fault.Is(err, fault.OutcomeUnknown), "%v", err)
		assert.NilError(t, check.Admit("s1"))
		assert.Assert(t, dropped > 0)
		waited := make(chan time.Time, 1)
		group.Go(func() error {
			assert.Check(t, check.Await(ctx, "s0"))
			waited <- time.Now()
			return nil
		})
		for range 100 {
			assert.NilError(t, read("s1", time.Second))
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, inner.reads.Load() < 45, "%d reads in 10 s", inner.reads.Load())
		group.Go(func() error {
			assert.Check(t, fault.Is(read("s0", 10*time.Second), fault.OutcomeUnknown), "a read from before the store's return")
			assert.Check(t, read("s0", time.Second))
			return nil
		})
		time.Sleep(100 * time.Millisecond)
		inner.silent.Store(false)
		restored := time.Now()
		assert.Assert(t, (<-waited).Sub(restored) < 300*time.Millisecond)
		assert.NilError(t, check.Admit("s0"))
		synctest.Wait()
		assert.Equal(t, restores, 1)
		assert.Assert(t, time.Since(restored) < 300*time.Millisecond)
		stop()
		assert.NilError(t, group.Wait())
	})
}

// arrivingConflicts is a Store whose answers to transactions arrive bit by bit for 2 s, and which answers nothing else.
type arrivingConflicts struct{ store.Store }

// Apply fails with a conflict.
func (arrivingConflicts) Apply(ctx context.Context, _ store.Tx) (store.Result, error) {
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		store.Arrived(ctx)
	}
	return store.Result{}, fault.New(fault.Conflict, "apply", "store", "row version precondition failed")
}

// List waits for the end of ctx.
func (arrivingConflicts) List(ctx context.Context, _ store.Range) (store.Listing, error) {
	<-ctx.Done()
	return store.Listing{}, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "read rows", "store")
}

// TestArrivingAnswerToTransactionIsNoSilence guards against partitions that count as closed while the store answers a
// transaction over a slow link.
func TestArrivingAnswerToTransactionIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := store.NewCheck(arrivingConflicts{}, store.CheckConfig{ProbeTable: "t", Logger: hclog.NewNullLogger()})
		ctx, stop := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return check.Run(ctx) })
		group.Go(func() error {
			_, err := check.Apply(ctx, store.Tx{Put: []store.Put{{Key: store.Key{Table: "t", Partition: "s0"}}}})
			assert.Check(t, fault.Is(err, fault.Conflict), "%v", err)
			return nil
		})
		for range 19 {
			time.Sleep(100 * time.Millisecond)
			assert.Check(t, check.Admit("s0"))
		}
		stop()
		assert.NilError(t, group.Wait())
	})
}
