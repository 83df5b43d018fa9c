package table

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// sender sends a write in one form of the API. It is sealed.
type sender interface {
	op() operation
	// size is the number of items that the write counts for.
	size() int
	// key is an item that the write is about.
	key() Key
	send(ctx context.Context) error
	// settle tells what became of a write whose result is unknown. The last attempt ended with cause.
	settle(ctx context.Context, cause error) verdict
}

// Apply makes all writes of a batch or none. A write whose result was lost is read back; see DESIGN.md.
func (c *Client) Apply(ctx context.Context, priority Priority, batch ...Write) error {
	if err := check(batch); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	w := c.sender(batch, c.token())
	if err := c.probe(ctx, priority, w.key()); err != nil {
		return err
	}
	err := c.write(ctx, priority, w)
	c.note(err)
	return err
}

// sender picks the form of a batch. Only a put at a revision can be told apart by reading it back; all else goes
// as a transaction, which the service recognises when it is sent again.
func (c *Client) sender(batch []Write, token ident.WriteToken) sender {
	if put, ok := batch[0].(Put); ok && len(batch) == 1 {
		if at, ok := put.If.(AtRevision); ok {
			return &putSender{client: c, put: put, at: at.Revision, token: token}
		}
	}
	return newTransactSender(c, batch, token)
}

// probe refuses a write before it is sent while the service does not answer reads.
func (c *Client) probe(ctx context.Context, priority Priority, key Key) error {
	if !c.suspect.Load() {
		return nil
	}
	if err := c.reads.wait(ctx, priority, 1); err != nil {
		return err
	}
	err := c.attempt(ctx, opGet, func(ctx context.Context) error {
		_, err := c.getOnce(ctx, key, true)
		return err
	})
	if fault.Is(err, fault.Unavailable) || fault.Is(err, fault.OutcomeUnknown) {
		return fault.Wrap(err, fault.Unavailable, "probe before write", peerName)
	}
	c.suspect.Store(false)
	return nil
}

// write sends a write until its result is known, its attempts are used up or ctx ends.
func (c *Client) write(ctx context.Context, priority Priority, w sender) error {
	for tried := 1; ; tried++ {
		err := c.send(ctx, priority, w)
		if fault.Is(err, fault.OutcomeUnknown) {
			return c.resolve(ctx, priority, w, tried, err)
		}
		if !retryable(err) || !c.pause(ctx, tried) {
			return err
		}
	}
}

// send makes one attempt of a write. Nothing is sent once the time of ctx is over.
func (c *Client) send(ctx context.Context, priority Priority, w sender) error {
	if err := c.writes.wait(ctx, priority, w.size()); err != nil {
		return err
	}
	if over(ctx) {
		return fault.New(fault.Unavailable, string(w.op()), peerName, "time is over before the write was sent")
	}
	return c.attempt(ctx, w.op(), w.send)
}

// over tells whether ctx has ended, also when its timer has not fired yet because the process was paused.
func over(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// resolve finds out what became of a write that was sent and got no result. It is sent again only when reading
// back has told that it did not take effect so far.
func (c *Client) resolve(ctx context.Context, priority Priority, w sender, tried int, unknown error) error {
	cause := unknown
	for ; ; tried++ {
		v := c.settle(ctx, w, cause)
		switch v {
		case tookEffect:
			return nil
		case otherWon:
			return fault.Wrap(cause, fault.Conflict, string(w.op()), peerName)
		case overtaken:
			return unknown
		case notYet, unreadable:
		}
		if !c.pause(ctx, tried) {
			return unknown
		}
		if v == unreadable {
			continue
		}
		if cause = c.send(ctx, priority, w); cause == nil {
			return nil
		}
	}
}

func (c *Client) settle(ctx context.Context, w sender, cause error) verdict {
	v := w.settle(ctx, cause)
	c.metrics.settled.WithLabelValues(string(v)).Inc()
	c.config.Logger.Warn("write without a result was read back", "Operation", string(w.op()),
		"Partition", w.key().Partition, "Sort", w.key().Sort, "Verdict", string(v), "Cause", cause)
	return v
}
