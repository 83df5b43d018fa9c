package play

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/elect"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/store"
)

// storeFaults are the faults of the store for the calls of one instance. The zero value has none.
type storeFaults struct {
	// Busy refuses all calls. Throttled is the share of calls that are throttled.
	Busy      bool
	Throttled float64
	// Lost is the share of writes that take effect without a response. Late is the share of writes that do so only
	// after a delay of up to maxLateDelay.
	Lost, Late float64
	// Slow is a delay added to each call.
	Slow time.Duration
}

// maxLateDelay is the longest delay of a late write.
const maxLateDelay = 6 * time.Second

// faultyStore is the store as one instance sees it, with injected faults.
type faultyStore struct {
	memory    *store.Memory
	startTask func(func() error)

	mu     sync.Mutex
	faults storeFaults
	rng    *rand.Rand
	// leaseWrittenAt is when the instance last wrote the lease.
	leaseWrittenAt time.Time
}

// setFaults replaces the faults that affect the instance's calls.
func (s *faultyStore) setFaults(faults storeFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// lastLeaseWrite returns when the instance last wrote the lease.
func (s *faultyStore) lastLeaseWrite() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseWrittenAt
}

// randomBool returns true with probability p.
func (s *faultyStore) randomBool(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

// applyCallFaults delays or refuses a call, and returns the current faults.
func (s *faultyStore) applyCallFaults(ctx context.Context) (storeFaults, error) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Slow > 0 && !clock.Sleep(ctx, faults.Slow) {
		return faults, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "call", "store")
	}
	if faults.Busy {
		return faults, fault.New(fault.Unavailable, "call", "store", "injected fault")
	}
	if s.randomBool(faults.Throttled) {
		return faults, fault.New(fault.Throttled, "call", "store", "injected fault")
	}
	return faults, nil
}

// Apply executes a transaction. It may fail although the transaction takes effect, now or later.
func (s *faultyStore) Apply(ctx context.Context, tx store.Tx) (store.Result, error) {
	faults, err := s.applyCallFaults(ctx)
	if err != nil {
		return store.Result{}, err
	}
	if s.randomBool(faults.Late) {
		s.mu.Lock()
		wait := time.Duration(s.rng.Int64N(int64(maxLateDelay)))
		s.mu.Unlock()
		s.startTask(func() error {
			clock.Sleep(context.WithoutCancel(ctx), wait)
			// The result is ignored: the caller was already told that the outcome is unknown.
			_, _ = s.memory.Apply(context.WithoutCancel(ctx), tx)
			return nil
		})
		return store.Result{}, fault.New(fault.OutcomeUnknown, "apply", "store", "injected fault")
	}
	result, err := s.memory.Apply(ctx, tx)
	if err == nil && len(tx.Put) > 0 && tx.Put[0].Key.Table == elect.TableName {
		s.mu.Lock()
		s.leaseWrittenAt = time.Now()
		s.mu.Unlock()
	}
	if s.randomBool(faults.Lost) {
		return store.Result{}, fault.New(fault.OutcomeUnknown, "apply", "store", "injected fault")
	}
	return result, err
}

// List reads a range of rows. It may be delayed or fail, depending on the faults.
func (s *faultyStore) List(ctx context.Context, want store.Range) (store.Listing, error) {
	if _, err := s.applyCallFaults(ctx); err != nil {
		return store.Listing{}, err
	}
	return s.memory.List(ctx, want)
}

// Feed returns the changes of a table. It may be delayed or fail, depending on the faults.
func (s *faultyStore) Feed(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Changes, error) {
	if _, err := s.applyCallFaults(ctx); err != nil {
		return store.Changes{}, err
	}
	return s.memory.Feed(ctx, table, after, wait)
}
