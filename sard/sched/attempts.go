package sched

import (
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/work"
)

// stopPatience is how long a worker may list a part that it should have stopped. Its lease is not extended any more after
// that, which ends all parts on it.
const stopPatience = 10 * time.Second

// attemptState is what the scheduler knows about an attempt that was requested to start or stop and may still run.
type attemptState struct {
	// unrecorded indicates that the decision to start the attempt is not recorded in the store yet, so that no request was
	// sent.
	unrecorded bool
	// startsSent is the number of start requests that this instance has sent since it acquired the scheduler lease.
	startsSent int
	// firstSentAt and lastSentAt are when the first and the last start request were sent.
	firstSentAt, lastSentAt clock.Instant
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
	// stopDue is when the worker should have stopped the attempt at the latest, had it got the first stop request when that
	// was queued.
	stopDue clock.Instant
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
