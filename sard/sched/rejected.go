package sched

import (
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
)

// rejectionPause is the time after which a progress record is written again that the store has refused for good. What it holds
// may have changed by then.
const rejectionPause = 10 * time.Second

// rejectedRecords holds the progress records that the store refuses for good, such as one that is too large for it. The jobs
// are set aside: no part of them is started, and the ends of their parts are not acknowledged. All other jobs go on.
type rejectedRecords struct {
	// retryAt holds the jobs that are set aside, with the time at which their records are written again.
	retryAt map[ident.Job]clock.Instant
	// suspects holds the jobs of refused batches. Each of them is written by itself, to find those that are refused.
	suspects map[ident.Job]bool
}

// newRejectedRecords returns rejectedRecords without any.
func newRejectedRecords() rejectedRecords {
	return rejectedRecords{retryAt: map[ident.Job]clock.Instant{}, suspects: map[ident.Job]bool{}}
}

// full reports whether no other change may be added to a batch, as one of them may be refused.
func (r *rejectedRecords) full(b *batch) bool {
	return len(b.changes) > 0 && len(r.suspects) > 0
}

// written forgets suspicions about the changes of a batch that was written.
func (r *rejectedRecords) written(b *batch) {
	for _, c := range b.changes {
		delete(r.suspects, c.Job)
	}
}

// batchRejected handles a batch that the store refuses for good, which has had no effect. Its changes are written one by one
// from now on; the job of one that is refused by itself is set aside.
func (s *Scheduler) batchRejected(b *batch, err error) {
	s.journal.batch = nil
	s.journal.pendingStarts = append(b.starts, s.journal.pendingStarts...)
	if len(b.changes) == 1 {
		s.rejectRecord(b.changes[0], err)
		return
	}
	s.config.Logger.Warn("record refused, its changes are written one by one", "batch", b.id, "jobs", len(b.changes), "error", err)
	for _, c := range b.changes {
		s.journal.rejected.suspects[c.Job] = true
	}
	s.engine.ChangesNotWritten(b.changes)
}

// rejectRecord sets a job aside whose progress record can't be written, for rejectionPause. Its starts, of which no request
// was sent, are given up.
func (s *Scheduler) rejectRecord(c pool.Change, err error) {
	s.config.Metrics.recordsRejected.Inc()
	s.config.Logger.Error("record of a job refused, the job is set aside", "job", c.Job, "groups", len(c.Progress.Groups), "error", err)
	delete(s.journal.rejected.suspects, c.Job)
	s.journal.rejected.retryAt[c.Job] = clock.Now().Add(rejectionPause)
	s.engine.ChangesNotWritten([]pool.Change{c})
	s.engine.SetAside(c.Job, true)
	var starts []pool.Start
	starts, s.journal.pendingStarts = s.splitStarts([]pool.Change{c})
	for _, start := range starts {
		if w := s.session(start.Worker); w != nil {
			delete(w.attempts, start.Attempt)
		}
		s.engine.AttemptEnded(start.Attempt, pool.Refused, "", time.Now())
	}
}

// retryRejected lets the records be written again whose pause is over.
func (s *Scheduler) retryRejected() {
	for id, at := range s.journal.rejected.retryAt {
		if !clock.Now().Before(at) {
			delete(s.journal.rejected.retryAt, id)
			s.engine.SetAside(id, false)
			if s.engine.HasOpenJob(id) {
				s.journal.rejected.suspects[id] = true
			}
		}
	}
}

// recordedEnd is a processed end of an attempt of a job.
type recordedEnd struct {
	sequence EndSequence
	job      ident.Job
}

// confirmableEnd returns the last processed end of a worker before which no end is of a job that is set aside. The ends of such
// a job are not recorded.
func (s *Scheduler) confirmableEnd(w *session) EndSequence {
	if len(s.journal.rejected.retryAt) == 0 {
		return w.seenEnd
	}
	for _, end := range w.unrecordedEnds {
		if _, aside := s.journal.rejected.retryAt[end.job]; aside {
			return end.sequence - 1
		}
	}
	return w.seenEnd
}
