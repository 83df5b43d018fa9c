package gang

import (
	"context"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/worker"
)

// end stops an attempt everywhere and makes its result durable. When it returns, no part runs any more, or ctx has
// ended and a successor goes on.
func (a *attempt) end(ctx context.Context, e ending) {
	if !a.commitStopping(ctx, e) {
		return
	}
	checkpoint := a.checkpointAll(ctx, e)
	a.enter(stopping)
	a.each(ctx, func(ctx context.Context, s *share) *ending {
		a.stop(ctx, s)
		return nil
	})
	if e.result == place.Requeued && e.grace == 0 {
		clock.Sleep(ctx, requeuePause)
	}
	if ctx.Err() != nil {
		return
	}
	next, result, blamed := a.outcome(e, checkpoint)
	if a.domain.write(ctx, a.job, next) == nil {
		a.leave(result, blamed)
	}
}

// commitStopping makes a cancellation durable before anything is stopped, so that it outlives this holder.
func (a *attempt) commitStopping(ctx context.Context, e ending) bool {
	next := a.snapshot()
	if e.result != place.Cancelled || next.State == ident.Stopping {
		return true
	}
	next.State, next.Reason = ident.Stopping, e.reason
	return a.domain.write(ctx, a.job, next) == nil
}

// checkpointAll asks all parts for checkpoints. It returns the name of the gang's checkpoint, which is that of
// its first part; empty unless all parts have written theirs within the grace.
func (a *attempt) checkpointAll(ctx context.Context, e ending) string {
	if e.grace == 0 || !a.checkpointable() {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, e.grace)
	defer cancel()
	names := make([]string, len(a.shares))
	failed := a.each(ctx, func(ctx context.Context, s *share) *ending {
		req := worker.CheckpointRequest{Domain: a.domain.config.DataCentre, Epoch: a.domain.config.Lease.Epoch(), Part: s.part}
		reply, err := s.client().Checkpoint(ctx, req)
		if err != nil {
			a.domain.fail("checkpoint", err)
			return &ending{}
		}
		names[slices.Index(a.shares, s)] = reply.Checkpoint
		return nil
	})
	if failed != nil {
		return ""
	}
	return names[0]
}

func (a *attempt) checkpointable() bool {
	a.domain.mu.Lock()
	defer a.domain.mu.Unlock()
	return a.job.record.Spec.Checkpointable && a.phase == confirmed
}

func (s *share) client() worker.Client {
	d := s.attempt.domain
	d.mu.Lock()
	defer d.mu.Unlock()
	return s.member.client
}

// stop ends a part and returns when it has surely ended, or when ctx ends.
func (a *attempt) stop(ctx context.Context, s *share) {
	d := a.domain
	for ctx.Err() == nil && !a.settled(s) {
		err := a.stopOnce(ctx, s)
		if err == nil {
			continue
		}
		d.fail("stop", err)
		clock.Sleep(ctx, callPause)
	}
}

// settled tells whether a part has surely ended, also by the lapse of its leases.
func (a *attempt) settled(s *share) bool {
	a.domain.mu.Lock()
	defer a.domain.mu.Unlock()
	if s.ended() {
		return true
	}
	if s.lapsed(time.Now()) && (s.foreign || !s.lapse.IsZero()) {
		a.domain.log.Info("part lapsed", "Worker", s.member.name, "Job", s.part.Job, "Attempt", s.part.Attempt)
		s.gone = true
	}
	return s.gone
}

func (a *attempt) stopOnce(ctx context.Context, s *share) error {
	d := a.domain
	client := s.client()
	if client == nil {
		return fault.New(fault.Unavailable, "stop", worker.PeerName(s.member.name), "the worker has no address")
	}
	ctx, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	report, err := client.Stop(ctx, worker.StopRequest{Domain: d.config.DataCentre, Epoch: d.config.Lease.Epoch(), Part: s.part})
	d.mu.Lock()
	defer d.mu.Unlock()
	if fault.Is(err, fault.NotFound) {
		s.gone = true
		return nil
	}
	if err != nil {
		if s.lapse.IsZero() {
			// The reservation was never confirmed, so nothing can run; it lapses by itself.
			s.lapse = time.Now().Add(shortLease)
		}
		return err
	}
	if p, ok := reportOf(report, s.part); ok {
		s.raise(p)
	}
	s.gone = true
	return nil
}

// outcome gives the job's next record and the attempt's result.
func (a *attempt) outcome(e ending, checkpoint string) (record, place.Result, []ident.Worker) {
	d := a.domain
	d.mu.Lock()
	defer d.mu.Unlock()
	next := a.job.record
	if a.asked != nil && a.asked.result == place.Cancelled {
		e = *a.asked
	}
	next.Parts, next.Borrowed = nil, false
	next.Reason = e.reason
	if checkpoint != "" {
		next.Checkpoint = checkpoint
	}
	result := a.result(e, next)
	switch result {
	case place.Succeeded:
		next.State, next.Reason = ident.Succeeded, ""
	case place.Failed:
		next.State = ident.Failed
		if next.Spec.NotRepeated && e.result != place.Failed {
			next.Reason = "not repeated: " + e.reason
		}
	case place.Cancelled:
		next.State = ident.Cancelled
	case place.Requeued:
		next.State, next.Started = ident.Queued, time.Time{}
	}
	if next.State.Terminal() {
		next.Ended = time.Now().Round(0)
	}
	return next, result, e.blamed
}

// result is how the attempt ends the job or not. The caller holds mu.
func (a *attempt) result(e ending, next record) place.Result {
	done := 0
	for _, s := range a.shares {
		if s.state == ident.PartDone {
			done++
		}
	}
	switch {
	case done == len(a.shares):
		return place.Succeeded
	case e.result != place.Requeued:
		return e.result
	case next.Spec.NotRepeated && a.started:
		return place.Failed
	}
	return place.Requeued
}

// leave frees the attempt's shares and tells the engine. A cancellation that came during the last write is carried
// out on the requeued job.
func (a *attempt) leave(result place.Result, blamed []ident.Worker) {
	d := a.domain
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range a.shares {
		if !s.ended() {
			_ = d.breach("EndedEverywhere", s.part.Job, "the attempt would end while a part may run")
		}
		delete(s.member.shares, s)
	}
	a.job.attempt = nil
	cancelled := a.asked != nil && a.asked.result == place.Cancelled
	if result == place.Requeued && cancelled {
		d.apply(place.Ended{Job: a.job.record.ID, Attempt: a.number, Result: place.Cancelled})
		d.finishQueued(a.job, ident.Cancelled, cancelReason)
		return
	}
	d.log.Info("attempt ended", "Job", a.job.record.ID, "Attempt", a.number, "State", a.job.record.State, "Reason", a.job.record.Reason)
	d.apply(place.Ended{Job: a.job.record.ID, Attempt: a.number, Result: result, FailedWorkers: blamed})
}
