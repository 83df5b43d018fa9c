package sched

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/stall"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// fencePause is the time between two fencing renewals of a worker.
	fencePause = 100 * time.Millisecond
	// fenceRetryPause replaces fencePause until the first response and after a fencing renewal without one, as the worker may be
	// starting again.
	fenceRetryPause = 25 * time.Millisecond
	// fenceTimeout limits the duration of a fencing renewal.
	fenceTimeout = 200 * time.Millisecond
	// maxWorkerFences is how many fencing renewals of a worker may be in flight. They do not wait for each other, as some may be
	// sent on connections that have gone silent with a former process.
	maxWorkerFences = 8
	// maxFences is how many fencing renewals of all workers may be in flight.
	maxFences = 64
)

// Fencer sends fencing renewals to workers that may execute a start late: lease renewals that ask for no lease, acknowledge
// nothing and start nothing, and only raise the epoch below which the worker refuses requests.
//
// It runs beside the scheduler loop, so that no round of decisions delays them, and longer than the scheduler: while the
// scheduler lease can't be renewed, after it was lost, and until the process ends. That is harmless, since the worker refuses
// them once the next holder of the lease has contacted it. It is not fenced any more then.
type Fencer struct {
	metrics fenceMetrics
	// wake makes Run look at the targets again.
	wake chan struct{}

	mu      sync.Mutex
	targets map[ident.Worker]*fenceTarget
	// inFlight is the number of fencing renewals in flight.
	inFlight int
	// holder is what the results are passed to; its zero value if this instance does not schedule the pool.
	holder fenceHolder
}

// fenceHolder is what the fencer knows of the scheduler of its process.
type fenceHolder struct {
	// done takes the results of fencing renewals.
	done func(fenceResult)
	// stalls measures for how long the process could not run.
	stalls *stall.Meter
}

// fenceTarget is a worker that gets fencing renewals.
type fenceTarget struct {
	worker  ident.Worker
	address string
	client  WorkerClient
	// epoch is that of the fencing renewals, higher than those of the starts that the worker may execute late.
	epoch ident.Epoch
	// until is when the worker can't execute any of them any more.
	until clock.Instant
	// next is when the next fencing renewal is due, and inFlight the number of those in flight.
	next     clock.Instant
	inFlight int
	// answered indicates that the last one that is not in flight got a response.
	answered bool
}

// pause returns the time between two fencing renewals of the worker.
func (t *fenceTarget) pause() time.Duration {
	if t.answered {
		return fencePause
	}
	return fenceRetryPause
}

// fenceResult is the result of a fencing renewal.
type fenceResult struct {
	worker ident.Worker
	epoch  ident.Epoch
	sentAt clock.Instant
	report WorkerReport
	err    error
}

func (fenceResult) event() {}

// superseded reports whether the worker has refused the epoch of the renewal.
func (r fenceResult) superseded() bool {
	var refusal *RefusalError
	return errors.As(r.err, &refusal) && refusal.Cause == Superseded
}

// unanswered reports whether the worker has not responded.
func (r fenceResult) unanswered() bool {
	var refusal *RefusalError
	return r.err != nil && !errors.As(r.err, &refusal)
}

// outcome returns what became of the renewal, as a label of metrics.
func (r fenceResult) outcome() string {
	switch {
	case r.err == nil:
		return "answered"
	case r.unanswered():
		return "unanswered"
	default:
		return "refused"
	}
}

// NewFencer returns a Fencer without workers; Run starts it.
func NewFencer(metrics *Metrics) *Fencer {
	return &Fencer{metrics: metrics.fences, wake: make(chan struct{}, 1), targets: map[ident.Worker]*fenceTarget{}}
}

// attach passes the results of fencing renewals to a scheduler from now on.
func (f *Fencer) attach(holder fenceHolder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holder = holder
}

// detach passes the results of fencing renewals to no scheduler from now on.
func (f *Fencer) detach() {
	f.attach(fenceHolder{})
}

// add makes a worker a target until a time, or extends that.
func (f *Fencer) add(target fenceTarget) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.targets[target.worker]
	if known == nil {
		f.targets[target.worker] = &target
		f.look()
		return
	}
	known.address, known.client = target.address, target.client
	known.epoch, known.until = max(known.epoch, target.epoch), max(known.until, target.until)
}

// raise makes the fencing renewals of a worker carry at least the given epoch, if it is a target.
func (f *Fencer) raise(worker ident.Worker, epoch ident.Epoch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[worker]; t != nil {
		t.epoch = max(t.epoch, epoch)
	}
}

// move makes the fencing renewals of a worker go to another address, if it is a target.
func (f *Fencer) move(worker ident.Worker, address string, client WorkerClient) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[worker]; t != nil {
		t.address, t.client = address, client
	}
}

// hurry makes the next fencing renewal of a worker due now, if it is a target.
func (f *Fencer) hurry(worker ident.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[worker]; t != nil {
		t.next = clock.Never
		f.look()
	}
}

// look makes Run look at the targets soon.
func (f *Fencer) look() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// current returns the targets at this time.
func (f *Fencer) current() []fenceTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	var targets []fenceTarget
	for _, t := range f.targets {
		if now.Before(t.until) {
			targets = append(targets, *t)
		}
	}
	return targets
}

// fences reports whether a worker is a target.
func (f *Fencer) fences(worker ident.Worker) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[worker]
	return t != nil && clock.Now().Before(t.until)
}

// Run sends the fencing renewals that are due until ctx ends.
func (f *Fencer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	timer := time.NewTimer(fencePause)
	defer timer.Stop()
	for ctx.Err() == nil {
		due, pending := f.takeDue()
		for _, t := range due {
			group.Go(func() error {
				f.send(ctx, t)
				return nil
			})
		}
		timer.Stop()
		if pending {
			timer.Reset(f.nextIn())
		}
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-f.wake:
		}
	}
	return group.Wait()
}

// takeDue returns the targets whose next fencing renewal is due, counts it as in flight, and removes targets whose time is over. It
// also returns whether any target is left.
func (f *Fencer) takeDue() (due []fenceTarget, pending bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	for id, t := range f.targets {
		switch {
		case !now.Before(t.until):
			delete(f.targets, id)
		case now.Before(t.next) || t.inFlight >= maxWorkerFences || f.inFlight >= maxFences:
		default:
			t.next = now.Add(t.pause())
			t.inFlight++
			f.inFlight++
			due = append(due, *t)
		}
	}
	return due, len(f.targets) > 0
}

// nextIn returns the time until the next fencing renewal is due.
func (f *Fencer) nextIn() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	next := now.Add(fencePause)
	for _, t := range f.targets {
		if t.inFlight < maxWorkerFences && f.inFlight < maxFences {
			next = min(next, max(t.next, now))
		}
	}
	return next.Sub(now)
}

// send sends a fencing renewal and passes its result on.
func (f *Fencer) send(ctx context.Context, t fenceTarget) {
	result := fenceResult{worker: t.worker, epoch: t.epoch, sentAt: clock.Now()}
	sendCtx, cancel := f.withTimeout(ctx)
	defer cancel()
	req := RenewLeaseRequest{Worker: work.WorkerProcess{Worker: t.worker}, Epoch: t.epoch}
	result.report, result.err = t.client.RenewLease(sendCtx, req)
	f.metrics.renewals.WithLabelValues(result.outcome()).Inc()
	if holder := f.landed(result); holder.done != nil {
		holder.done(result)
	}
}

// withTimeout returns a context that ends after fenceTimeout, not counting the time in which the process could not run.
func (f *Fencer) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	f.mu.Lock()
	stalls := f.holder.stalls
	f.mu.Unlock()
	if stalls == nil {
		return context.WithTimeout(ctx, fenceTimeout)
	}
	return stalls.WithTimeout(ctx, fenceTimeout)
}

// landed records that a fencing renewal is not in flight any more, and returns what its result is passed to. One without a response
// is repeated soon. A worker that has refused it is left to the next holder of the scheduler lease.
func (f *Fencer) landed(result fenceResult) fenceHolder {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
	t := f.targets[result.worker]
	if t == nil {
		return f.holder
	}
	t.inFlight = max(0, t.inFlight-1)
	if result.superseded() && result.epoch >= t.epoch {
		delete(f.targets, result.worker)
		return f.holder
	}
	if t.answered = !result.unanswered(); !t.answered {
		t.next = min(t.next, clock.Now().Add(fenceRetryPause))
		f.look()
	}
	return f.holder
}
