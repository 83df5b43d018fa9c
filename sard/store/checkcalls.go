package store

import (
	"context"
	"errors"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/reach"
)

// Apply runs a transaction.
func (c *Check) Apply(ctx context.Context, tx Tx) (Result, error) {
	id := c.sent(txPartition(tx))
	result, err := c.store.Apply(WithArrivals(ctx, func() { c.arrived(id) }), tx)
	c.ended(id, err)
	return result, err
}

// txPartition returns the partition of a transaction, whose entries share one.
func txPartition(tx Tx) string {
	switch {
	case len(tx.Put) > 0:
		return tx.Put[0].Key.Partition
	case len(tx.Delete) > 0:
		return tx.Delete[0].Partition
	case len(tx.Preconditions) > 0:
		return tx.Preconditions[0].Key.Partition
	}
	return ""
}

// read is a read under way.
type read struct {
	partition string
	cancel    context.CancelCauseFunc
	// arriving is set once a part of the answer has arrived.
	arriving bool
}

// errSentBefore is the cause of the end of a read that was sent before its partition served again and is still unanswered.
// The store may not have got it.
var errSentBefore = errors.New("sent before the store served again")

// List returns the rows of a range.
func (c *Check) List(ctx context.Context, r Range) (Listing, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	id := c.sent(r.Partition)
	c.addRead(id, read{partition: r.Partition, cancel: cancel})
	listing, err := c.store.List(c.withArrivals(ctx, id), r)
	return listing, c.readEnded(ctx, id, err)
}

// Feed returns the changes to a table after a version, and waits for one if there are none.
func (c *Check) Feed(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	id := c.feedSent(wait)
	c.addRead(id, read{partition: c.config.MainPartition, cancel: cancel})
	changes, err := c.store.Feed(c.withArrivals(ctx, id), table, after, wait)
	return changes, c.readEnded(ctx, id, err)
}

// addRead adds a read under way.
func (c *Check) addRead(id reach.CallID, r read) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads[id] = r
}

// withArrivals returns a context whose read takes note of each part of its answer. An answer that is arriving is not silence,
// however long its transfer takes.
func (c *Check) withArrivals(ctx context.Context, id reach.CallID) context.Context {
	return WithArrivals(ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		r, ok := c.reads[id]
		if !ok {
			return
		}
		r.arriving = true
		c.reads[id] = r
		c.judged(func(now clock.Instant) { c.judge.Arrived(now, id) })
	})
}

// arrived takes note of a part of the answer to a transaction.
func (c *Check) arrived(id reach.CallID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.judged(func(now clock.Instant) { c.judge.Arrived(now, id) })
}

// readEnded takes note of the end of a read and returns its error.
func (c *Check) readEnded(ctx context.Context, id reach.CallID, err error) error {
	c.ended(id, err)
	if err != nil && errors.Is(context.Cause(ctx), errSentBefore) {
		// Callers that count failures leave cancelled calls out.
		return fault.Wrap(errors.Join(errSentBefore, context.Canceled), fault.OutcomeUnknown, "read", "store")
	}
	return err
}

// sent takes note of a call to a partition.
func (c *Check) sent(partition string) reach.CallID {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	c.lookAt(now.Add(reach.SuspicionDelay))
	return c.judge.Sent(now, reach.Scope(partition))
}

// feedSent takes note of a call that waits for a change.
func (c *Check) feedSent(wait time.Duration) reach.CallID {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	c.lookAt(now.Add(wait + reach.SuspicionDelay))
	return c.judge.FeedSent(now, wait)
}

// lookAt makes Run look at the calls under way at a time, or earlier. The caller must hold mu.
func (c *Check) lookAt(at clock.Instant) {
	if c.wakeAt == clock.Never || at < c.wakeAt {
		c.wakeRun()
	}
}

// ended takes note of the end of a call.
func (c *Check) ended(id reach.CallID, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.reads, id)
	c.judged(func(now clock.Instant) { c.judge.Ended(now, id, outcome(err)) })
}

// judged calls note, which tells the judge something, and lets those know whom it concerns. The caller must hold mu.
func (c *Check) judged(note func(now clock.Instant)) {
	now := clock.Now()
	wasReachable := c.judge.Reachable(now)
	note(now)
	c.report()
	if !wasReachable && c.judge.Reachable(now) {
		c.wakeWaiters()
	}
}

// outcome returns what an error says of the store.
func outcome(err error) reach.Outcome {
	switch {
	case err == nil:
		return reach.Answered
	case errors.Is(err, context.Canceled), errors.Is(err, errSentBefore):
		return reach.GivenUp
	}
	switch fault.KindOf(err) {
	case fault.OutcomeUnknown:
		return reach.Unanswered
	case fault.Unavailable:
		return reach.Refused
	case fault.Throttled:
		return reach.Throttled
	default:
		return reach.Answered
	}
}
