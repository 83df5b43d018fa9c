package sched

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// fencePause is the time between two fencing renewals of a worker.
	fencePause = 100 * time.Millisecond
	// fenceRetryPause is the pause after a fencing renewal that failed at once, as the worker may be starting again.
	fenceRetryPause = 20 * time.Millisecond
	// fenceTimeout limits the duration of a fencing renewal.
	fenceTimeout = 200 * time.Millisecond
	// maxWorkerFences is how many fencing renewals of a worker may be in flight. They do not wait for each other, as some may be
	// sent on connections that have gone silent with a former process.
	maxWorkerFences = 4
	// maxFences is how many fencing renewals of all workers may be in flight.
	maxFences = 64
)

// fencer sends fencing renewals to workers that may execute a start late. It runs beside the scheduler loop, so that no round of
// decisions delays them, from before the jobs are read, and while the scheduler lease can't be renewed. A fencing renewal asks
// for no lease, acknowledges nothing and starts nothing, so it is harmless when another instance has taken the lease over: the
// worker refuses it once that one has contacted it.
type fencer struct {
	// renew sends a lease renewal by a client.
	renew func(ctx context.Context, client WorkerClient, req RenewLeaseRequest) fenceResult
	// wake makes run look at the targets again.
	wake chan struct{}

	mu      sync.Mutex
	targets map[ident.Worker]*fenceTarget
	// inFlight is the number of fencing renewals in flight.
	inFlight int
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
}

// fenceResult is the result of a fencing renewal.
type fenceResult struct {
	worker ident.Worker
	epoch  ident.Epoch
	sentAt clock.Instant
	report WorkerReport
	// timedOut indicates that the renewal was given up.
	timedOut bool
	err      error
}

func (fenceResult) event() {}

// outcome returns what became of the renewal, as a label of metrics.
func (r fenceResult) outcome() string {
	var refusal *RefusalError
	switch {
	case r.err == nil:
		return "answered"
	case errors.As(r.err, &refusal):
		return "refused"
	default:
		return "unanswered"
	}
}

// newFencer returns a fencer without targets that sends renewals by renew.
func newFencer(renew func(ctx context.Context, client WorkerClient, req RenewLeaseRequest) fenceResult) *fencer {
	return &fencer{renew: renew, wake: make(chan struct{}, 1), targets: map[ident.Worker]*fenceTarget{}}
}

// add makes a worker a target until a time, or extends that.
func (f *fencer) add(target fenceTarget) {
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
func (f *fencer) raise(worker ident.Worker, epoch ident.Epoch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[worker]; t != nil {
		t.epoch = max(t.epoch, epoch)
	}
}

// move makes the fencing renewals of a worker go to another address, if it is a target.
func (f *fencer) move(worker ident.Worker, address string, client WorkerClient) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[worker]; t != nil {
		t.address, t.client = address, client
	}
}

// hurry makes the next fencing renewal of a worker due now, if it is a target.
func (f *fencer) hurry(worker ident.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[worker]; t != nil {
		t.next = clock.Never
		f.look()
	}
}

// look makes run look at the targets soon.
func (f *fencer) look() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// current returns the targets at this time.
func (f *fencer) current() []fenceTarget {
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
func (f *fencer) fences(worker ident.Worker) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[worker]
	return t != nil && clock.Now().Before(t.until)
}

// run sends the fencing renewals that are due by start until ctx ends, and passes their results to done.
func (f *fencer) run(ctx context.Context, start func(func()), done func(fenceResult)) error {
	timer := time.NewTimer(fencePause)
	defer timer.Stop()
	for {
		for _, t := range f.takeDue() {
			start(func() { f.send(ctx, t, done) })
		}
		timer.Reset(f.nextIn())
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-f.wake:
		}
	}
}

// takeDue returns the targets whose next fencing renewal is due, counts it as in flight, and removes targets whose time is over.
func (f *fencer) takeDue() []fenceTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	var due []fenceTarget
	for id, t := range f.targets {
		switch {
		case !now.Before(t.until):
			delete(f.targets, id)
		case now.Before(t.next) || t.inFlight >= maxWorkerFences || f.inFlight >= maxFences:
		default:
			t.next = now.Add(fencePause)
			t.inFlight++
			f.inFlight++
			due = append(due, *t)
		}
	}
	return due
}

// nextIn returns the time until the next fencing renewal is due.
func (f *fencer) nextIn() time.Duration {
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
func (f *fencer) send(ctx context.Context, t fenceTarget, done func(fenceResult)) {
	req := RenewLeaseRequest{Worker: work.WorkerProcess{Worker: t.worker}, Epoch: t.epoch}
	result := f.renew(ctx, t.client, req)
	f.landed(result)
	done(result)
}

// landed records that a fencing renewal is not in flight any more. One that failed at once is repeated soon.
func (f *fencer) landed(result fenceResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
	t := f.targets[result.worker]
	if t == nil {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
	if result.failedAtOnce() {
		t.next = min(t.next, clock.Now().Add(fenceRetryPause))
		f.look()
	}
}

// failedAtOnce reports whether the worker accepted no connection or broke it.
func (r fenceResult) failedAtOnce() bool {
	var refusal *RefusalError
	return r.err != nil && !r.timedOut && !errors.As(r.err, &refusal)
}
