package gang

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/worker"
)

// phase is the present stage in the execution of an attempt.
type phase int

// An attempt goes through these phases in order; it may go to phaseStopping from any other.
const (
	// phasePlacing means that the attempt is being written and its accelerators reserved; nothing runs yet.
	phasePlacing phase = iota
	// phaseCommitted means that the job is stored as Running and the parts are being started under leases of
	// shortLease.
	phaseCommitted
	// phaseConfirmed means that all parts have started and are renewed with leases of longLease.
	phaseConfirmed
	// phaseStopping means that the parts are being stopped; their leases are not renewed any more.
	phaseStopping
)

// termination describes how an attempt is to end, and why.
type termination struct {
	result place.Result
	reason string
	// checkpointGrace is how long the parts may take to write checkpoints before they are stopped.
	checkpointGrace time.Duration
	// failedWorkers are the workers to which the failure is attributed.
	failedWorkers []ident.Worker
}

// attempt is one execution of a job as a gang of parts. It is guarded by Scheduler.mu.
type attempt struct {
	scheduler *Scheduler
	job       *job
	number    ident.Attempt
	parts     []*attemptPart
	borrowed  bool
	phase     phase
	// mayHaveStarted is set once this or an earlier lease holder may have started a part.
	mayHaveStarted bool
	// endRequest is the pending request to end the attempt; nil if there is none.
	endRequest *termination
	wake       chan struct{}
}

// newAttempt creates an attempt and its parts. The caller holds mu.
func (s *Scheduler) newAttempt(j *job, number ident.Attempt, parts []place.Part) *attempt {
	a := &attempt{scheduler: s, job: j, number: number, wake: make(chan struct{}, 1)}
	for _, assigned := range parts {
		w := s.lookUpWorker(assigned.Worker)
		p := &attemptPart{
			attempt:      a,
			worker:       w,
			id:           worker.Part{Job: j.record.ID, Attempt: number},
			accelerators: assigned.Accelerators,
		}
		w.parts[p] = struct{}{}
		a.parts = append(a.parts, p)
	}
	j.attempt = a
	return a
}

// requestEnd asks the attempt to end. The first request wins, except that a cancellation overrides any other. The caller
// holds mu.
func (a *attempt) requestEnd(e termination) {
	if a.endRequest != nil && (a.endRequest.result == place.Cancelled || e.result != place.Cancelled) {
		return
	}
	a.endRequest = &e
	notify(a.wake)
}

// run executes a new attempt from its placement to its end.
func (a *attempt) run(ctx context.Context, decided place.Place) {
	if !a.commitPlacing(ctx, decided) {
		return
	}
	if e := a.reserveAll(ctx); e != nil {
		a.end(ctx, *e)
		return
	}
	if e := a.requestedEnd(); e != nil {
		a.end(ctx, *e)
		return
	}
	if !a.commitRunning(ctx) {
		return
	}
	a.launch(ctx)
}

// launch starts all parts of a committed attempt and supervises them.
func (a *attempt) launch(ctx context.Context) {
	if e := a.startAll(ctx); e != nil {
		a.end(ctx, a.preferPartFailure(*e))
		return
	}
	a.setPhase(phaseConfirmed)
	s := a.scheduler
	s.mu.Lock()
	s.applyEvent(place.Started{Job: a.job.record.ID, Attempt: a.number})
	s.mu.Unlock()
	if e := a.confirmAll(ctx); e != nil {
		a.end(ctx, a.preferPartFailure(*e))
		return
	}
	a.supervise(ctx)
}

// commitPlacing writes the placement that the engine decided to the table. It reports whether the attempt can continue.
func (a *attempt) commitPlacing(ctx context.Context, decided place.Place) bool {
	next := a.snapshot()
	next.State, next.Attempt = ident.Placing, a.number
	next.Parts, next.Borrowed = decided.Parts, decided.Borrowed
	next.Reason = decided.Reason
	return a.scheduler.writeRecord(ctx, a.job, next) == nil
}

// commitRunning writes the job as Running. This is the commit point: parts may be started only after it. It reports
// whether the attempt can continue.
func (a *attempt) commitRunning(ctx context.Context) bool {
	next := a.snapshot()
	next.State, next.Started = ident.Running, time.Now().Round(0)
	if a.scheduler.writeRecord(ctx, a.job, next) != nil {
		return false
	}
	a.setPhase(phaseCommitted)
	return true
}

// snapshot returns a copy of the job's record as it is stored in the table.
func (a *attempt) snapshot() record {
	a.scheduler.mu.Lock()
	defer a.scheduler.mu.Unlock()
	return a.job.record
}

// setPhase moves the attempt to another phase.
func (a *attempt) setPhase(p phase) {
	a.scheduler.mu.Lock()
	defer a.scheduler.mu.Unlock()
	a.phase = p
}

// requestedEnd returns the pending request to end the attempt; nil if there is none.
func (a *attempt) requestedEnd() *termination {
	a.scheduler.mu.Lock()
	defer a.scheduler.mu.Unlock()
	return a.endRequest
}

// supervise waits until all parts are done or the attempt has to end, and then ends it.
func (a *attempt) supervise(ctx context.Context) {
	for {
		if e := a.dueTermination(); e != nil {
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

// dueTermination returns how the attempt has to end; nil while it can continue.
func (a *attempt) dueTermination() *termination {
	a.scheduler.mu.Lock()
	defer a.scheduler.mu.Unlock()
	done := 0
	for _, p := range a.parts {
		switch {
		case p.state == ident.PartDone:
			done++
		case p.ended():
			return a.partFailure()
		}
	}
	if done == len(a.parts) {
		return &termination{result: place.Succeeded}
	}
	return a.endRequest
}

// preferPartFailure returns the failure of a part if one has failed, as it is the cause of the failed call; otherwise e.
func (a *attempt) preferPartFailure(e termination) termination {
	a.scheduler.mu.Lock()
	defer a.scheduler.mu.Unlock()
	if failed := a.partFailure(); len(failed.failedWorkers) > 0 {
		return *failed
	}
	return e
}

// partFailure describes the parts that failed or ended before they were done. The caller holds mu.
func (a *attempt) partFailure() *termination {
	e := &termination{result: place.Requeued}
	for _, p := range a.parts {
		switch {
		case p.state == ident.PartFailed:
			e.failedWorkers = append(e.failedWorkers, p.worker.name)
			e.reason = "failed on worker " + string(p.worker.name) + ": " + p.message
		case p.ended() && p.state != ident.PartDone && e.reason == "":
			e.reason = "ended early on worker " + string(p.worker.name)
		}
	}
	return e
}

// forEachPart runs f for all parts in parallel. It returns the first termination by order of the parts, with the failed
// workers of the others added; nil if there is none.
func (a *attempt) forEachPart(ctx context.Context, f func(ctx context.Context, p *attemptPart) *termination) *termination {
	var group errgroup.Group
	terminations := make([]*termination, len(a.parts))
	for i, p := range a.parts {
		group.Go(func() error {
			terminations[i] = f(ctx, p)
			return nil
		})
	}
	_ = group.Wait()
	var first *termination
	for _, e := range terminations {
		switch {
		case e == nil:
		case first == nil:
			first = e
		default:
			first.failedWorkers = append(first.failedWorkers, e.failedWorkers...)
		}
	}
	return first
}
