package sched

import (
	"context"
	"errors"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// requestTimeout limits the duration of a start or stop request.
	requestTimeout = 600 * time.Millisecond
	// stopRetryPause is the pause after a failed stop request.
	stopRetryPause = 200 * time.Millisecond
	// maxStartSends is the maximum number of times that a start request is sent to a worker that does not respond.
	maxStartSends = 2
	// maxStartSendsResponding replaces maxStartSends while the worker responds to other requests. The other parts of a gang
	// wait for longer than these requests take.
	maxStartSendsResponding = 4
	// stopPatience is how long a worker may list a part that it was asked to stop. Its lease is not extended any more after
	// that, which ends all parts on it.
	stopPatience = 10 * time.Second
	// unwellSuspension is how long no new parts are placed on a worker that refused a start for lack of health or
	// capacity, or that a start did not reach.
	unwellSuspension = 2 * time.Second
)

// attemptState is what the scheduler knows about an attempt that was requested to start or stop and may still run.
type attemptState struct {
	// unrecorded indicates that the decision to start the attempt is not recorded in the store yet, so that no request was
	// sent.
	unrecorded bool
	// startsSent is the number of start requests that this instance has sent since it acquired the scheduler lease.
	startsSent int
	// startDeadline is the latest deadline of the start requests on the clock of the worker process, which refuses them from
	// then on.
	startDeadline WorkerClock
	// firstSentAt is when the first start request was sent.
	firstSentAt clock.Instant
	// processUnknown indicates that a start request may have reached a later process of the worker. Only the worker's next
	// report shows which process it reached, unless the response to the request names it.
	processUnknown bool
	// processReplaced indicates that the worker's process was replaced since the start, and that the attempt was kept.
	processReplaced bool
	// startOpen indicates that a start request got no response, so that it may be executed late, by a later process too.
	startOpen bool
	// startConfirmed and stopConfirmed are when the worker confirmed the start and the stop.
	startConfirmed, stopConfirmed clock.Instant
	// startBroken is when the connection of a start request broke before its response, or Never.
	startBroken clock.Instant
	// runningAt is the first time on the worker process's clock at which the attempt is known to run there, or 0.
	runningAt WorkerClock
	// listedAt is when a report of the worker process last listed the attempt as running.
	listedAt clock.Instant
	// startQueued indicates that a start request is queued, and startInFlight that one is in flight.
	startQueued   bool
	startInFlight bool
	// stopSince is when the first stop request was queued.
	stopSince clock.Instant
	// stopPending indicates that a stop request is queued or in flight.
	stopPending bool
	// wait is what the attempt waits for.
	wait wait[orderWait]
}

// session returns the session with a worker process, or nil.
func (s *Scheduler) session(process work.WorkerProcess) *session {
	if w := s.sessions[process.Worker]; w != nil && w.entry.WorkerProcess == process {
		return w
	}
	return nil
}

// adoptPlacements creates the state of attempts that an earlier holder of the scheduler lease has placed, for sessions
// with workers that have not responded under this epoch yet. Their start requests may have reached later processes than the
// recorded ones.
func (s *Scheduler) adoptPlacements() {
	s.engine.ForEachAttempt(func(a work.Attempt, process work.WorkerProcess) {
		if w := s.session(process); w != nil && !w.fenced {
			w.ensureAttempt(a).processUnknown = true
		}
	})
}

// trackStart creates the state of an attempt that was decided to start.
func (s *Scheduler) trackStart(start pool.Start) {
	if w := s.session(start.Worker); w != nil {
		w.ensureAttempt(start.Attempt).unrecorded = true
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
	state.startsSent++
	state.startInFlight, state.processUnknown = true, true
	flight := s.commands.depart(w)
	req := StartRequest{
		Worker: start.Worker, Attempt: start.Attempt, Payload: start.Payload, Checkpoint: start.Checkpoint,
		Epoch: s.lease.Epoch(), Deadline: s.extendLease(w),
	}
	state.startDeadline = max(state.startDeadline, req.Deadline)
	client, sentAt := w.client, clock.Now()
	s.runAsync(ctx, func() event {
		ctx, cancel := s.stalls.WithTimeout(ctx, requestTimeout)
		defer cancel()
		result := startResult{attempt: start.Attempt, process: start.Worker, flight: flight, sentAt: sentAt, first: first}
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
	return s.listedForStarts(w) && s.hasCapacity(w, a)
}

// hasCapacity reports whether a worker has the capacity for an attempt that is about to be started there, which it may have
// lost since that was decided. Attempts of which no start request can have reached the worker do not count.
func (s *Scheduler) hasCapacity(w *session, a work.Attempt) bool {
	return s.engine.HasCapacity(a, func(other work.Attempt) bool {
		state := w.attempts[other]
		return state != nil && state.startsSent == 0 && (state.unrecorded || state.startQueued)
	})
}

// startUnsent queues a start request again that was not sent.
func (s *Scheduler) startUnsent(w *session, state *attemptState, ev startResult) {
	a := ev.attempt
	state.startsSent--
	if ev.first {
		state.processUnknown = false
	}
	if start, pending := s.engine.PendingStart(a); pending {
		s.queueStart(w, state, start)
		return
	}
	if !s.engine.MayRun(a, w.id()) {
		delete(w.attempts, a)
		return
	}
	// The attempt is being stopped. If the stop is not queued yet, it needs no request.
	state.startQueued = state.startsSent == 0 && !state.stopPending
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

// findAttempt returns the session with a worker and the state of an attempt on it, or nil. The worker process may
// have been replaced since the request was sent.
func (s *Scheduler) findAttempt(process work.WorkerProcess, a work.Attempt) (*session, *attemptState) {
	w := s.sessions[process.Worker]
	if w == nil {
		return nil, nil
	}
	return w, w.attempts[a]
}

// handleStart processes the result of a start request: a response, a refusal or neither.
func (s *Scheduler) handleStart(ev startResult) {
	s.commands.release(ev.flight)
	w, state := s.findAttempt(ev.process, ev.attempt)
	if state == nil {
		return
	}
	state.startInFlight = false
	if w.ackDue() {
		s.renewSoon(w)
	}
	var refusal *RefusalError
	switch {
	case ev.unsent:
		s.startUnsent(w, state, ev)
	case ev.err == nil:
		if startedMs := ev.reply.StartedMs; startedMs != 0 && startedMs != w.entry.StartedMs {
			s.replaceProcess(w, work.WorkerProcess{Worker: w.id(), StartedMs: startedMs}, ev.attempt)
		}
		w.recordReply(ev.reply)
		w.recordAlive(ev.process, ev.reply.Clock)
		w.recordRunning(state, ev.process, ev.reply.Clock)
		state.processUnknown = ev.reply.StartedMs == 0
		s.confirmStart(w, state, ev.attempt, ev.reply.StartedMs)
	case errors.As(ev.err, &refusal):
		s.startRefused(state, w, ev, refusal)
	case ev.first && ev.undelivered():
		s.startUndelivered(w, ev)
	default:
		s.startUnanswered(w, state, ev)
	}
}

// confirmStart records that an attempt was started on a worker, unless that is known. StartedMs is the start time of the
// worker process that confirmed it, or 0 if that is unknown.
func (s *Scheduler) confirmStart(w *session, state *attemptState, a work.Attempt, startedMs int64) {
	if state.startConfirmed != clock.Never {
		return
	}
	state.startConfirmed = clock.Now()
	fields := []any{
		"part", a.Part, "attempt", a.Number, "worker", w.id(), "epoch", s.lease.Epoch(), "sent", state.startsSent, "born", startedMs,
	}
	s.config.Logger.Info("part started", append(fields, s.speedFields(w.id())...)...)
}

// startRefused handles a start request that the worker refused. The attempt ends as refused, unless an earlier request
// may have started it or the scheduler lease is lost.
func (s *Scheduler) startRefused(state *attemptState, w *session, ev startResult, refusal *RefusalError) {
	s.config.Logger.Warn("start refused", "part", ev.attempt.Part, "attempt", ev.attempt.Number, "worker", w.id(),
		"cause", refusal.Cause.String())
	w.recordReply(refusal.Reply)
	switch refusal.Cause {
	case Superseded:
		s.lease.MarkLost()
		return
	case Unwell, NoRoom, OtherLife:
		s.suspend(w)
	}
	if state.startsSent > 1 {
		s.startRetryRefused(state, ev.attempt, refusal.Cause)
		return
	}
	delete(w.attempts, ev.attempt)
	s.engine.AttemptEnded(ev.attempt, pool.Refused, "", time.Now())
}

// startRetryRefused handles the refusal of a repeated start request. The worker may have started the attempt on an
// earlier request.
func (s *Scheduler) startRetryRefused(state *attemptState, a work.Attempt, cause Cause) {
	if cause == Outdated {
		// The attempt has ended or was stopped on the worker. The next report shows which.
		state.startConfirmed = clock.Now()
		return
	}
	s.engine.StopUnconfirmed(a)
}

// undelivered reports whether the worker accepted no connection for the request, so that the request had no effect.
func (ev startResult) undelivered() bool {
	return !ev.timedOut && fault.Is(ev.err, fault.Unavailable)
}

// startUndelivered handles a start request that did not reach the worker. The attempt ends as refused, since no request may
// have started it.
func (s *Scheduler) startUndelivered(w *session, ev startResult) {
	s.config.Logger.Warn("start not delivered", "part", ev.attempt.Part, "attempt", ev.attempt.Number, "worker", w.id(), "error", ev.err)
	s.suspend(w)
	delete(w.attempts, ev.attempt)
	s.engine.AttemptEnded(ev.attempt, pool.Refused, "", time.Now())
}

// startUnanswered handles a start request that got no response. It repeats the request, which has no effect if the
// attempt runs, until the limit is reached; then it stops the attempt, which may run, and avoids the worker. There is nothing
// to do if a report of the worker has listed the attempt in the meantime.
func (s *Scheduler) startUnanswered(w *session, state *attemptState, ev startResult) {
	state.startOpen = state.startOpen || !ev.undelivered()
	if state.startConfirmed != clock.Never {
		return
	}
	s.config.Logger.Warn("start not answered", "part", ev.attempt.Part, "attempt", ev.attempt.Number,
		"worker", ev.process.Worker, "tries", state.startsSent, "error", ev.err)
	if !ev.timedOut && !ev.undelivered() {
		state.startBroken = clock.Now()
	}
	start, pending := s.engine.PendingStart(ev.attempt)
	limit := maxStartSends
	if state.firstSentAt.Before(w.lastAnswer) {
		limit = maxStartSendsResponding
	}
	if pending && state.startsSent < limit && !state.processReplaced {
		s.queueStart(w, state, start)
		return
	}
	s.engine.AvoidWorker(ev.attempt)
	s.engine.StopUnconfirmed(ev.attempt)
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
		s.config.Logger.Info("part is stopped", "part", a.Part, "attempt", a.Number, "worker", w.id(), "reason", pool.ReasonNotCurrent)
	}
	state := w.ensureAttempt(a)
	if clock.Since(state.stopConfirmed) > s.config.MaxStopTime+stopRetryPause {
		s.queueStop(w, a, state)
	}
}

// ensureAttempt returns the state of an attempt on the worker, and creates it if it does not exist. The new state counts no
// start requests, because trackStart creates the state of each attempt that this instance starts.
func (w *session) ensureAttempt(a work.Attempt) *attemptState {
	state := w.attempts[a]
	if state == nil {
		state = &attemptState{}
		w.attempts[a] = state
	}
	return state
}

// sendStop sends a queued stop request in the background.
func (s *Scheduler) sendStop(ctx context.Context, w *session, a work.Attempt) {
	if w.attempts[a] == nil {
		return
	}
	flight := s.commands.depart(w)
	req := StopRequest{Worker: w.entry.WorkerProcess, Attempt: a, Epoch: s.lease.Epoch()}
	client := w.client
	s.runAsync(ctx, func() event {
		ctx, cancel := s.stalls.WithTimeout(ctx, requestTimeout)
		defer cancel()
		reply, err := client.Stop(ctx, req)
		if err != nil {
			clock.Sleep(ctx, stopRetryPause)
		}
		return stopResult{attempt: a, process: req.Worker, flight: flight, reply: reply, err: err}
	})
}

// handleStop processes the result of a stop request. A request without a response is repeated.
func (s *Scheduler) handleStop(ev stopResult) {
	s.commands.release(ev.flight)
	w, state := s.findAttempt(ev.process, ev.attempt)
	if state == nil {
		return
	}
	state.stopPending = false
	var refusal *RefusalError
	if errors.As(ev.err, &refusal) && refusal.Cause == Superseded {
		s.lease.MarkLost()
		return
	}
	if ev.err != nil {
		if s.engine.MayRun(ev.attempt, w.id()) {
			s.queueStop(w, ev.attempt, state)
		}
		return
	}
	w.recordReply(ev.reply)
	state.stopConfirmed = clock.Now()
	s.renewSoon(w)
}
