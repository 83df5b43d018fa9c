package gang

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/worker"
)

// phase is a step of an attempt.
type phase int

// The phases of an attempt.
const (
	// placing attempts are being made durable and reserved; nothing runs.
	placing phase = iota
	// committed attempts are durably Running; their parts are being started under the short lease.
	committed
	// confirmed attempts have started everywhere; their parts are renewed with the long lease.
	confirmed
	// stopping attempts are being stopped; nothing is renewed.
	stopping
)

// ending is why and how an attempt is to end.
type ending struct {
	result place.Result
	reason string
	// grace is how long the parts may take to write checkpoints before they are stopped.
	grace time.Duration
	// blamed are the workers on which parts failed.
	blamed []ident.Worker
}

// attempt is one try of a job. It is guarded by the domain's mu.
type attempt struct {
	domain   *Scheduler
	job      *job
	number   ident.Attempt
	shares   []*share
	borrowed bool
	phase    phase
	// started tells that a part may have been started by this or an earlier holder.
	started bool
	// asked is how the attempt was asked to end.
	asked *ending
	wake  chan struct{}
}

// newAttempt makes an attempt with its shares. The caller holds mu.
func (d *Scheduler) newAttempt(j *job, number ident.Attempt, parts []place.Part) *attempt {
	a := &attempt{domain: d, job: j, number: number, wake: make(chan struct{}, 1)}
	for _, p := range parts {
		m := d.member(p.Worker)
		s := &share{
			attempt:      a,
			member:       m,
			part:         worker.Part{Job: j.record.ID, Attempt: number},
			accelerators: p.Accelerators,
		}
		m.shares[s] = struct{}{}
		a.shares = append(a.shares, s)
	}
	j.attempt = a
	return a
}

// request asks the attempt to end. The first request counts, but a cancellation goes before all others. The caller
// holds mu.
func (a *attempt) request(e ending) {
	if a.asked != nil && (a.asked.result == place.Cancelled || e.result != place.Cancelled) {
		return
	}
	a.asked = &e
	poke(a.wake)
}

// run takes a new attempt through its life.
func (a *attempt) run(ctx context.Context, decided place.Place) {
	if !a.commitPlacing(ctx, decided) {
		return
	}
	if e := a.reserveAll(ctx); e != nil {
		a.end(ctx, *e)
		return
	}
	if e := a.requested(); e != nil {
		a.end(ctx, *e)
		return
	}
	if !a.commitRunning(ctx) {
		return
	}
	a.launch(ctx)
}

// launch starts a committed attempt everywhere and supervises it.
func (a *attempt) launch(ctx context.Context) {
	if e := a.startAll(ctx); e != nil {
		a.end(ctx, a.cause(*e))
		return
	}
	a.enter(confirmed)
	d := a.domain
	d.mu.Lock()
	d.apply(place.Started{Job: a.job.record.ID, Attempt: a.number})
	d.mu.Unlock()
	if e := a.confirmAll(ctx); e != nil {
		a.end(ctx, a.cause(*e))
		return
	}
	a.supervise(ctx)
}

// commitPlacing makes the assignment durable. It tells whether the attempt goes on.
func (a *attempt) commitPlacing(ctx context.Context, decided place.Place) bool {
	next := a.snapshot()
	next.State, next.Attempt = ident.Placing, a.number
	next.Parts, next.Borrowed = decided.Parts, decided.Borrowed
	next.Reason = decided.Reason
	return a.domain.write(ctx, a.job, next) == nil
}

// commitRunning is the commit point: from here on a part may be started.
func (a *attempt) commitRunning(ctx context.Context) bool {
	next := a.snapshot()
	next.State, next.Started = ident.Running, time.Now().Round(0)
	if a.domain.write(ctx, a.job, next) != nil {
		return false
	}
	a.enter(committed)
	return true
}

// snapshot copies the job's durable record.
func (a *attempt) snapshot() record {
	a.domain.mu.Lock()
	defer a.domain.mu.Unlock()
	return a.job.record
}

func (a *attempt) enter(p phase) {
	a.domain.mu.Lock()
	defer a.domain.mu.Unlock()
	a.phase = p
}

// requested returns how the attempt was asked to end; nil when it was not.
func (a *attempt) requested() *ending {
	a.domain.mu.Lock()
	defer a.domain.mu.Unlock()
	return a.asked
}

// supervise waits until all parts are done or the attempt has to end, and ends it.
func (a *attempt) supervise(ctx context.Context) {
	for {
		if e := a.verdict(); e != nil {
			a.end(ctx, *e)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
	}
}

// verdict tells how the attempt has to end; nil while it goes on.
func (a *attempt) verdict() *ending {
	a.domain.mu.Lock()
	defer a.domain.mu.Unlock()
	done := 0
	for _, s := range a.shares {
		switch {
		case s.state == ident.PartDone:
			done++
		case s.ended():
			return a.failure()
		}
	}
	if done == len(a.shares) {
		return &ending{result: place.Succeeded}
	}
	return a.asked
}

// cause gives the failure of a part, if one has failed, before that of the call that met it.
func (a *attempt) cause(e ending) ending {
	a.domain.mu.Lock()
	defer a.domain.mu.Unlock()
	if failed := a.failure(); len(failed.blamed) > 0 {
		return *failed
	}
	return e
}

// failure tells of the parts that have ended too early. The caller holds mu.
func (a *attempt) failure() *ending {
	e := &ending{result: place.Requeued}
	for _, s := range a.shares {
		switch {
		case s.state == ident.PartFailed:
			e.blamed = append(e.blamed, s.member.name)
			e.reason = "failed on worker " + string(s.member.name) + ": " + s.message
		case s.ended() && s.state != ident.PartDone && e.reason == "":
			e.reason = "ended early on worker " + string(s.member.name)
		}
	}
	return e
}

// each runs f for all shares at once and returns the first ending that it gave.
func (a *attempt) each(ctx context.Context, f func(ctx context.Context, s *share) *ending) *ending {
	var group errgroup.Group
	endings := make([]*ending, len(a.shares))
	for i, s := range a.shares {
		group.Go(func() error {
			endings[i] = f(ctx, s)
			return nil
		})
	}
	_ = group.Wait()
	var first *ending
	for _, e := range endings {
		switch {
		case e == nil:
		case first == nil:
			first = e
		default:
			first.blamed = append(first.blamed, e.blamed...)
		}
	}
	return first
}
