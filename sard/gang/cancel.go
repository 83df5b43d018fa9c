package gang

import (
	"context"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// cancelReason is the reason recorded for cancelled jobs.
const cancelReason = "cancelled by its account"

// Cancel cancels jobs of the account and returns once the cancellation is durable. Jobs that have ended are unchanged.
func (s *Scheduler) Cancel(ctx context.Context, account ident.Account, ids []ident.Job) error {
	if err := s.checkServing("cancel jobs"); err != nil {
		return err
	}
	jobs, err := s.requestCancel(account, ids)
	if err != nil {
		return err
	}
	for _, j := range jobs {
		if err := s.awaitCancel(ctx, j); err != nil {
			return err
		}
	}
	return nil
}

// requestCancel starts the cancellation of all given jobs, or of none if one is not found.
func (s *Scheduler) requestCancel(account ident.Account, ids []ident.Job) ([]*job, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var jobs []*job
	for _, id := range ids {
		j, err := s.findJob(account, id)
		if err != nil {
			return nil, err
		}
		if !slices.Contains(jobs, j) {
			jobs = append(jobs, j)
		}
	}
	for _, j := range jobs {
		s.cancelJob(j)
	}
	return jobs, nil
}

// cancelJob starts the cancellation of a job that hasn't ended. The caller holds mu.
func (s *Scheduler) cancelJob(j *job) {
	switch {
	case j.record.State.Terminal() || j.ending:
	case j.attempt != nil:
		j.attempt.requestEnd(termination{result: place.Cancelled, reason: cancelReason})
	default:
		s.applyEvent(place.Cancel{Job: j.record.ID})
		s.endQueuedJob(j, ident.Cancelled, cancelReason)
	}
}

// endQueuedJob ends a job that has no attempt. The caller holds mu and has already informed the engine.
func (s *Scheduler) endQueuedJob(j *job, state ident.JobState, reason string) {
	if j.attempt != nil || j.ending {
		return
	}
	j.ending = true
	next := j.record
	next.State, next.Reason, next.Ended = state, reason, time.Now().Round(0)
	s.goTask(func(ctx context.Context) {
		_ = s.writeRecord(ctx, j, next)
	})
}

// awaitCancel waits until the table holds the job as ended or as Stopping.
func (s *Scheduler) awaitCancel(ctx context.Context, j *job) error {
	for {
		s.mu.Lock()
		state, changed := j.record.State, j.changed
		s.mu.Unlock()
		if state.Terminal() || state == ident.Stopping {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "cancel jobs", "table")
		case <-s.ctx.Done():
			return fault.New(fault.OutcomeUnknown, "cancel jobs", "", "the domain is no longer held").WithRetryAfter(takeoverRetryAfter)
		}
	}
}
