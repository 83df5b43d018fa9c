package gang

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/lease"
	"github.com/sardineline/sardineline/sard/table"
)

const (
	// writeTimeout bounds one write to the table.
	writeTimeout = 10 * time.Second
	// tableRetryInterval is the delay before a failed call of the table is repeated.
	tableRetryInterval = 500 * time.Millisecond
	// unavailableRetryAfter is the retry delay returned to callers while the table can't be written.
	unavailableRetryAfter = 5 * time.Second
)

// pendingChange is a set of writes that must be applied atomically.
type pendingChange struct {
	writes []table.Write
	// retryUntilApplied requests retries until the change is applied. Without it, the change fails as soon as it is
	// known not to have been applied.
	retryUntilApplied bool
	// mayHaveApplied is set when an earlier try may have taken effect.
	mayHaveApplied bool
	result         chan error
}

// batchWriter combines the changes of a domain's items in the table into batches. Each batch is conditional on the
// epoch of the domain lease, so that it fails after a takeover.
type batchWriter struct {
	store table.Store
	lease *lease.Lease
	// onBatch is called with the number of writes of each batch sent, not counting the condition.
	onBatch func(writes int)

	wake chan struct{}

	mu     sync.Mutex
	queue  []*pendingChange
	closed bool
}

// newBatchWriter returns a batchWriter; run must be started for it to write.
func newBatchWriter(store table.Store, held *lease.Lease, onBatch func(int)) *batchWriter {
	return &batchWriter{store: store, lease: held, onBatch: onBatch, wake: make(chan struct{}, 1)}
}

// commit applies writes to the table atomically and waits for the result. Errors have the kinds of table.Store; Fenced
// means that the domain lease is lost. If ctx ends first, the outcome is unknown. retryUntilApplied requests retries
// while the table is unavailable; without it, commit then fails as soon as the writes are known not to have been
// applied.
func (b *batchWriter) commit(ctx context.Context, retryUntilApplied bool, writes ...table.Write) error {
	c := &pendingChange{writes: writes, retryUntilApplied: retryUntilApplied, result: make(chan error, 1)}
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return fault.New(fault.Fenced, "write domain", "table", "the domain is no longer held")
	}
	b.queue = append(b.queue, c)
	b.mu.Unlock()
	notify(b.wake)
	select {
	case err := <-c.result:
		return err
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "write domain", "table")
	}
}

// run writes batches until ctx ends. The remaining changes then fail with OutcomeUnknown if they may have been applied,
// and with Fenced otherwise.
func (b *batchWriter) run(ctx context.Context) {
	for ctx.Err() == nil {
		batch := b.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
			case <-b.wake:
			}
			continue
		}
		b.flush(ctx, batch)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, c := range b.queue {
		c.fail("the domain is no longer held")
	}
	b.queue = nil
}

// nextBatch removes from the queue as many changes as fit into one batch with the lease condition. A batch never writes
// a key twice.
func (b *batchWriter) nextBatch() []*pendingChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	written := map[table.Key]bool{}
	n := 0
	for n < len(b.queue) && addToBatch(written, b.queue[n]) {
		n++
	}
	batch := b.queue[:n:n]
	b.queue = b.queue[n:]
	return batch
}

// addToBatch adds the keys of a change to those of a batch. It returns false if the change doesn't fit.
func addToBatch(written map[table.Key]bool, c *pendingChange) bool {
	if len(written)+len(c.writes) >= table.MaxBatchWrites {
		return false
	}
	for _, w := range c.writes {
		if key, _ := table.KeyAndCondition(w); written[key] {
			return false
		}
	}
	for _, w := range c.writes {
		key, _ := table.KeyAndCondition(w)
		written[key] = true
	}
	return true
}

// flush sends a batch and handles the result. If a condition fails, it sends each change separately to find out
// whose.
func (b *batchWriter) flush(ctx context.Context, batch []*pendingChange) {
	err := b.send(ctx, batch)
	switch {
	case err == nil:
		completeAll(batch, nil)
	case fault.Is(err, fault.Conflict) && len(batch) > 1:
		for _, c := range batch {
			b.flush(ctx, []*pendingChange{c})
		}
	case fault.Is(err, fault.Conflict):
		b.resolveConflict(ctx, batch[0], err)
	default:
		b.retryLater(ctx, batch, err)
	}
}

// send writes a batch on condition that the domain lease is still at this epoch.
func (b *batchWriter) send(ctx context.Context, batch []*pendingChange) error {
	writes := []table.Write{b.lease.Fence()}
	for _, c := range batch {
		writes = append(writes, c.writes...)
	}
	b.onBatch(len(writes) - 1)
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return b.store.Apply(ctx, table.DecisionPriority, writes...)
}

// resolveConflict determines why the conditions of a single change failed: an earlier try took effect, the lease is lost,
// or another write came first.
func (b *batchWriter) resolveConflict(ctx context.Context, c *pendingChange, cause error) {
	if c.mayHaveApplied {
		landed, err := b.wasApplied(ctx, c)
		switch {
		case err != nil:
			b.retryLater(ctx, []*pendingChange{c}, err)
			return
		case landed:
			c.result <- nil
			return
		}
	}
	if err := b.checkEpoch(ctx); err != nil {
		if fault.Is(err, fault.Fenced) {
			b.lease.MarkLost()
			c.result <- err
			return
		}
		b.retryLater(ctx, []*pendingChange{c}, err)
		return
	}
	c.result <- cause
}

// wasApplied reads the items of a change to find out whether it took effect. This is conclusive because nobody else
// writes the domain's items under this epoch.
func (b *batchWriter) wasApplied(ctx context.Context, c *pendingChange) (bool, error) {
	for _, w := range c.writes {
		key, _ := table.KeyAndCondition(w)
		item, err := b.store.Get(ctx, table.DecisionPriority, key)
		notFound := fault.Is(err, fault.NotFound)
		if err != nil && !notFound {
			return false, err
		}
		if !matchesItem(w, item, notFound) {
			return false, nil
		}
	}
	return true, nil
}

// matchesItem reports whether an item is in the state that a write leaves behind.
func matchesItem(w table.Write, item table.Item, missing bool) bool {
	switch w := w.(type) {
	case table.Put:
		return !missing && bytes.Equal(item.Body, w.Body)
	case table.Delete:
		return missing
	}
	return true
}

// checkEpoch fails with Fenced if the stored lease is at another epoch.
func (b *batchWriter) checkEpoch(ctx context.Context) error {
	fence := b.lease.Fence()
	item, err := b.store.Get(ctx, table.LeasePriority, fence.Key)
	if err != nil {
		return err
	}
	if item.Epoch != b.lease.Epoch() {
		return fault.New(fault.Fenced, "write domain", "table", "epoch %d is superseded by %d", b.lease.Epoch(), item.Epoch)
	}
	return nil
}

// retryLater queues changes for another try after a delay. Changes that must not be retried fail instead.
func (b *batchWriter) retryLater(ctx context.Context, batch []*pendingChange, cause error) {
	var retried []*pendingChange
	for _, c := range batch {
		c.mayHaveApplied = c.mayHaveApplied || fault.Is(cause, fault.OutcomeUnknown)
		if c.retryUntilApplied || c.mayHaveApplied {
			retried = append(retried, c)
			continue
		}
		c.result <- fault.Wrap(cause, fault.Unavailable, "write domain", "table").WithRetryAfter(unavailableRetryAfter)
	}
	b.mu.Lock()
	b.queue = append(retried, b.queue...)
	b.mu.Unlock()
	clock.Sleep(ctx, tableRetryInterval)
}

// fail reports to the caller of a change that it is not tried again. The error is of kind OutcomeUnknown if the change
// may have been applied, and Fenced otherwise.
func (c *pendingChange) fail(message string) {
	kind := fault.Fenced
	if c.mayHaveApplied {
		kind = fault.OutcomeUnknown
	}
	c.result <- fault.New(kind, "write domain", "table", "%s", message)
}

// completeAll reports the same result to the callers of all changes of a batch.
func completeAll(batch []*pendingChange, err error) {
	for _, c := range batch {
		c.result <- err
	}
}

// notify wakes the reader of a channel with capacity 1.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
