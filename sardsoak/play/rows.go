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

// storeTrouble is what the store does to the calls of one instance. The zero value serves them.
type storeTrouble struct {
	// Busy refuses all calls, and Throttled those shares of them.
	Busy      bool
	Throttled float64
	// Lost is the share of writes that take effect without an answer, Late of those that do so seconds later.
	Lost, Late float64
	// Slow is the time that each call takes longer.
	Slow time.Duration
}

// lateMost is the most by which a write takes effect late.
const lateMost = 6 * time.Second

// rows is the store as one instance sees it.
type rows struct {
	memory *store.Memory
	group  func(func() error)

	mu      sync.Mutex
	trouble storeTrouble
	draw    *rand.Rand
	// ledAt is when the instance last wrote the lease.
	ledAt time.Time
}

func (r *rows) set(t storeTrouble) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trouble = t
}

// led returns when the instance last wrote the lease.
func (r *rows) led() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledAt
}

// chance tells whether something of a probability happens.
func (r *rows) chance(p float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draw.Float64() < p
}

// admit delays or refuses a call.
func (r *rows) admit(ctx context.Context) (storeTrouble, error) {
	r.mu.Lock()
	t := r.trouble
	r.mu.Unlock()
	if t.Slow > 0 && !clock.Sleep(ctx, t.Slow) {
		return t, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "call", "store")
	}
	if t.Busy {
		return t, fault.New(fault.Unavailable, "call", "store", "played")
	}
	if r.chance(t.Throttled) {
		return t, fault.New(fault.Throttled, "call", "store", "played")
	}
	return t, nil
}

// Apply makes a transaction.
func (r *rows) Apply(ctx context.Context, tx store.Tx) (store.Result, error) {
	t, err := r.admit(ctx)
	if err != nil {
		return store.Result{}, err
	}
	if r.chance(t.Late) {
		r.mu.Lock()
		wait := time.Duration(r.draw.Int64N(int64(lateMost)))
		r.mu.Unlock()
		r.group(func() error {
			clock.Sleep(context.WithoutCancel(ctx), wait)
			// Whether its conditions still hold is nobody's concern any more.
			_, _ = r.memory.Apply(context.WithoutCancel(ctx), tx)
			return nil
		})
		return store.Result{}, fault.New(fault.OutcomeUnknown, "apply", "store", "played")
	}
	result, err := r.memory.Apply(ctx, tx)
	if err == nil && len(tx.Put) > 0 && tx.Put[0].Key.Table == elect.TableName {
		r.mu.Lock()
		r.ledAt = time.Now()
		r.mu.Unlock()
	}
	if r.chance(t.Lost) {
		return store.Result{}, fault.New(fault.OutcomeUnknown, "apply", "store", "played")
	}
	return result, err
}

// List reads a range.
func (r *rows) List(ctx context.Context, want store.Range) (store.Listing, error) {
	if _, err := r.admit(ctx); err != nil {
		return store.Listing{}, err
	}
	return r.memory.List(ctx, want)
}

// Feed follows a table.
func (r *rows) Feed(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Changes, error) {
	if _, err := r.admit(ctx); err != nil {
		return store.Changes{}, err
	}
	return r.memory.Feed(ctx, table, after, wait)
}
