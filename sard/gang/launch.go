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

// reserveAll reserves all parts under the short lease. It returns how to end when one can't be reserved.
func (a *attempt) reserveAll(ctx context.Context) *ending {
	return a.each(ctx, func(ctx context.Context, s *share) *ending {
		return a.insist(ctx, s, "reserve", reserveLimit, a.domain.mayDecide, a.reserve)
	})
}

// startAll starts all parts. It returns how to end when one can't be started within the short lease.
func (a *attempt) startAll(ctx context.Context) *ending {
	if e := a.refresh(ctx); e != nil {
		return e
	}
	if e := a.guardStart(); e != nil {
		return e
	}
	return a.each(ctx, func(ctx context.Context, s *share) *ending {
		return a.insist(ctx, s, "start", shortLease, a.domain.mayDecide, a.startOne)
	})
}

// refresh reserves the parts again when the commit has taken long, so that the starts find their reservations.
func (a *attempt) refresh(ctx context.Context) *ending {
	a.domain.mu.Lock()
	old := false
	for _, s := range a.shares {
		old = old || time.Until(s.lapse) < shortLease/2
	}
	restored := a.started
	a.domain.mu.Unlock()
	if !old || restored {
		return nil
	}
	return a.reserveAll(ctx)
}

// guardStart asserts that the commit is durable before any part is started.
func (a *attempt) guardStart() *ending {
	d := a.domain
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.job.record.State != ident.Running || a.job.record.Attempt != a.number || a.job.attempt != a {
		_ = d.breach("StartAfterCommit", a.job.record.ID, "start of an attempt that is not committed")
		return &ending{result: place.Requeued, reason: "the attempt was not committed"}
	}
	return nil
}

// confirmAll renews all parts with the long lease, now that all have started.
func (a *attempt) confirmAll(ctx context.Context) *ending {
	return a.each(ctx, func(ctx context.Context, s *share) *ending {
		return a.insist(ctx, s, "confirm", shortLease, a.domain.mayConfirm, a.confirm)
	})
}

// mayDecide fails while the domain lease could have lapsed.
func (d *Scheduler) mayDecide() error {
	return d.config.Lease.Check()
}

// mayConfirm fails while leases of parts must not be renewed.
func (d *Scheduler) mayConfirm() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mayRenew() {
		return nil
	}
	return d.config.Lease.Check()
}

// insist repeats a call of a worker while its result is not known, for as long as limit. Whether the call may be
// made is asked right before each send.
func (a *attempt) insist(
	ctx context.Context,
	s *share,
	step string,
	limit time.Duration,
	may func() error,
	call func(context.Context, *share) error,
) *ending {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		err := may()
		if err == nil {
			err = call(ctx, s)
		}
		if err == nil {
			return nil
		}
		a.domain.fail(step, err)
		e := &ending{
			result: place.Requeued,
			reason: step + " on worker " + string(s.member.name) + ": " + err.Error(),
			blamed: blame(s, err),
		}
		switch fault.KindOf(err) {
		case fault.Unavailable, fault.OutcomeUnknown, fault.Throttled:
		default:
			return e
		}
		if !clock.Sleep(ctx, callPause) {
			return e
		}
	}
}

// blame tells whether a failed call speaks against the worker, or against the job when many workers refuse it.
func blame(s *share, err error) []ident.Worker {
	switch fault.KindOf(err) {
	case fault.Internal, fault.Invalid, fault.OutcomeUnknown:
		return []ident.Worker{s.member.name}
	}
	return nil
}

func (a *attempt) reserve(ctx context.Context, s *share) error {
	d := a.domain
	d.mu.Lock()
	client := s.member.client
	spec := a.job.record.Spec
	req := worker.ReserveRequest{
		Domain:       d.config.DataCentre,
		Epoch:        d.config.Lease.Epoch(),
		Part:         s.part,
		Accelerators: s.accelerators,
		Lease:        ident.Duration(shortLease),
		Spec: worker.Spec{
			Account:        a.job.record.Account,
			Kind:           spec.Kind,
			Command:        spec.Command,
			Checkpoint:     a.job.record.Checkpoint,
			Checkpointable: spec.Checkpointable,
			Parts:          len(a.shares),
		},
	}
	s.sending()
	d.mu.Unlock()
	report, err := client.Reserve(ctx, req)
	d.mu.Lock()
	defer d.mu.Unlock()
	s.granted(err, shortLease)
	if err != nil {
		return err
	}
	s.reserved = time.Now()
	return s.accept(report, ident.PartReserved)
}

func (a *attempt) startOne(ctx context.Context, s *share) error {
	d := a.domain
	d.mu.Lock()
	client, running := s.member.client, s.state >= ident.PartRunning
	a.started = a.started || !running
	d.mu.Unlock()
	if running {
		return nil
	}
	report, err := client.Start(ctx, worker.StartRequest{Domain: d.config.DataCentre, Epoch: d.config.Lease.Epoch(), Part: s.part})
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return s.accept(report, ident.PartRunning)
}

func (a *attempt) confirm(ctx context.Context, s *share) error {
	d := a.domain
	d.mu.Lock()
	client, done := s.member.client, s.ended()
	if done {
		d.mu.Unlock()
		return nil
	}
	s.sending()
	d.mu.Unlock()
	report, err := client.Renew(ctx, worker.RenewRequest{
		Domain: d.config.DataCentre,
		Epoch:  d.config.Lease.Epoch(),
		Parts:  []worker.Part{s.part},
		Lease:  ident.Duration(longLease),
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	s.granted(err, longLease)
	if err != nil {
		return err
	}
	return s.accept(report, ident.PartRunning)
}

// accept takes in the worker's own word on the part after a call. It fails when the part has not come as far as
// wanted or has ended without being done.
func (s *share) accept(report worker.Report, wanted ident.PartState) error {
	p, ok := reportOf(report, s.part)
	if !ok {
		return fault.New(fault.NotFound, "read report", worker.PeerName(s.member.name), "the part is not reported")
	}
	s.raise(p)
	if s.state < wanted || s.state > ident.PartDone {
		return fault.New(fault.NotFound, "read report", worker.PeerName(s.member.name), "the part is %s", s.state)
	}
	return nil
}
