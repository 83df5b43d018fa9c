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

// end stops all parts of an attempt and writes its result. When it returns, either no part is running or ctx has ended;
// in the latter case the next lease holder continues.
func (a *attempt) end(ctx context.Context, e termination) {
	if !a.commitStopping(ctx, e) {
		return
	}
	checkpoint := a.checkpointAll(ctx, e)
	a.setPhase(phaseStopping)
	a.forEachPart(ctx, func(ctx context.Context, p *attemptPart) *termination {
		a.stopPart(ctx, p)
		return nil
	})
	if e.result == place.Requeued && e.checkpointGrace == 0 {
		clock.Sleep(ctx, requeueDelay)
	}
	if ctx.Err() != nil {
		return
	}
	next, result, failedWorkers := a.finalRecord(e, checkpoint)
	if a.scheduler.writeRecord(ctx, a.job, next) == nil {
		a.finish(result, failedWorkers)
	}
}

// commitStopping writes a job that is being cancelled as Stopping to the table before any part is stopped, so that the
// cancellation survives a takeover. For other terminations it does nothing. It reports whether the attempt can be
// ended.
func (a *attempt) commitStopping(ctx context.Context, e termination) bool {
	next := a.snapshot()
	if e.result != place.Cancelled || next.State == ident.Stopping {
		return true
	}
	next.State, next.Reason = ident.Stopping, e.reason
	return a.scheduler.writeRecord(ctx, a.job, next) == nil
}

// checkpointAll asks the workers to write checkpoints of all parts. It returns the name of the first part's checkpoint,
// which stands for the whole gang, or "" unless all parts have written theirs within the grace period.
func (a *attempt) checkpointAll(ctx context.Context, e termination) string {
	if e.checkpointGrace == 0 || !a.checkpointable() {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, e.checkpointGrace)
	defer cancel()
	names := make([]string, len(a.parts))
	failed := a.forEachPart(ctx, func(ctx context.Context, p *attemptPart) *termination {
		req := worker.CheckpointRequest{Domain: a.scheduler.config.DataCentre, Epoch: a.scheduler.config.Lease.Epoch(), Part: p.id}
		reply, err := p.client().Checkpoint(ctx, req)
		if err != nil {
			a.scheduler.handleCallError("checkpoint", err)
			return &termination{}
		}
		names[slices.Index(a.parts, p)] = reply.Checkpoint
		return nil
	})
	if failed != nil {
		return ""
	}
	return names[0]
}

// checkpointable reports whether the parts can be asked for checkpoints.
func (a *attempt) checkpointable() bool {
	a.scheduler.mu.Lock()
	defer a.scheduler.mu.Unlock()
	return a.job.record.Spec.Checkpointable && a.phase == phaseConfirmed
}

// client returns the client of the part's worker; nil if the worker's address is unknown.
func (p *attemptPart) client() worker.Client {
	s := p.attempt.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.worker.client
}

// stopPart stops a part and returns once it is known to have ended, or when ctx ends.
func (a *attempt) stopPart(ctx context.Context, p *attemptPart) {
	s := a.scheduler
	for ctx.Err() == nil && !a.partEnded(p) {
		err := a.tryStop(ctx, p)
		if err == nil {
			continue
		}
		s.handleCallError("stop", err)
		clock.Sleep(ctx, callRetryInterval)
	}
}

// partEnded reports whether a part is known to have ended. It also marks the part as ended if its leases have expired.
func (a *attempt) partEnded(p *attemptPart) bool {
	a.scheduler.mu.Lock()
	defer a.scheduler.mu.Unlock()
	if p.ended() {
		return true
	}
	if p.leasesLapsed(time.Now()) && (p.unfenced || !p.leaseEnd.IsZero()) {
		a.scheduler.log.Info("part lapsed", "Worker", p.worker.name, "Job", p.id.Job, "Attempt", p.id.Attempt)
		p.gone = true
	}
	return p.gone
}

// tryStop asks the worker once to stop a part.
func (a *attempt) tryStop(ctx context.Context, p *attemptPart) error {
	s := a.scheduler
	client := p.client()
	if client == nil {
		return fault.New(fault.Unavailable, "stop", worker.PeerName(p.worker.name), "the worker has no address")
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	report, err := client.Stop(ctx, worker.StopRequest{Domain: s.config.DataCentre, Epoch: s.config.Lease.Epoch(), Part: p.id})
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault.Is(err, fault.NotFound) {
		p.gone = true
		return nil
	}
	if err != nil {
		if p.leaseEnd.IsZero() {
			// The reservation was never confirmed, so the part can't be running, and the reservation expires by itself.
			p.leaseEnd = time.Now().Add(shortLease)
		}
		return err
	}
	if reported, ok := findReport(report, p.id); ok {
		p.advance(reported)
	}
	p.gone = true
	return nil
}

// finalRecord returns the record of the job to be stored when the attempt has ended, the result of the attempt, and the
// workers to which a failure is attributed.
func (a *attempt) finalRecord(e termination, checkpoint string) (record, place.Result, []ident.Worker) {
	s := a.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	next := a.job.record
	if a.endRequest != nil && a.endRequest.result == place.Cancelled {
		e = *a.endRequest
	}
	next.Parts, next.Borrowed = nil, false
	next.Reason = e.reason
	if checkpoint != "" {
		next.Checkpoint = checkpoint
	}
	result := a.finalResult(e, next)
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
	return next, result, e.failedWorkers
}

// finalResult determines whether the attempt ends the job, and how. The caller holds mu.
func (a *attempt) finalResult(e termination, next record) place.Result {
	done := 0
	for _, p := range a.parts {
		if p.state == ident.PartDone {
			done++
		}
	}
	switch {
	case done == len(a.parts):
		return place.Succeeded
	case e.result != place.Requeued:
		return e.result
	case next.Spec.NotRepeated && a.mayHaveStarted:
		return place.Failed
	}
	return place.Requeued
}

// finish removes the attempt and its parts and informs the engine. If the job was cancelled during the last write and is
// queued again, it is ended as cancelled.
func (a *attempt) finish(result place.Result, failedWorkers []ident.Worker) {
	s := a.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range a.parts {
		if !p.ended() {
			_ = s.reportViolation("EndedEverywhere", p.id.Job, "the attempt would end while a part may be running")
		}
		delete(p.worker.parts, p)
	}
	a.job.attempt = nil
	cancelled := a.endRequest != nil && a.endRequest.result == place.Cancelled
	if result == place.Requeued && cancelled {
		s.applyEvent(place.Ended{Job: a.job.record.ID, Attempt: a.number, Result: place.Cancelled})
		s.endQueuedJob(a.job, ident.Cancelled, cancelReason)
		return
	}
	s.log.Info("attempt ended", "Job", a.job.record.ID, "Attempt", a.number, "State", a.job.record.State, "Reason", a.job.record.Reason)
	s.applyEvent(place.Ended{Job: a.job.record.ID, Attempt: a.number, Result: result, FailedWorkers: failedWorkers})
}
