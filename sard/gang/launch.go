package gang

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/worker"
)

// reserveAll reserves the accelerators of all parts of an attempt on their workers, under leases of shortLease. It
// returns how the attempt has to end if a part can't be reserved; otherwise nil.
func (a *attempt) reserveAll(ctx context.Context) *termination {
	return a.forEachPart(ctx, func(ctx context.Context, p *attemptPart) *termination {
		return a.callWithRetry(ctx, p, "reserve", reserveTimeout, a.scheduler.checkMayDecide, a.reservePart)
	})
}

// startAll starts all parts of an attempt. It returns how the attempt has to end if a part can't be started within
// shortLease; otherwise nil.
func (a *attempt) startAll(ctx context.Context) *termination {
	if e := a.refreshReservations(ctx); e != nil {
		return e
	}
	if e := a.checkCommitted(); e != nil {
		return e
	}
	return a.forEachPart(ctx, func(ctx context.Context, p *attemptPart) *termination {
		return a.callWithRetry(ctx, p, "start", shortLease, a.scheduler.checkMayDecide, a.startPart)
	})
}

// refreshReservations reserves the parts again if the commit took so long that reservations could expire before the
// parts are started.
func (a *attempt) refreshReservations(ctx context.Context) *termination {
	a.scheduler.mu.Lock()
	old := false
	for _, p := range a.parts {
		old = old || time.Until(p.leaseEnd) < shortLease/2
	}
	restored := a.mayHaveStarted
	a.scheduler.mu.Unlock()
	if !old || restored {
		return nil
	}
	return a.reserveAll(ctx)
}

// checkCommitted refuses to start parts unless the job is durably Running with this attempt.
func (a *attempt) checkCommitted() *termination {
	s := a.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.job.record.State != ident.Running || a.job.record.Attempt != a.number || a.job.attempt != a {
		_ = s.reportViolation("StartAfterCommit", a.job.record.ID, "an attempt would start before it is committed")
		return &termination{result: place.Requeued, reason: "the attempt was not committed"}
	}
	return nil
}

// confirmAll renews the leases of all parts of an attempt with longLease once all have started. It returns how the
// attempt has to end if one can't be renewed; otherwise nil.
func (a *attempt) confirmAll(ctx context.Context) *termination {
	return a.forEachPart(ctx, func(ctx context.Context, p *attemptPart) *termination {
		return a.callWithRetry(ctx, p, "confirm", shortLease, a.scheduler.checkMayConfirm, a.confirmPart)
	})
}

// checkMayDecide fails if the domain lease may have expired, so that another instance may decide for the domain.
func (s *Scheduler) checkMayDecide() error {
	return s.config.Lease.Check()
}

// checkMayConfirm fails if the leases of parts must not be renewed, as mayRenew determines.
func (s *Scheduler) checkMayConfirm() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mayRenew() {
		return nil
	}
	return s.config.Lease.Check()
}

// callWithRetry calls a worker and retries until timeout while the failure is temporary or the outcome unknown. It calls
// checkAllowed immediately before each send. It returns how the attempt has to end if the call doesn't succeed.
func (a *attempt) callWithRetry(
	ctx context.Context,
	p *attemptPart,
	step string,
	timeout time.Duration,
	checkAllowed func() error,
	call func(context.Context, *attemptPart) error,
) *termination {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		err := checkAllowed()
		if err == nil {
			err = call(ctx, p)
		}
		if err == nil {
			return nil
		}
		a.scheduler.handleCallError(step, err)
		e := &termination{
			result:        place.Requeued,
			reason:        step + " on worker " + string(p.worker.name) + ": " + err.Error(),
			failedWorkers: workersAtFault(p, err),
		}
		switch fault.KindOf(err) {
		case fault.Unavailable, fault.OutcomeUnknown, fault.Throttled:
		default:
			return e
		}
		if !clock.Sleep(ctx, callRetryInterval) {
			return e
		}
	}
}

// workersAtFault returns the part's worker if the error of a call may be the worker's fault. A job that fails on many
// workers is itself at fault, which the engine decides.
func workersAtFault(p *attemptPart, err error) []ident.Worker {
	switch fault.KindOf(err) {
	case fault.Internal, fault.Invalid, fault.OutcomeUnknown:
		return []ident.Worker{p.worker.name}
	}
	return nil
}

// reservePart asks a worker once to reserve the accelerators of a part under a lease of shortLease.
func (a *attempt) reservePart(ctx context.Context, p *attemptPart) error {
	s := a.scheduler
	s.mu.Lock()
	client := p.worker.client
	spec := a.job.record.Spec
	req := worker.ReserveRequest{
		Domain:       s.config.DataCentre,
		Epoch:        s.config.Lease.Epoch(),
		Part:         p.id,
		Accelerators: p.accelerators,
		Lease:        ident.Duration(shortLease),
		Spec: worker.Spec{
			Account:        a.job.record.Account,
			Kind:           spec.Kind,
			Command:        spec.Command,
			Checkpoint:     a.job.record.Checkpoint,
			Checkpointable: spec.Checkpointable,
			Parts:          len(a.parts),
		},
	}
	p.grantSent()
	s.mu.Unlock()
	report, err := client.Reserve(ctx, req)
	s.mu.Lock()
	defer s.mu.Unlock()
	p.grantReturned(err, shortLease)
	if err != nil {
		return err
	}
	p.reservedAt = time.Now()
	return p.requireState(report, ident.PartReserved)
}

// startPart asks a worker once to start a part, unless the part is known to have started.
func (a *attempt) startPart(ctx context.Context, p *attemptPart) error {
	s := a.scheduler
	s.mu.Lock()
	client, running := p.worker.client, p.state >= ident.PartRunning
	a.mayHaveStarted = a.mayHaveStarted || !running
	s.mu.Unlock()
	if running {
		return nil
	}
	report, err := client.Start(ctx, worker.StartRequest{Domain: s.config.DataCentre, Epoch: s.config.Lease.Epoch(), Part: p.id})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.requireState(report, ident.PartRunning)
}

// confirmPart asks a worker once to renew the lease of a part with longLease, unless the part has ended.
func (a *attempt) confirmPart(ctx context.Context, p *attemptPart) error {
	s := a.scheduler
	s.mu.Lock()
	client, done := p.worker.client, p.ended()
	if done {
		s.mu.Unlock()
		return nil
	}
	p.grantSent()
	s.mu.Unlock()
	report, err := client.Renew(ctx, worker.RenewRequest{
		Domain: s.config.DataCentre,
		Epoch:  s.config.Lease.Epoch(),
		Parts:  []worker.Part{p.id},
		Lease:  ident.Duration(longLease),
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	p.grantReturned(err, longLease)
	if err != nil {
		return err
	}
	return p.requireState(report, ident.PartRunning)
}

// requireState updates the part from the report that a call returned. It fails if the part hasn't reached the wanted
// state or has ended without being done.
func (p *attemptPart) requireState(report worker.Report, wanted ident.PartState) error {
	reported, ok := findReport(report, p.id)
	if !ok {
		return fault.New(fault.NotFound, "read report", worker.PeerName(p.worker.name), "the report does not contain the part")
	}
	p.advance(reported)
	if p.state < wanted || p.state > ident.PartDone {
		return fault.New(fault.NotFound, "read report", worker.PeerName(p.worker.name), "the part is %s", p.state)
	}
	return nil
}
