package sched

import (
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/work"
)

// handleMissing handles the attempts that should run on a worker but are missing from its report. A report that omits ends does
// not tell what became of them: their ends may be among these.
func (s *Scheduler) handleMissing(w *session, ev renewalResult) {
	reported := map[work.Attempt]bool{}
	for _, r := range ev.report.Running {
		reported[r.Attempt] = true
	}
	first := w.unresolved
	w.unresolved = first && ev.report.EndsOmitted
	for a, state := range w.attempts {
		switch {
		case reported[a]:
		case s.outdated(w, a, state):
			delete(w.attempts, a)
		case ev.report.EndsOmitted:
			s.settleProcess(w, a, state, ev)
		default:
			s.resolveMissing(w, a, state, ev, first)
		}
	}
}

// outdated reports whether nothing can come of an attempt any more: the engine does not account for it, as its worker's lease has
// expired, and all start requests for it are too old to be executed.
func (s *Scheduler) outdated(w *session, a work.Attempt, state *attemptState) bool {
	if s.engine.MayRun(a, w.id()) || state.unrecorded || state.startQueued || state.startInFlight || state.stopPending {
		return false
	}
	return clock.Since(state.lastSentAt) > requestTimeout+maxOrderLateness
}

// settleProcess records that no later process than the one that reports has executed the start of an attempt, if the report was
// sent after the start was confirmed, or after its stop was, or if the start was an earlier lease holder's. Acknowledgements wait
// for that, and the omitted ends for them.
func (s *Scheduler) settleProcess(w *session, a work.Attempt, state *attemptState, ev renewalResult) {
	confirmed := func(at clock.Instant) bool { return at != clock.Never && at.Before(ev.sentAt) }
	switch {
	case confirmed(state.startConfirmed) || confirmed(state.stopConfirmed) || state.startsSent == 0 && w.fenced:
		state.processUnknown = false
	case state.startInFlight || state.stopPending || state.unrecorded:
		// The result of the request or of the write tells more.
	case state.processReplaced && state.startsSent > 0:
		s.resolveReplaced(w, a, state)
	}
}

// resolveMissing determines what happened to an attempt that is missing from the response to a lease renewal. It has ended
// as stopped or lost if the worker had confirmed its stop or start before, or had listed it. On the worker's first complete report
// under this epoch, an attempt that an earlier holder of the scheduler lease placed is started if it is meant to run. The order of
// the cases matters: what the worker has confirmed comes before what it can't do any more, and both before requests without a
// result.
func (s *Scheduler) resolveMissing(w *session, a work.Attempt, state *attemptState, ev renewalResult, first bool) {
	switch {
	case state.stopConfirmed != clock.Never && state.stopConfirmed.Before(ev.sentAt):
		delete(w.attempts, a)
		s.engine.AttemptEnded(a, pool.Stopped, "", time.Now())
	case state.startConfirmed != clock.Never && state.startConfirmed.Before(ev.sentAt) || state.vanished():
		s.config.Logger.Warn("part vanished", "part", a.Part, "attempt", a.Number, "worker", w.id())
		delete(w.attempts, a)
		s.engine.AttemptEnded(a, pool.Lost, "", time.Now())
	case s.cannotStart(w, a, state):
		s.config.Logger.Info("part is not started any more", "part", a.Part, "attempt", a.Number, "worker", w.id())
		delete(w.attempts, a)
		s.engine.AttemptEnded(a, pool.Refused, "", time.Now())
	case state.startInFlight || state.stopPending || state.unrecorded:
		// The result of the request or of the write tells more.
	case state.startConfirmed != clock.Never || state.stopConfirmed != clock.Never:
		// A later report tells more.
	case state.processReplaced:
		s.resolveReplaced(w, a, state)
	case first && state.startsSent == 0:
		s.resolveAdopted(w, a, state)
	}
}

// vanished reports whether an attempt of an earlier holder of the scheduler lease, which a report lacks, was in an earlier one.
// The worker refuses the requests that might start it again.
func (state *attemptState) vanished() bool {
	return state.startsSent == 0 && state.listedAt != clock.Never
}

// cannotStart reports whether an attempt that is being stopped, and that a report lacks, can't be started any more though its
// stop has no response: this instance has sent no start request, and the worker refuses those of earlier ones. A request
// that was sent may still be executed by the worker's next process, whatever its deadline was.
func (s *Scheduler) cannotStart(w *session, a work.Attempt, state *attemptState) bool {
	if s.engine.ShouldRun(a, w.id()) || state.unrecorded || state.startInFlight || state.processReplaced {
		return false
	}
	return state.startsSent == 0
}

// resolveAdopted handles an attempt of an earlier holder of the scheduler lease that the worker's first report lacks. The
// worker refuses the start requests of that holder from now on.
func (s *Scheduler) resolveAdopted(w *session, a work.Attempt, state *attemptState) {
	s.noteOpenStart(w, w.epoch-1)
	if s.placedOnFormerProcess(w, a) {
		delete(w.attempts, a)
		s.engine.AttemptEnded(a, pool.Lost, "", time.Now())
		return
	}
	if start, pending := s.engine.PendingStart(a); pending {
		s.queueStart(w, state, start)
		return
	}
	delete(w.attempts, a)
	s.engine.AttemptEnded(a, pool.Stopped, "", time.Now())
}

// resolveReplaced ends an attempt that the later process of a worker does not report. If this instance sent its start
// request, which may still arrive, the attempt is stopped first.
func (s *Scheduler) resolveReplaced(w *session, a work.Attempt, state *attemptState) {
	if state.startsSent == 0 {
		delete(w.attempts, a)
		s.engine.AttemptEnded(a, pool.Lost, "", time.Now())
		return
	}
	s.engine.StopUnconfirmed(a)
	s.queueStop(w, a, state)
}
