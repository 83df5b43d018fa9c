package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/work"
)

// crashDelay is the time from the confirmed start of a part that crashes its worker at once until a lease renewal fails. An
// open renewal fails with the worker's connections, and the next one after renewalRetryPause at the latest.
const crashDelay = renewalRetryPause

// countCrashIfReplaced counts the crash of a worker process once another process responds at the worker's address and the
// list has dropped the worker. A worker that is only silent has not crashed.
func (s *Scheduler) countCrashIfReplaced(w *session) {
	if w.otherAnswered && !w.listed {
		s.countCrash(w, nil)
	}
}

// countCrash counts the crash of a worker process against the parts that it had just started, except the attempts that the
// next process has reported. The end of a process whose worker was leaving is no crash.
func (s *Scheduler) countCrash(w *session, reported []work.Attempt) {
	if w.crashCounted || w.entry.Leaving {
		return
	}
	w.crashCounted = true
	evidence := map[work.Attempt]pool.CrashEvidence{}
	for a, state := range w.attempts {
		if found, suspected := w.crashEvidence(state); suspected && !slices.Contains(reported, a) {
			evidence[a] = found
		}
	}
	for _, a := range slices.SortedFunc(maps.Keys(evidence), compareAttempt) {
		s.countSuspect(a, w.entry.WorkerProcess, evidence[a], len(evidence))
	}
}

// countUnseenCrashes counts a possible crash against the parts whose attempts an earlier holder of the scheduler lease
// recorded for a former process of the worker, except those that the worker reports.
func (s *Scheduler) countUnseenCrashes(w *session, reported []work.Attempt) {
	var suspects []work.Attempt
	for a := range w.attempts {
		if s.placedOnFormerProcess(w, a) && !slices.Contains(reported, a) {
			suspects = append(suspects, a)
		}
	}
	slices.SortFunc(suspects, compareAttempt)
	for _, a := range suspects {
		s.countSuspect(a, s.engine.RecordedProcess(a), pool.PossibleCrash, len(suspects))
	}
}

// placedOnFormerProcess reports whether an earlier holder of the scheduler lease recorded an attempt for a former process of
// the worker.
func (s *Scheduler) placedOnFormerProcess(w *session, a work.Attempt) bool {
	recorded := s.engine.RecordedProcess(a)
	return recorded.StartedMs != 0 && recorded.StartedMs < w.entry.StartedMs
}

// countUnlistedCrash counts a possible crash against the parts that an earlier holder of the scheduler lease recorded for a
// worker that is not listed any more.
func (s *Scheduler) countUnlistedCrash(process work.WorkerProcess) {
	var suspects []work.Attempt
	s.engine.ForEachAttempt(func(a work.Attempt, worker work.WorkerProcess) {
		if worker == process {
			suspects = append(suspects, a)
		}
	})
	for _, a := range suspects {
		s.countSuspect(a, process, pool.PossibleCrash, len(suspects))
	}
}

// countSuspect counts a crash of a worker process against one of the parts that it had just started.
func (s *Scheduler) countSuspect(a work.Attempt, process work.WorkerProcess, evidence pool.CrashEvidence, suspects int) {
	count := s.engine.CountCrash(a, process, evidence, time.Now())
	if count.Crashes == 0 {
		return
	}
	s.config.Metrics.crashesCounted.Inc()
	s.config.Logger.Warn("worker crashed under a part", "part", a.Part, "attempt", a.Number, "worker", process.Worker,
		"born", process.StartedMs, "evidence", evidence.String(), "crashes", count.Crashes, "possible", count.Possible,
		"suspects", suspects, "placed_ago_ms", count.SincePlaced.Milliseconds())
	if count.GivenUp {
		s.config.Metrics.partsGivenUp.Inc()
		s.config.Logger.Error("part given up, its workers crash", "part", a.Part, "attempt", a.Number, "crashes", count.Crashes)
	}
}

// compareAttempt orders attempts by job, occurrence, step, part and number.
func compareAttempt(a, b work.Attempt) int {
	return cmp.Or(
		cmp.Compare(a.Part.Job, b.Part.Job),
		cmp.Compare(a.Part.Occurrence, b.Part.Occurrence),
		cmp.Compare(a.Part.Step, b.Part.Step),
		cmp.Compare(a.Part.Index, b.Part.Index),
		cmp.Compare(a.Number, b.Number),
	)
}

// crashEvidence returns whether the crash of the worker process may have followed the start of an attempt, and how certain
// that is. It is likely if the process stopped responding within crashDelay after it had confirmed the start, or after the
// connection of the start request broke. It is possible if no request showed when it stopped.
func (w *session) crashEvidence(state *attemptState) (evidence pool.CrashEvidence, suspected bool) {
	if w.survived(state) {
		return 0, false
	}
	startedAt := state.startBroken
	if state.runningAt != 0 {
		startedAt = state.startConfirmed
	}
	failedAt := w.failedAt
	if failedAt.Before(state.firstSentAt) {
		failedAt = clock.Now()
	}
	if startedAt != clock.Never && failedAt.Sub(startedAt) <= crashDelay {
		return pool.LikelyCrash, true
	}
	return pool.PossibleCrash, state.startsSent > 0 && w.failureUndated || state.adopted()
}

// adopted reports whether an earlier holder of the scheduler lease has placed the attempt, and no response told more.
func (state *attemptState) adopted() bool {
	return state.startsSent == 0 && state.processUnknown
}

// recordAlive records that a worker process has responded at a time on its clock.
func (w *session) recordAlive(process work.WorkerProcess, at WorkerClock) {
	if process == w.entry.WorkerProcess {
		w.aliveAt = max(w.aliveAt, at)
	}
}

// recordRunning records that an attempt runs in a worker process at a time on the clock of that process.
func (w *session) recordRunning(state *attemptState, process work.WorkerProcess, at WorkerClock) {
	if state.runningAt == 0 && process == w.entry.WorkerProcess {
		state.runningAt = at
	}
}

// survived reports whether a response of the worker process shows that it was alive a probation after the start of an
// attempt.
func (w *session) survived(state *attemptState) bool {
	return state.runningAt != 0 && w.aliveAt >= state.runningAt+WorkerClock(pool.Probation.Milliseconds())
}

// recordSurvival records that a report has listed an attempt as running, and passes on whether it has survived its
// probation.
func (s *Scheduler) recordSurvival(w *session, a work.Attempt) {
	state := w.attempts[a]
	if state == nil {
		return
	}
	w.recordRunning(state, w.entry.WorkerProcess, w.aliveAt)
	if w.survived(state) {
		s.engine.AttemptSurvived(a)
	}
}
