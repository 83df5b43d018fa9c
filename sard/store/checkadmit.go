package store

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/reach"
)

// Admit returns nil if a call to a partition may be answered, as far as is known, and else an error of kind Unavailable
// that says when to try again.
func (c *Check) Admit(partition string) error {
	return c.admit(partition, func(reach.Reason) fault.Kind { return fault.Unavailable })
}

// AdmitCreation is Admit for a write that may repeat one of another process. Its error is of kind OutcomeUnknown if the
// store may have taken in writes without an answer, so that the other one may still take effect.
func (c *Check) AdmitCreation(partition string) error {
	return c.admit(partition, func(reason reach.Reason) fault.Kind {
		if reason == reach.Silent || reason == reach.Broken {
			return fault.OutcomeUnknown
		}
		return fault.Unavailable
	})
}

// admit is Admit with an error of the kind that follows from the reason.
func (c *Check) admit(partition string, kind func(reach.Reason) fault.Kind) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.judge.Decide(clock.Now(), reach.Scope(partition))
	if !v.Refuse {
		return nil
	}
	c.metrics.refusals.WithLabelValues(v.Reason.String()).Inc()
	return fault.New(kind(v.Reason), "reach", "store", "partition %q is closed (%v) for %v", partition, v.Reason,
		v.Lasted.Truncate(time.Millisecond)).WithRetryAfter(v.RetryAfter)
}

// Closed reports whether Admit would fail.
func (c *Check) Closed(partition string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.judge.Decide(clock.Now(), reach.Scope(partition)).Refuse
}

// Await waits until a call to a partition may be answered. It returns false if ctx ends before.
func (c *Check) Await(ctx context.Context, partition string) bool {
	for {
		c.mu.Lock()
		restored := c.restored
		c.mu.Unlock()
		if !c.Closed(partition) {
			return true
		}
		select {
		case <-restored:
		case <-ctx.Done():
			return false
		}
	}
}

// Reachable reports whether the store answers this process at all, as far as is known.
func (c *Check) Reachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.judge.Reachable(clock.Now())
}

// sinceAnswer returns the time since a call was last answered.
func (c *Check) sinceAnswer() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.judge.SinceAnswer(clock.Now())
}
