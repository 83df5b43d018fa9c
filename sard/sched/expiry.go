package sched

import (
	"time"

	"github.com/sardineline/sardineline/sard/clock"
)

// expiryPeriod is the time between checks of the worker leases for expiry.
const expiryPeriod = 50 * time.Millisecond

// expireLeases treats the attempts on workers that have certainly ended, or whose leases have certainly expired, as lost,
// so that their parts can be started elsewhere. While a renewal is in flight it waits for its result, since the response
// may already have arrived and list the ends of attempts. It places no new parts on workers that do not respond.
func (s *Scheduler) expireLeases() {
	now := clock.Now()
	if now.Before(s.nextExpiry) {
		return
	}
	s.nextExpiry = now.Add(expiryPeriod)
	for _, w := range s.sessions {
		if w.silent() {
			s.engine.DropWorker(w.id())
		}
		ended := w.ended()
		if ended {
			s.countCrash(w, nil)
		}
		if !ended && !w.expired(now) {
			continue
		}
		s.endStrays(w)
		if !s.engine.ProcessBusy(w.entry.WorkerProcess) {
			continue
		}
		w.lost = true
		s.engine.DropWorker(w.id())
		s.config.Metrics.workersLost.Inc()
		message := "worker lost, its lease has expired"
		if ended {
			message = "worker lost, its host runs a later worker"
		}
		s.config.Logger.Warn(message, "worker", w.id(), "answered_ago_ms", now.Sub(w.lastAnswer).Milliseconds())
		s.engine.ProcessLost(w.entry.WorkerProcess, time.Now())
	}
	if now.Before(s.inheritedLeaseExpiry()) {
		return
	}
	for _, process := range s.engine.BusyProcesses() {
		w := s.sessions[process.Worker]
		if w != nil && w.entry.WorkerProcess == process {
			continue
		}
		s.config.Logger.Warn("recorded worker process lost, its lease has expired", "worker", process.Worker, "born", process.StartedMs)
		s.countUnlistedCrash(process)
		s.engine.ProcessLost(process, time.Now())
	}
}

// expired reports whether the worker does not report and its lease has certainly expired.
func (w *session) expired(now clock.Instant) bool {
	return (w.unreported() || !w.fenced) && !w.renewing && !now.Before(w.leaseExpiry) && !now.Before(w.certainExpiry())
}
