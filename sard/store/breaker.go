package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
)

const (
	// failuresToOpen is the number of consecutive failures after which a Breaker limits background calls.
	failuresToOpen = 3
	// minTryPause and maxTryPause limit the pause between background calls while the store fails. It doubles with each
	// failure. The longest pause bounds how much later the end of an outage is noticed.
	minTryPause = 100 * time.Millisecond
	maxTryPause = 400 * time.Millisecond
	// jitterPercent is by how much a pause varies at random, so that instances do not call at the same time.
	jitterPercent = 25
)

// Breaker is a Store that passes calls on to another one and notices when that one fails. All background calls of a
// process then share one sequence of tries with growing pauses, until any call succeeds.
type Breaker struct {
	store Store

	mu       sync.Mutex
	failures int
	// nextTry is when the next background call may be made while the store fails, and pause the time to the one after.
	nextTry clock.Instant
	pause   time.Duration
	// restored is closed when the store serves again; it is nil while the store is not known to fail.
	restored chan struct{}
}

// NewBreaker returns a Breaker for a store.
func NewBreaker(store Store) *Breaker {
	return &Breaker{store: store}
}

// Apply runs a transaction.
func (b *Breaker) Apply(ctx context.Context, tx Tx) (Result, error) {
	result, err := b.store.Apply(ctx, tx)
	b.observe(err)
	return result, err
}

// List returns the rows of a range.
func (b *Breaker) List(ctx context.Context, r Range) (Listing, error) {
	listing, err := b.store.List(ctx, r)
	b.observe(err)
	return listing, err
}

// Feed returns the changes to a table after a version, and waits for one if there are none.
func (b *Breaker) Feed(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error) {
	changes, err := b.store.Feed(ctx, table, after, wait)
	b.observe(err)
	return changes, err
}

// Background returns a Store for calls that are repeated until they succeed. While the store fails, its reads wait for
// their turn, and fail with kind Unavailable if their context ends before.
func (b *Breaker) Background() Store {
	return background{b}
}

// background is the Store that Breaker.Background returns. Its transactions are not held up.
type background struct{ *Breaker }

// List returns the rows of a range.
func (b background) List(ctx context.Context, r Range) (Listing, error) {
	if err := b.await(ctx); err != nil {
		return Listing{}, err
	}
	return b.Breaker.List(ctx, r)
}

// Feed returns the changes to a table after a version, and waits for one if there are none.
func (b background) Feed(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error) {
	if err := b.await(ctx); err != nil {
		return Changes{}, err
	}
	return b.Breaker.Feed(ctx, table, after, wait)
}

// await returns nil when a background call may be made.
func (b *Breaker) await(ctx context.Context) error {
	for {
		wait, restored := b.take()
		if wait <= 0 {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-restored:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fault.Wrap(ctx.Err(), fault.Unavailable, "wait for store", "store")
		}
		timer.Stop()
	}
}

// take takes the next background call if one is due. Otherwise, it returns the time until the next one, and a channel
// that is closed when the store serves again.
func (b *Breaker) take() (wait time.Duration, restored <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.restored == nil {
		return 0, nil
	}
	if wait := b.nextTry.Sub(clock.Now()); wait > 0 {
		return wait, b.restored
	}
	b.scheduleTry()
	return 0, nil
}

// scheduleTry sets the time of the next background call. The caller must hold mu.
func (b *Breaker) scheduleTry() {
	jitter := 100 - jitterPercent + rand.IntN(2*jitterPercent+1) //nolint:gosec // The jitter needs no secrecy.
	b.nextTry = clock.Now().Add(b.pause * time.Duration(jitter) / 100)
}

// observe takes note of the result of a call.
func (b *Breaker) observe(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !fault.Is(err, fault.Unavailable) && !fault.Is(err, fault.Throttled) && !fault.Is(err, fault.OutcomeUnknown) {
		b.close()
		return
	}
	b.failures++
	if b.failures < failuresToOpen {
		return
	}
	if b.restored == nil {
		b.restored, b.pause = make(chan struct{}), minTryPause
		b.scheduleTry()
		return
	}
	b.pause = min(2*b.pause, maxTryPause)
}

// Restore lets all background calls pass again, because the store is known to serve.
func (b *Breaker) Restore() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.close()
}

// close lets all background calls pass again. The caller must hold mu.
func (b *Breaker) close() {
	b.failures = 0
	if b.restored != nil {
		close(b.restored)
		b.restored = nil
	}
}
