package gang

import (
	"context"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// execute logs a decision of the engine and carries it out. The caller holds mu.
func (s *Scheduler) execute(decision place.Decision) {
	switch decision := decision.(type) {
	case place.Place:
		s.log.Info("attempt placed", "Job", decision.Job, "Attempt", decision.Attempt, "Parts", decision.Parts,
			"Borrowed", decision.Borrowed, "Reason", decision.Reason)
		s.startAttempt(decision)
	case place.Reclaim:
		s.log.Info("attempt reclaim requested", "Job", decision.Job, "Attempt", decision.Attempt, "For", decision.Claimant,
			"Grace", decision.Grace, "Reason", decision.Reason)
		s.requestEnd(decision.Job, decision.Attempt, termination{result: place.Requeued, reason: decision.Reason, checkpointGrace: decision.Grace})
	case place.Stop:
		s.log.Info("attempt stop requested", "Job", decision.Job, "Attempt", decision.Attempt, "Reason", decision.Reason)
		s.requestEnd(decision.Job, decision.Attempt, termination{result: place.Requeued, reason: decision.Reason})
	case place.Refuse:
		s.log.Info("job refused", "Job", decision.Job, "Reason", decision.Reason)
		if j, ok := s.jobs[decision.Job]; ok {
			s.endQueuedJob(j, ident.Failed, decision.Reason)
		}
	case place.Quarantine:
		s.log.Warn("worker quarantined", "Worker", decision.Worker, "Reason", decision.Reason)
	case place.EndQuarantine:
		s.log.Info("quarantine ended", "Worker", decision.Worker)
	case place.Shortage:
		s.log.Warn("guarantee can't be met", "Account", decision.Account, "Accelerators", decision.Accelerators, "Missing", decision.Missing)
	}
}

// startAttempt starts the attempt that the engine placed. It refuses if another attempt of the job may still be running.
// The caller holds mu.
func (s *Scheduler) startAttempt(decision place.Place) {
	j, ok := s.jobs[decision.Job]
	if !ok || j.attempt != nil || j.ending || j.record.State != ident.Queued || decision.Attempt <= j.record.Attempt {
		_ = s.reportViolation("OneAttempt", decision.Job, "an attempt was placed for a job that is not queued")
		return
	}
	a := s.newAttempt(j, decision.Attempt, decision.Parts)
	a.borrowed = decision.Borrowed
	s.goTask(func(ctx context.Context) { a.run(ctx, decision) })
}

// requestEnd asks an attempt to end, unless it is no longer the job's current one. The caller holds mu.
func (s *Scheduler) requestEnd(id ident.Job, number ident.Attempt, e termination) {
	j, ok := s.jobs[id]
	if !ok || j.attempt == nil || j.attempt.number != number {
		return
	}
	j.attempt.requestEnd(e)
}
