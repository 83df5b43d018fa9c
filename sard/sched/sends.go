package sched

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// requestTimeout limits the duration of a start or stop request.
	requestTimeout = 600 * time.Millisecond
	// stopRetryPause is the pause after a failed stop request.
	stopRetryPause = 200 * time.Millisecond
)

// trackStart creates the state of an attempt that was decided to start.
func (s *Scheduler) trackStart(start pool.Start) {
	if w := s.session(start.Worker); w != nil {
		w.ensureAttempt(start.Attempt).unrecorded = true
		s.starts.unsettled[w.id()] = true
	}
}

// startAttempt queues the start request for a start decision that has been recorded in the store.
func (s *Scheduler) startAttempt(start pool.Start) {
	if !s.engine.ShouldRun(start.Attempt, start.Worker.Worker) {
		return
	}
	w := s.session(start.Worker)
	if w == nil {
		s.engine.StopUnconfirmed(start.Attempt)
		return
	}
	state := w.ensureAttempt(start.Attempt)
	state.unrecorded = false
	s.queueStart(w, state, start)
}

// sendStart sends a queued start request in the background, unless the attempt is no longer meant to run. It also
// extends the worker's lease.
func (s *Scheduler) sendStart(ctx context.Context, w *session, start pool.Start) {
	state := w.attempts[start.Attempt]
	if state == nil || !state.startQueued || !s.engine.ShouldRun(start.Attempt, w.id()) {
		return
	}
	if state.startConfirmed == clock.Never && !s.sendable(w) {
		s.starts.hold(w, start)
		return
	}
	state.startQueued = false
	if state.startConfirmed != clock.Never {
		return
	}
	if !s.acceptsStart(w, start.Attempt) {
		s.cancelStart(w, state, start.Attempt)
		return
	}
	// An earlier holder of the scheduler lease may have sent a request for an attempt whose process is unknown.
	first := state.startsSent == 0 && !state.processUnknown
	if state.startsSent == 0 {
		state.firstSentAt = clock.Now()
	}
	state.lastSentAt = clock.Now()
	state.startsSent++
	state.startInFlight, state.processUnknown = true, true
	flight := s.commands.depart(w)
	req := StartRequest{
		Worker: start.Worker, Attempt: start.Attempt, Payload: start.Payload, Checkpoint: start.Checkpoint,
		Epoch: w.epoch, Deadline: s.extendLease(w),
	}
	client, sentAt := w.client, clock.Now()
	s.runAsync(ctx, func() event {
		ctx, cancel := s.stalls.WithTimeout(ctx, requestTimeout)
		defer cancel()
		result := startResult{attempt: start.Attempt, process: start.Worker, epoch: req.Epoch, flight: flight, sentAt: sentAt, first: first}
		if s.lease.Check() != nil {
			result.unsent = true
			return result
		}
		result.reply, result.err = client.Start(ctx, req)
		result.timedOut = ctx.Err() != nil
		return result
	})
}

// acceptsStart reports whether a queued start may still be sent to a worker, which may have changed since it was decided.
func (s *Scheduler) acceptsStart(w *session, a work.Attempt) bool {
	return s.listedForStarts(w) && s.hasCapacity(w, a) && s.engine.HasLabel(a)
}

// hasCapacity reports whether a worker has the capacity for an attempt that is about to be started there, which it may have
// lost since that was decided. Attempts of which no start request can have reached the worker do not count.
func (s *Scheduler) hasCapacity(w *session, a work.Attempt) bool {
	return s.engine.HasCapacity(a, func(other work.Attempt) bool {
		state := w.attempts[other]
		return state != nil && state.startsSent == 0 && (state.unrecorded || state.startQueued)
	})
}

// cancelStart ends an attempt whose queued start request must not be sent any more. If an earlier request may have started
// it, it is stopped.
func (s *Scheduler) cancelStart(w *session, state *attemptState, a work.Attempt) {
	if state.startsSent > 0 {
		s.engine.StopUnconfirmed(a)
		return
	}
	delete(w.attempts, a)
	s.engine.AttemptEnded(a, pool.Refused, "", time.Now())
}

// stopAttempt queues the stop request for a stop decision. An attempt whose start request was never sent ends at once.
func (s *Scheduler) stopAttempt(stop pool.Stop) {
	w := s.sessions[stop.Worker.Worker]
	if w == nil || w.attempts[stop.Attempt] == nil && w.entry.WorkerProcess != stop.Worker {
		return
	}
	state := w.ensureAttempt(stop.Attempt)
	s.config.Metrics.attemptsStopped.WithLabelValues(string(stop.Reason)).Inc()
	s.config.Logger.Info("part is stopped", append(progressFields(stop), "part", stop.Attempt.Part, "attempt", stop.Attempt.Number,
		"worker", stop.Worker.Worker, "reason", stop.Reason, "sent", state.startsSent)...)
	if (state.unrecorded || state.startQueued) && state.startsSent == 0 {
		delete(w.attempts, stop.Attempt)
		s.engine.AttemptEnded(stop.Attempt, pool.Stopped, "", time.Now())
		return
	}
	s.queueStop(w, stop.Attempt, state)
}

// stopUnexpected stops an attempt that a worker runs but should not.
func (s *Scheduler) stopUnexpected(w *session, a work.Attempt) {
	if w.attempts[a] == nil {
		reason := s.unexpectedReason(w)
		s.config.Metrics.attemptsStopped.WithLabelValues(string(reason)).Inc()
		s.config.Logger.Info("part is stopped", "part", a.Part, "attempt", a.Number, "worker", w.id(), "reason", reason,
			"born", w.entry.StartedMs, "former_processes", len(w.formerStartsMs))
	}
	state := w.ensureAttempt(a)
	if clock.Since(state.stopConfirmed) > s.config.MaxStopTime+stopRetryPause {
		s.queueStop(w, a, state)
	}
}

// unexpectedReason returns why a worker probably runs an attempt that it should not.
func (s *Scheduler) unexpectedReason(w *session) pool.StopReason {
	if s.fencer.fences(w.id()) {
		return pool.ReasonLateStart
	}
	return pool.ReasonNotCurrent
}

// sendStop sends a queued stop request in the background.
func (s *Scheduler) sendStop(ctx context.Context, w *session, a work.Attempt) {
	if w.attempts[a] == nil {
		return
	}
	flight := s.commands.depart(w)
	req := StopRequest{Worker: w.entry.WorkerProcess, Attempt: a, Epoch: w.epoch}
	client := w.client
	s.runAsync(ctx, func() event {
		ctx, cancel := s.stalls.WithTimeout(ctx, requestTimeout)
		defer cancel()
		reply, err := client.Stop(ctx, req)
		if err != nil {
			clock.Sleep(ctx, stopRetryPause)
		}
		return stopResult{attempt: a, process: req.Worker, epoch: req.Epoch, flight: flight, reply: reply, err: err}
	})
}
