package table

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// writeRequest is a batch of writes, encoded as a request of one API operation.
type writeRequest interface {
	operation() operation
	// itemCount returns the number of items that count against the rate limit.
	itemCount() int
	// key returns the key of one of the items.
	key() Key
	send(ctx context.Context) error
	// checkOutcome checks whether a write with an unknown outcome took effect. Cause is the error of the last attempt.
	checkOutcome(ctx context.Context, cause error) outcome
}

// Apply applies all writes of a batch or none. If the response to a write is lost, Apply determines the outcome by reading
// the item back or by sending the transaction again with the same token.
func (c *Client) Apply(ctx context.Context, priority Priority, batch ...Write) error {
	if err := validateBatch(batch); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	w := c.newRequest(batch, c.newToken())
	if err := c.probe(ctx, priority, w.key()); err != nil {
		return err
	}
	err := c.write(ctx, priority, w)
	c.noteResult(err)
	return err
}

// newRequest encodes a batch. A single put with an AtRevision condition uses PutItem, because its outcome can be determined
// by reading the item. All other batches use a transaction, which the service recognises when it is sent again.
func (c *Client) newRequest(batch []Write, token ident.WriteToken) writeRequest {
	if put, ok := batch[0].(Put); ok && len(batch) == 1 {
		if at, ok := put.If.(AtRevision); ok {
			return &putRequest{client: c, put: put, revision: at.Revision, token: token}
		}
	}
	return newTransactRequest(c, batch, token)
}

// probe reads an item if the service did not respond to the last call, and fails with Unavailable if it still does not.
// The write is then not sent.
func (c *Client) probe(ctx context.Context, priority Priority, key Key) error {
	if !c.unresponsive.Load() {
		return nil
	}
	if err := c.reads.wait(ctx, priority, 1); err != nil {
		return err
	}
	err := c.attempt(ctx, opGet, func(ctx context.Context) error {
		_, err := c.getItem(ctx, key, true)
		return err
	})
	if fault.Is(err, fault.Unavailable) || fault.Is(err, fault.OutcomeUnknown) {
		return fault.Wrap(err, fault.Unavailable, "probe before write", serviceName)
	}
	c.unresponsive.Store(false)
	return nil
}

// write sends a write until its outcome is known, its attempts are used up or ctx ends.
func (c *Client) write(ctx context.Context, priority Priority, w writeRequest) error {
	for attempts := 1; ; attempts++ {
		err := c.send(ctx, priority, w)
		if fault.Is(err, fault.OutcomeUnknown) {
			return c.resolveUnknown(ctx, priority, w, attempts, err)
		}
		if !retryable(err) || !c.waitRetry(ctx, attempts) {
			return err
		}
	}
}

// send makes a single attempt of a write. It sends nothing after the deadline of ctx.
func (c *Client) send(ctx context.Context, priority Priority, w writeRequest) error {
	if err := c.writes.wait(ctx, priority, w.itemCount()); err != nil {
		return err
	}
	if deadlinePassed(ctx) {
		return fault.New(fault.Unavailable, string(w.operation()), serviceName, "deadline exceeded before the write was sent")
	}
	return c.attempt(ctx, w.operation(), w.send)
}

// deadlinePassed reports whether ctx has ended. It also compares the deadline with the clock, because the timer of ctx may
// not have fired yet after the process was paused.
func deadlinePassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// resolveUnknown determines the outcome of a write that was sent without receiving a result. It sends the write again only
// after checkOutcome reported that it has not taken effect so far.
func (c *Client) resolveUnknown(ctx context.Context, priority Priority, w writeRequest, attempts int, unknown error) error {
	cause := unknown
	for ; ; attempts++ {
		result := c.checkOutcome(ctx, w, cause)
		switch result {
		case outcomeApplied:
			return nil
		case outcomeConflict:
			return fault.Wrap(cause, fault.Conflict, string(w.operation()), serviceName)
		case outcomeOverwritten:
			return unknown
		case outcomeNotApplied, outcomeReadFailed:
		}
		if !c.waitRetry(ctx, attempts) {
			return unknown
		}
		if result == outcomeReadFailed {
			continue
		}
		if cause = c.send(ctx, priority, w); cause == nil {
			return nil
		}
	}
}

// checkOutcome checks a write with an unknown outcome, and counts and logs the result.
func (c *Client) checkOutcome(ctx context.Context, w writeRequest, cause error) outcome {
	result := w.checkOutcome(ctx, cause)
	c.metrics.outcomes.WithLabelValues(string(result)).Inc()
	c.config.Logger.Warn("write without a result was read back", "Operation", string(w.operation()),
		"Partition", w.key().Partition, "Sort", w.key().Sort, "Verdict", string(result), "Cause", cause)
	return result
}
