package sched

import (
	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/work"
)

// updateStrays tells the engine which strays the worker runs by its report, and which it does not run any more. The lease of a
// worker that has executed a start late may last for as long as a worker grants.
func (s *Scheduler) updateStrays(w *session, report WorkerReport) {
	former := w.strays
	w.strays = map[work.Attempt]bool{}
	for _, r := range report.Running {
		if s.engine.MayRun(r.Attempt, w.id()) {
			continue
		}
		known, seen := former[r.Attempt]
		delete(former, r.Attempt)
		if !seen {
			known = s.engine.StrayBegan(r.Attempt)
			w.leaseExpiry = max(w.leaseExpiry, clock.Now().Add(s.maxLeaseDuration()))
		}
		w.strays[r.Attempt] = known
	}
	s.strayEnded(former)
}

// endStrays tells the engine that the worker process runs no strays any more, as it has ended or its lease has expired.
func (s *Scheduler) endStrays(w *session) {
	s.strayEnded(w.strays)
	w.strays = nil
}

// strayEnded tells the engine that strays do not run any more.
func (s *Scheduler) strayEnded(strays map[work.Attempt]bool) {
	for a, known := range strays {
		if known {
			s.engine.StrayEnded(a)
		}
	}
}
