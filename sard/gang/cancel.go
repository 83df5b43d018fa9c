package gang

import (
	"context"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// cancelReason is the reason of cancelled jobs.
const cancelReason = "cancelled by its account"

// Cancel ends jobs of the account and returns when that is durable. Jobs that have ended stay as they are.
func (d *Scheduler) Cancel(ctx context.Context, account ident.Account, ids []ident.Job) error {
	if err := d.serving("cancel jobs"); err != nil {
		return err
	}
	jobs, err := d.cancelAll(account, ids)
	if err != nil {
		return err
	}
	for _, j := range jobs {
		if err := d.awaitCancel(ctx, j); err != nil {
			return err
		}
	}
	return nil
}

// cancelAll asks for the end of each job, or of none when one is not found.
func (d *Scheduler) cancelAll(account ident.Account, ids []ident.Job) ([]*job, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var jobs []*job
	for _, id := range ids {
		j, err := d.find(account, id)
		if err != nil {
			return nil, err
		}
		if !slices.Contains(jobs, j) {
			jobs = append(jobs, j)
		}
	}
	for _, j := range jobs {
		d.cancel(j)
	}
	return jobs, nil
}

// cancel ends a job. The caller holds mu.
func (d *Scheduler) cancel(j *job) {
	switch {
	case j.record.State.Terminal() || j.busy:
	case j.attempt != nil:
		j.attempt.request(ending{result: place.Cancelled, reason: cancelReason})
	default:
		d.apply(place.Cancel{Job: j.record.ID})
		d.finishQueued(j, ident.Cancelled, cancelReason)
	}
}

// finishQueued ends a job that has no attempt. The caller holds mu and has told the engine.
func (d *Scheduler) finishQueued(j *job, state ident.JobState, reason string) {
	if j.attempt != nil || j.busy {
		return
	}
	j.busy = true
	next := j.record
	next.State, next.Reason, next.Ended = state, reason, time.Now().Round(0)
	d.start(func(ctx context.Context) {
		_ = d.write(ctx, j, next)
	})
}

// awaitCancel waits until the end of a job, or the decision to end it, is durable.
func (d *Scheduler) awaitCancel(ctx context.Context, j *job) error {
	for {
		d.mu.Lock()
		state, changed := j.record.State, j.changed
		d.mu.Unlock()
		if state.Terminal() || state == ident.Stopping {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "cancel jobs", "table")
		case <-d.ctx.Done():
			return fault.New(fault.OutcomeUnknown, "cancel jobs", "", "the domain was given up").WithRetryAfter(takeoverRetryAfter)
		}
	}
}
