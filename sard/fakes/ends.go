package fakes

import (
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/sched"
)

// checkGangTimeout records a violation if a part of a gang timed out waiting for the other parts without a disturbance.
func (w *Worker) checkGangTimeout(r *run) {
	if r.job().Cancelled.IsZero() && w.fleet.undisturbedFor(2*gangTimeout) {
		w.fleet.addViolation("%v: attempt %d on %s timed out waiting for its gang", r.attempt.Part, r.attempt.Number, w.Entry.WorkerProcess.Worker)
	}
}

// endGangRuns ends a run and the other runs of its gang.
func (w *Worker) endGangRuns(r *run, outcome, othersOutcome pool.End) {
	for _, m := range r.gangRuns() {
		if m != r {
			m.worker.endRun(m, othersOutcome)
		}
	}
	w.endRun(r, outcome)
}

// endRun ends a run with an outcome and adds it to the ends to report.
func (w *Worker) endRun(r *run, outcome pool.End) {
	if r.ended {
		return
	}
	r.ended = true
	part := r.attempt.Part
	w.lastEnd++
	w.unackedEnds = append(w.unackedEnds, sched.EndedAttempt{Sequence: w.lastEnd, Attempt: r.attempt, Outcome: outcome, Checkpoint: r.checkpoint()})
	w.finished[part] = max(w.finished[part], r.attempt.Number)
	switch outcome {
	case pool.Done:
		r.job().done[part] = true
	case pool.Failed:
		r.job().failed.add(r.job().failureKey(part), r.attempt.Number)
	}
	w.fleet.runCounts[part]--
	delete(w.runs, part)
	w.notifyChange()
}
