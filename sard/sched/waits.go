package sched

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/work"
)

//go:generate go tool stringer -type=barReason,orderWait -output=waits_string.go

// barReason is why a worker gets no new parts.
type barReason int

// Reasons for which a worker gets no new parts.
const (
	// noBar means that the worker gets new parts.
	noBar barReason = iota
	// unlisted means that the platform's list lacks the worker.
	unlisted
	// leaving means that the list names the worker as not accepting parts.
	leaving
	// evacuationsUnknown means that the evacuated data centres were not read yet.
	evacuationsUnknown
	// evacuatedCentre means that the worker's data centre is being evacuated.
	evacuatedCentre
	// unreached means that the worker has not responded under this epoch.
	unreached
	// lostWorker means that the worker's lease has expired and that it has not responded since.
	lostWorker
	// unexpectedParts means that the worker runs attempts that are not accounted for on it.
	unexpectedParts
	// silentWorker means that the worker leaves requests without a response, or refuses to report.
	silentWorker
	// keptPart means that the worker does not execute the stop of a part.
	keptPart
	// refusedStart means that the worker has refused a start, or that a start did not reach it.
	refusedStart
	// barReasons is the number of reasons.
	barReasons
)

// orderWait is what an attempt waits for that counts against its worker but is not known to be at work.
type orderWait int

// What attempts wait for.
const (
	// noWait means that the attempt is at work, or is about to be.
	noWait orderWait = iota
	// recordWait means that the decision to start the attempt is not recorded in the store.
	recordWait
	// startWait means that the start request is queued or has no response.
	startWait
	// stopWait means that the stop request is queued or has no response.
	stopWait
	// reportWait means that the worker has confirmed the stop and that no report has shown the end since.
	reportWait
	// leaseWait means that the worker does not report, and that its lease has not expired.
	leaseWait
	// orderWaits is the number of values.
	orderWaits
)

const (
	// waitScanPeriod is the time between two looks at what workers and attempts wait for.
	waitScanPeriod = 500 * time.Millisecond
	// longWait is how long a worker or an attempt may wait for the same before a line is logged.
	longWait = 3 * time.Second
	// longAckWait is how long ends of attempts may await their acknowledgement before a line is logged: as long as a start without a
	// response may hold it up, and a few reports.
	longAckWait = maxOrderLateness + longWait
)

// ofPlatform reports whether the platform or the operator decides when the reason ends. Their own lines tell of it.
func (r barReason) ofPlatform() bool {
	return r == unlisted || r == leaving || r == evacuatedCentre
}

// wait is what a worker or an attempt waits for.
type wait[R comparable] struct {
	reason R
	since  clock.Instant
	// logged indicates that a line tells of the wait.
	logged bool
}

// update records the current reason, and returns the former wait if that has changed and was logged.
func (w *wait[R]) update(reason R) (ended wait[R], logged bool) {
	if w.reason == reason && w.since != clock.Never {
		return wait[R]{}, false
	}
	ended = *w
	*w = wait[R]{reason: reason, since: clock.Now()}
	return ended, ended.logged
}

// overdue reports whether the wait has become so long that a line is to be logged.
func (w *wait[R]) overdue() bool {
	if w.logged || clock.Since(w.since) <= longWait {
		return false
	}
	w.logged = true
	return true
}

// waits tells what workers and attempts wait for.
type waits struct {
	nextScan clock.Instant
}

// waitMetrics counts what workers and attempts wait for.
type waitMetrics struct {
	barred         *prometheus.GaugeVec
	unproven       *prometheus.GaugeVec
	unacknowledged prometheus.Gauge
}

// newWaitMetrics creates the metrics and registers them if registerer is not nil.
func newWaitMetrics(registerer prometheus.Registerer) waitMetrics {
	gauge := func(name, help string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "sardine", Subsystem: "sched", Name: name, Help: help}, []string{"reason"})
	}
	m := waitMetrics{
		barred:   gauge("barred_workers", "Workers that get no new parts; meaningful while holding."),
		unproven: gauge("waiting_attempts", "Attempts that count against their workers and wait for an order or its result; meaningful while holding."),
	}
	m.unacknowledged = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "sardine", Subsystem: "sched", Name: "unacknowledged_workers",
		Help: "Workers with ends of attempts that have not been acknowledged for long; meaningful while holding.",
	})
	if registerer != nil {
		registerer.MustRegister(m.barred, m.unproven, m.unacknowledged)
	}
	return m
}

// barred returns why the worker gets no new parts.
func (s *Scheduler) barred(w *session) barReason {
	switch {
	case !w.listed:
		return unlisted
	case !w.entry.Accepting:
		return leaving
	case s.evacuations == nil:
		return evacuationsUnknown
	case s.evacuated(w):
		return evacuatedCentre
	case !w.fenced:
		return unreached
	case w.lost:
		return lostWorker
	case len(w.strays) > 0:
		return unexpectedParts
	case w.silent():
		return silentWorker
	case w.disobeys():
		return keptPart
	}
	return noBar
}

// awaits returns what an attempt on the worker waits for.
func (s *Scheduler) awaits(w *session, a work.Attempt, state *attemptState) orderWait {
	switch {
	case state.unrecorded:
		return recordWait
	case s.engine.ShouldRun(a, w.id()) && state.startConfirmed != clock.Never:
		return noWait
	case w.unreported():
		return leaseWait
	case state.startQueued || state.startInFlight:
		return startWait
	case state.stopPending:
		return stopWait
	case state.stopConfirmed != clock.Never:
		return reportWait
	}
	return noWait
}

// reportWaits periodically counts what workers and attempts wait for, and logs what has lasted for longer than longWait.
func (s *Scheduler) reportWaits() {
	if clock.Now().Before(s.waits.nextScan) {
		return
	}
	s.waits.nextScan = clock.Now().Add(waitScanPeriod)
	var workers [barReasons]int
	var attempts [orderWaits]int
	unacknowledged := 0
	for _, w := range s.sessions {
		reason := s.barred(w)
		if reason == noBar && clock.Now().Before(w.suspendedUntil) {
			reason = refusedStart
		}
		workers[reason]++
		s.logBar(w, reason)
		s.scanAttempts(w, &attempts)
		if s.logAckWait(w) {
			unacknowledged++
		}
	}
	s.config.Metrics.waits.unacknowledged.Set(float64(unacknowledged))
	for reason := noBar + 1; reason < barReasons; reason++ {
		s.config.Metrics.waits.barred.WithLabelValues(reason.String()).Set(float64(workers[reason]))
	}
	for reason := noWait + 1; reason < orderWaits; reason++ {
		s.config.Metrics.waits.unproven.WithLabelValues(reason.String()).Set(float64(attempts[reason]))
	}
}

// logAckWait reports whether ends of attempts on a worker have awaited their acknowledgement for long, and logs it once.
func (s *Scheduler) logAckWait(w *session) bool {
	if !w.ackDue() || clock.Since(w.ackDueSince) <= longAckWait {
		w.ackWaitLogged = false
		return false
	}
	if !w.ackWaitLogged {
		w.ackWaitLogged = true
		s.config.Logger.Warn("ends are not acknowledged", "worker", w.id(), "ends", w.confirmedEnd-w.ackedEnd,
			"since_ms", clock.Since(w.ackDueSince).Milliseconds(), "attempts", len(w.attempts), "may_acknowledge", w.mayAcknowledge())
	}
	return true
}

// logBar logs that a worker has got no new parts for long, and the end of that.
func (s *Scheduler) logBar(w *session, reason barReason) {
	if ended, logged := w.bar.update(reason); logged {
		s.config.Logger.Info("worker's bar has ended", "worker", w.id(), "reason", ended.reason.String(), "now", reason.String(),
			"lasted_ms", clock.Since(ended.since).Milliseconds())
	}
	if reason != noBar && !reason.ofPlatform() && w.bar.overdue() {
		s.config.Logger.Warn("worker gets no new parts", "worker", w.id(), "reason", reason.String(), "attempts", len(w.attempts),
			"since_ms", clock.Since(w.bar.since).Milliseconds())
	}
}

// scanAttempts counts what the attempts on a worker wait for, and logs the one that waits longest, once for each worker, if
// any of them has waited for long.
func (s *Scheduler) scanAttempts(w *session, counts *[orderWaits]int) {
	waiting, due := 0, false
	var longest *attemptState
	var attempt work.Attempt
	for a, state := range w.attempts {
		reason := s.awaits(w, a, state)
		counts[reason]++
		state.wait.update(reason)
		if reason == noWait {
			continue
		}
		waiting++
		due = state.wait.overdue() || due
		if longest == nil || state.wait.since.Before(longest.wait.since) {
			longest, attempt = state, a
		}
	}
	if !due {
		return
	}
	s.config.Logger.Warn("part waits for an order's result", "part", attempt.Part, "attempt", attempt.Number, "worker", w.id(),
		"reason", longest.wait.reason.String(), "since_ms", clock.Since(longest.wait.since).Milliseconds(), "sent", longest.startsSent,
		"waiting_attempts", waiting)
}
