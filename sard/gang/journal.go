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
	// writeTimeout bounds one call of the table.
	writeTimeout = 10 * time.Second
	// writePause is the pause before the table is tried again.
	writePause = 500 * time.Millisecond
	// outageRetryAfter is what callers are told when the table can't be written.
	outageRetryAfter = 5 * time.Second
)

// change is a set of writes that take effect together.
type change struct {
	writes []table.Write
	// patient changes are tried until they land; others fail at once when they surely did not.
	patient bool
	// uncertain tells that an earlier try may have taken effect.
	uncertain bool
	done      chan error
}

// journal groups the domain's changes into batches, each under the fence of the domain lease.
type journal struct {
	store table.Store
	held  *lease.Lease
	// onBatch gets the number of writes of each batch that is sent.
	onBatch func(writes int)

	wake chan struct{}

	mu     sync.Mutex
	queue  []*change
	closed bool
}

func newJournal(store table.Store, held *lease.Lease, onBatch func(int)) *journal {
	return &journal{store: store, held: held, onBatch: onBatch, wake: make(chan struct{}, 1)}
}

// commit makes the writes and waits for their result. Its errors have the kinds of table.Store; Fenced tells that
// the domain lease is lost. When ctx ends first the outcome is unknown.
func (j *journal) commit(ctx context.Context, patient bool, writes ...table.Write) error {
	c := &change{writes: writes, patient: patient, done: make(chan error, 1)}
	j.mu.Lock()
	if j.closed {
		j.mu.Unlock()
		return fault.New(fault.Fenced, "write domain", "table", "the domain is given up")
	}
	j.queue = append(j.queue, c)
	j.mu.Unlock()
	poke(j.wake)
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "write domain", "table")
	}
}

// run writes batches until ctx ends. Changes that are left then fail as Fenced or, when they may have taken
// effect, as OutcomeUnknown.
func (j *journal) run(ctx context.Context) {
	for ctx.Err() == nil {
		batch := j.take()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
			case <-j.wake:
			}
			continue
		}
		j.flush(ctx, batch)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.closed = true
	for _, c := range j.queue {
		c.fail("the domain is given up")
	}
	j.queue = nil
}

// take removes as many changes from the queue as fit into one batch beside the fence. No key is written twice in
// a batch.
func (j *journal) take() []*change {
	j.mu.Lock()
	defer j.mu.Unlock()
	written := map[table.Key]bool{}
	n := 0
	for n < len(j.queue) && fits(written, j.queue[n]) {
		n++
	}
	batch := j.queue[:n:n]
	j.queue = j.queue[n:]
	return batch
}

// fits adds the keys of a change to those of a batch, or tells that they don't fit.
func fits(written map[table.Key]bool, c *change) bool {
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

func (j *journal) flush(ctx context.Context, batch []*change) {
	err := j.send(ctx, batch)
	switch {
	case err == nil:
		finish(batch, nil)
	case fault.Is(err, fault.Conflict) && len(batch) > 1:
		for _, c := range batch {
			j.flush(ctx, []*change{c})
		}
	case fault.Is(err, fault.Conflict):
		j.settle(ctx, batch[0], err)
	default:
		j.again(ctx, batch, err)
	}
}

func (j *journal) send(ctx context.Context, batch []*change) error {
	writes := []table.Write{j.held.Fence()}
	for _, c := range batch {
		writes = append(writes, c.writes...)
	}
	j.onBatch(len(writes) - 1)
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return j.store.Apply(ctx, table.DecisionPriority, writes...)
}

// settle resolves a single change whose conditions did not hold: an earlier try of it took effect, the lease is
// lost, or the change lost against another write.
func (j *journal) settle(ctx context.Context, c *change, cause error) {
	if c.uncertain {
		landed, err := j.landed(ctx, c)
		switch {
		case err != nil:
			j.again(ctx, []*change{c}, err)
			return
		case landed:
			c.done <- nil
			return
		}
	}
	if err := j.fenced(ctx); err != nil {
		if fault.Is(err, fault.Fenced) {
			j.held.MarkLost()
			c.done <- err
			return
		}
		j.again(ctx, []*change{c}, err)
		return
	}
	c.done <- cause
}

// landed reads back whether a change took effect. Nobody else writes the domain's items under this epoch.
func (j *journal) landed(ctx context.Context, c *change) (bool, error) {
	for _, w := range c.writes {
		key, _ := table.KeyAndCondition(w)
		item, err := j.store.Get(ctx, table.DecisionPriority, key)
		missing := fault.Is(err, fault.NotFound)
		if err != nil && !missing {
			return false, err
		}
		if !shows(w, item, missing) {
			return false, nil
		}
	}
	return true, nil
}

// shows tells whether an item is as a write has left it.
func shows(w table.Write, item table.Item, missing bool) bool {
	switch w := w.(type) {
	case table.Put:
		return !missing && bytes.Equal(item.Body, w.Body)
	case table.Delete:
		return missing
	}
	return true
}

// fenced fails with Fenced when the lease is at another epoch.
func (j *journal) fenced(ctx context.Context) error {
	fence := j.held.Fence()
	item, err := j.store.Get(ctx, table.LeasePriority, fence.Key)
	if err != nil {
		return err
	}
	if item.Epoch != j.held.Epoch() {
		return fault.New(fault.Fenced, "write domain", "table", "epoch %d is superseded by %d", j.held.Epoch(), item.Epoch)
	}
	return nil
}

// again queues changes for another try after a pause, but for those that need not wait.
func (j *journal) again(ctx context.Context, batch []*change, cause error) {
	var keep []*change
	for _, c := range batch {
		c.uncertain = c.uncertain || fault.Is(cause, fault.OutcomeUnknown)
		if c.patient || c.uncertain {
			keep = append(keep, c)
			continue
		}
		c.done <- fault.Wrap(cause, fault.Unavailable, "write domain", "table").WithRetryAfter(outageRetryAfter)
	}
	j.mu.Lock()
	j.queue = append(keep, j.queue...)
	j.mu.Unlock()
	clock.Sleep(ctx, writePause)
}

func (c *change) fail(message string) {
	kind := fault.Fenced
	if c.uncertain {
		kind = fault.OutcomeUnknown
	}
	c.done <- fault.New(kind, "write domain", "table", "%s", message)
}

func finish(batch []*change, err error) {
	for _, c := range batch {
		c.done <- err
	}
}

// poke wakes the reader of a channel with one place.
func poke(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
