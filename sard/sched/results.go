package sched

import (
	"errors"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// maxStartSends is the maximum number of times that a start request is sent to a worker that does not respond.
	maxStartSends = 2
	// maxStartSendsResponding replaces maxStartSends while the worker responds to other requests. The other parts of a gang
	// wait for longer than these requests take.
	maxStartSendsResponding = 4
	// unwellSuspension is how long no new parts are placed on a worker that refused a start for lack of health or
	// capacity, or that a start did not reach.
	unwellSuspension = 2 * time.Second
)

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
		s.confirmStart(w, state, ev.attempt, confirmation{epoch: ev.epoch, startedMs: ev.reply.StartedMs})
	case errors.As(ev.err, &refusal):
		s.startRefused(state, w, ev, refusal)
	case ev.first && ev.undelivered():
		s.startUndelivered(w, ev)
	default:
		s.startUnanswered(w, state, ev)
	}
}

// confirmation tells by what the start of an attempt was confirmed.
type confirmation struct {
	// epoch is that of the start request that was answered, or 0 if a report has listed the attempt.
	epoch ident.Epoch
	// startedMs is the start time of the worker process that confirmed the start, or 0 if that is unknown.
	startedMs int64
}

// confirmStart records that an attempt was started on a worker, unless that is known.
func (s *Scheduler) confirmStart(w *session, state *attemptState, a work.Attempt, by confirmation) {
	if state.startConfirmed != clock.Never {
		return
	}
	state.startConfirmed = clock.Now()
	s.engine.AttemptBegan(a)
	s.jobBegan(a.Part.Job)
	s.beginsFilling(w, a)
	s.regulate(w, nil)
	fields := []any{
		"part", a.Part, "attempt", a.Number, "worker", w.id(), "epoch", s.lease.Epoch(), "request_epoch", by.epoch,
		"sent", state.startsSent, "born", by.startedMs,
	}
	s.config.Logger.Info("part started", append(fields, s.speedFields(w.id())...)...)
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

// startRefused handles a start request that the worker refused. The attempt ends as refused, unless an earlier request
// may have started it or the scheduler lease is lost.
func (s *Scheduler) startRefused(state *attemptState, w *session, ev startResult, refusal *RefusalError) {
	s.config.Logger.Warn("start refused", "part", ev.attempt.Part, "attempt", ev.attempt.Number, "worker", w.id(),
		"cause", refusal.Cause.String())
	w.recordReply(refusal.Reply)
	if refusal.Cause == Superseded {
		if !s.superseded(w, ev.epoch) {
			// A fencing renewal with a higher epoch has overtaken the request.
			s.startUnsent(w, state, ev)
		}
		return
	}
	switch refusal.Cause {
	case Unwell, NoRoom, OtherLife:
		s.suspendRefusing(w)
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
	s.suspendUnreached(w)
	delete(w.attempts, ev.attempt)
	s.engine.AttemptEnded(ev.attempt, pool.Refused, "", time.Now())
}

// startUnanswered handles a start request that got no response. It repeats the request, which has no effect if the
// attempt runs, until the limit is reached; then it stops the attempt, which may run, and avoids the worker. There is nothing
// to do if a report of the worker has listed the attempt in the meantime.
func (s *Scheduler) startUnanswered(w *session, state *attemptState, ev startResult) {
	if !ev.undelivered() {
		state.startOpen = true
		s.noteOpenStart(w, ev.epoch)
	}
	if state.startConfirmed != clock.Never {
		return
	}
	s.config.Logger.Warn("start not answered", "part", ev.attempt.Part, "attempt", ev.attempt.Number,
		"worker", ev.process.Worker, "request_epoch", ev.epoch, "tries", state.startsSent, "open", !ev.undelivered(), "error", ev.err)
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

// handleStop processes the result of a stop request. A request without a response is repeated.
func (s *Scheduler) handleStop(ev stopResult) {
	s.commands.release(ev.flight)
	w, state := s.findAttempt(ev.process, ev.attempt)
	if state == nil {
		return
	}
	state.stopPending = false
	var refusal *RefusalError
	if errors.As(ev.err, &refusal) && refusal.Cause == Superseded && s.superseded(w, ev.epoch) {
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
