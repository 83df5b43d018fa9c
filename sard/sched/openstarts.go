package sched

import (
	"context"
	"errors"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// A start request without a response is open: whichever process of the worker runs then may still execute it, and a later process
// does so whatever was stopped or had ended on the former one. So while a start is open, the worker gets fencing renewals: lease
// renewals that ask for nothing but carry a higher epoch than the start, so that a process that has got one refuses it.
// docs/design/open-starts.md says for each observation when an attempt with an open start counts as ended.

const (
	// maxOrderLateness is how late a worker may execute a request that got no response.
	maxOrderLateness = 12 * time.Second
	// fencePause is the time between two fencing renewals of a worker. A process that starts in between executes open starts until
	// the next one.
	fencePause = 100 * time.Millisecond
	// fenceTimeout limits the duration of a fencing renewal.
	fenceTimeout = 200 * time.Millisecond
	// maxFences is how many fencing renewals of a worker may be in flight. They do not wait for each other, as some may be sent on
	// connections that have gone silent with a former process.
	maxFences = 4
)

// openStarts is what the scheduler knows of the open starts of a worker.
type openStarts struct {
	// until is when no open start can be executed any more, and epoch the highest one of their requests.
	until clock.Instant
	epoch ident.Epoch
	// fences is the number of fencing renewals in flight; nextFence is when the next one may be sent.
	fences    int
	nextFence clock.Instant
}

// fenceResult is the result of a fencing renewal.
type fenceResult struct {
	process work.WorkerProcess
	epoch   ident.Epoch
	report  WorkerReport
	err     error
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

// noteOpenStart records that a start request to a worker, sent under the given epoch by now, may be executed late.
func (s *Scheduler) noteOpenStart(w *session, epoch ident.Epoch) {
	w.open.until = clock.Now().Add(maxOrderLateness)
	w.open.epoch = max(w.open.epoch, epoch)
	s.withOpenStarts[w.id()] = true
}

// fenceOpenStarts sends the fencing renewals that are due.
func (s *Scheduler) fenceOpenStarts(ctx context.Context) {
	now := clock.Now()
	for id := range s.withOpenStarts {
		w := s.sessions[id]
		switch {
		case w == nil || !now.Before(w.open.until):
			delete(s.withOpenStarts, id)
		case w.open.fences < maxFences && !now.Before(w.open.nextFence) && w.client != nil:
			s.sendFence(ctx, w)
		}
	}
}

// sendFence sends a fencing renewal in the background, unless the scheduler lease has not been renewed since the open starts were
// sent. All further requests to the worker carry its epoch.
func (s *Scheduler) sendFence(ctx context.Context, w *session) {
	if w.epoch <= w.open.epoch {
		w.epoch = max(w.epoch, s.lease.LatestEpoch())
	}
	if w.epoch <= w.open.epoch {
		return
	}
	w.open.fences++
	w.open.nextFence = clock.Now().Add(fencePause)
	client, req := w.client, RenewLeaseRequest{Worker: w.entry.WorkerProcess, Epoch: w.epoch}
	s.runAsync(ctx, func() event {
		ctx, cancel := s.stalls.WithTimeout(ctx, fenceTimeout)
		defer cancel()
		report, err := client.RenewLease(ctx, req)
		return fenceResult{process: req.Worker, epoch: req.Epoch, report: report, err: err}
	})
}

// handleFence processes the result of a fencing renewal, which may list the attempt of an open start. A later process of the
// worker that responds gets a lease renewal next.
func (s *Scheduler) handleFence(ev fenceResult) {
	s.config.Metrics.fences.renewals.WithLabelValues(ev.outcome()).Inc()
	w := s.sessions[ev.process.Worker]
	if w == nil {
		return
	}
	w.open.fences = max(0, w.open.fences-1)
	if w.entry.WorkerProcess != ev.process {
		return
	}
	var refusal *RefusalError
	if errors.As(ev.err, &refusal) && refusal.Cause == Superseded {
		s.superseded(w, ev.epoch)
		return
	}
	if ev.err != nil {
		return
	}
	startedMs := ev.report.StartedMs
	if startedMs == 0 || startedMs == ev.process.StartedMs {
		w.recordReply(ev.report.Reply)
		s.handleRunning(w, ev.report)
		return
	}
	s.replaceProcess(w, work.WorkerProcess{Worker: ev.process.Worker, StartedMs: startedMs}, ev.report.attempts()...)
	s.renewSoon(w)
	s.engine.SetWorker(s.engineView(w))
}
