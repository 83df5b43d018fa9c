package sched

import (
	"time"

	"github.com/sardineline/sardineline/sard/clock"
)

// An acknowledgement of ends names no worker process. A process that has started since the last report would discard its own
// ends with the same sequence numbers, before any report has listed them. So acknowledgements and starts exclude each other:
// an acknowledgement is sent only when a report has shown which process each start has reached, and starts wait for its
// response. A later process then has no ends that the acknowledgement could discard.

const (
	// acksFirstLimit is how long starts wait for an acknowledgement that is due but may not be sent yet.
	acksFirstLimit = 500 * time.Millisecond
	// ackRetryPause is the pause between lease renewals while an acknowledgement is due that may not be sent yet, or until a
	// report is asked for after a stop.
	ackRetryPause = 50 * time.Millisecond
)

// ackDue reports whether ends of attempts are to be acknowledged to the worker.
func (w *session) ackDue() bool {
	return w.confirmedEnd > w.ackedEnd && !w.unanswered
}

// mayAcknowledge reports whether a report has shown which process each start request has reached.
func (w *session) mayAcknowledge() bool {
	for _, state := range w.attempts {
		if state.processUnknown {
			return false
		}
	}
	return true
}

// awaitsStart reports whether a start request is in flight.
func (w *session) awaitsStart() bool {
	for _, state := range w.attempts {
		if state.startInFlight {
			return true
		}
	}
	return false
}

// holdsStarts reports whether start requests to the worker wait for an acknowledgement.
func (w *session) holdsStarts() bool {
	return w.acknowledging || w.acksFirst()
}

// acksFirst reports whether an acknowledgement is due and goes before start requests.
func (w *session) acksFirst() bool {
	return w.ackDue() && clock.Since(w.ackDueSince) <= acksFirstLimit
}

// awaitsStartBeforeAck reports whether a renewal waits for the response to a start request, because it could not acknowledge
// the ends that are due before.
func (w *session) awaitsStartBeforeAck() bool {
	return w.acksFirst() && w.awaitsStart()
}
