package sched

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// event is a message to the loop in Scheduler.run. Only types of this package implement it.
type event interface{ event() }

// rowsChanged reports rows of the job table or the worker list, which were listed or have changed.
type rowsChanged struct {
	table string
	rows  []store.Row
	// snapshot indicates that rows holds all rows of the table.
	snapshot bool
	// readAt is the time as of which the rows, with those of earlier events, show the whole table.
	readAt clock.Instant
}

// commitResult is the result of a journal write.
type commitResult struct {
	version store.Version
	err     error
}

// startResult is the result of a start request.
type startResult struct {
	attempt work.Attempt
	process work.WorkerProcess
	epoch   ident.Epoch
	flight  *flight
	sentAt  clock.Instant
	// first indicates that no earlier request may have started the attempt.
	first bool
	// unsent indicates that the request was not sent, because the scheduler lease was not known to be held.
	unsent bool
	// timedOut indicates that the request was given up.
	timedOut bool
	reply    Reply
	err      error
}

// stopResult is the result of a stop request.
type stopResult struct {
	attempt work.Attempt
	process work.WorkerProcess
	epoch   ident.Epoch
	flight  *flight
	reply   Reply
	err     error
}

// renewalResult is the result of a lease renewal.
type renewalResult struct {
	process  work.WorkerProcess
	epoch    ident.Epoch
	sentAt   clock.Instant
	ackedEnd EndSequence
	report   WorkerReport
	// timedOut indicates that the renewal was given up.
	timedOut bool
	err      error
}

func (rowsChanged) event()   {}
func (commitResult) event()  {}
func (startResult) event()   {}
func (stopResult) event()    {}
func (renewalResult) event() {}

// handle processes an event of the scheduler loop, such as the result of a request. Decisions that follow from it are
// made in step.
func (s *Scheduler) handle(ctx context.Context, ev event) {
	switch ev := ev.(type) {
	case rowsChanged:
		s.handleRows(ev)
	case commitResult:
		s.handleCommit(ctx, ev)
	case startResult:
		s.handleStart(ev)
	case stopResult:
		s.handleStop(ev)
	case renewalResult:
		s.handleRenewal(ev)
	case throttleResult:
		s.handleThrottle(ev)
	case fenceResult:
		s.handleFence(ev)
	case learnedResult:
		s.handleLearned(ev)
	case cleanupResult:
		s.handleCleanup(ev)
	case refusalsDeleted:
		s.handleRefusalsDeleted(ev)
	case waitsQuestion:
		s.handleQuestion(ev)
	}
}

// handleRows processes rows of the job table or the worker list that were listed or have changed. It adds and cancels
// jobs, or updates the sessions with workers.
func (s *Scheduler) handleRows(ev rowsChanged) {
	if ev.table == work.JobTable {
		for _, row := range ev.rows {
			s.handleJobRow(row)
		}
		return
	}
	s.handleWorkerRows(ev)
}

// handleJobRow adds a new job to the engine, or cancels an open job that was cancelled by its account.
func (s *Scheduler) handleJobRow(row store.Row) {
	job := s.changedJob(row)
	if job == nil {
		return
	}
	if s.engine.HasOpenJob(job.ID) {
		if job.Cancelled {
			s.engine.CancelJob(job.ID)
		}
		return
	}
	now := time.Now()
	s.engine.AddJob(job, s.loadedProgress[job.ID], now, now.UnixMilli())
	delete(s.loadedProgress, job.ID)
	s.config.Logger.Info("job taken in", "job", job.ID, "account", job.Account, "queue", job.Queue,
		"priority", s.queueSettings(job).Priority, "steps", len(job.Steps), "parts", job.Steps[0].Parts, "need", job.Steps[0].Need,
		"estimate_ms", job.Steps[0].Estimate.Milliseconds(), "gang", job.Steps[0].Gang, "checkpoints", job.Steps[0].Checkpoints, "same_rack", job.Steps[0].SameRack,
		"row_version", row.Version, "cancelled", job.Cancelled)
}

// changedJob returns the job of a row that has changed, or nil if the row holds none that can be used.
func (s *Scheduler) changedJob(row store.Row) *work.Job {
	id := ident.Job(row.Key.Name)
	if row.Deleted {
		delete(s.jobVersions, id)
		delete(s.refusals, id)
		return nil
	}
	if s.jobVersions[id] >= row.Version {
		return nil
	}
	s.jobVersions[id] = row.Version
	var record work.JobRow
	if err := work.Decode(row.Value, &record); err != nil {
		s.config.Logger.Error("job record not decoded, job ignored", "job", id, "error", err)
		return nil
	}
	s.refusals.update(row, record.Refused, s.config.JobRetention)
	if record.Refused || record.Job == nil {
		return nil
	}
	if _, ended := s.ended[record.Job.ID]; ended {
		return nil
	}
	if err := s.validateJob(id, record.Job); err != nil {
		s.config.Logger.Error("job record malformed, job ignored", "job", id, "error", err)
		return nil
	}
	return record.Job
}

// validateJob returns an error if the record of a job, or that of its progress, is malformed.
func (s *Scheduler) validateJob(id ident.Job, job *work.Job) error {
	if job.ID != id {
		return fault.New(fault.Invalid, "read record of job", string(id), "it is of job %s", job.ID)
	}
	if err := job.Validate(); err != nil {
		return err
	}
	if progress := s.loadedProgress[id]; progress != nil {
		return job.ValidateProgress(progress)
	}
	return nil
}

// handleWorkerRows updates the sessions with workers after rows of the platform's worker list were listed or have
// changed. A row that can't be read lists no worker.
func (s *Scheduler) handleWorkerRows(ev rowsChanged) {
	s.workersReadAt = ev.readAt
	listed := map[string]bool{}
	for _, row := range ev.rows {
		if row.Deleted {
			s.handleUnlisted(row.Key.Name)
			continue
		}
		entry, err := s.config.DecodeWorker(row)
		if err != nil {
			s.config.Logger.Debug("worker list entry ignored", "entry", row.Key.Name, "error", err)
			s.handleUnlisted(row.Key.Name)
			continue
		}
		listed[row.Key.Name] = true
		s.handleListed(entry)
	}
	if !ev.snapshot {
		return
	}
	for id := range s.sessions {
		if !listed[string(id)] {
			s.handleUnlisted(string(id))
		}
	}
}

// jobEnded updates the metrics and the list of ended jobs after the end of a job was recorded in the store.
func (s *Scheduler) jobEnded(c pool.Change, now time.Time) {
	s.ended[c.Job] = now.Add(s.config.JobRetention)
	delete(s.stuck, c.Job)
	s.config.Metrics.jobEnded(c)
	s.config.Logger.Info("job ended", "job", c.Job, "account", c.Progress.Account, "queue", c.Queue,
		"state", c.Progress.State.String(), "took_ms", c.Elapsed.Milliseconds(), "objective_ms", c.Objective.Milliseconds())
}
