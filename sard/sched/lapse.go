package sched

import (
	"time"

	"github.com/sardineline/sardineline/sard/clock"
)

// lapse gives up what ran on workers whose leases have surely lapsed.
func (s *Scheduler) lapse() {
	now := clock.Now()
	for _, w := range s.sessions {
		if w.silent() {
			s.engine.DropWorker(w.id())
		}
		if w.lost || now.Before(w.lapse) || (!w.unanswered && w.fenced) || !s.engine.ProcessBusy(w.entry.WorkerProcess) {
			continue
		}
		w.lost = true
		s.config.Metrics.lost.Inc()
		s.config.Logger.Warn("worker lost, its lease has lapsed", "worker", w.id(), "answered_ago_ms", now.Sub(w.answered).Milliseconds())
		s.engine.ProcessLost(w.entry.WorkerProcess, time.Now())
	}
	if now.Before(s.inherited()) {
		return
	}
	for _, life := range s.engine.BusyProcesses() {
		w := s.sessions[life.Worker]
		if w != nil && w.entry.WorkerProcess == life {
			continue
		}
		s.config.Logger.Warn("recorded worker process lost, its lease has lapsed", "worker", life.Worker, "born", life.StartedMs)
		s.engine.ProcessLost(life, time.Now())
	}
}
