package sched

import (
	"context"
	"strconv"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// batchBytes is the size of a transaction at which no more progress records are added to it.
	batchBytes = 256 << 10
	// chunkSize is the number of progress records that are added to a transaction at a time.
	chunkSize = 8
	// commitTimeout limits the duration of a journal write.
	commitTimeout = 800 * time.Millisecond
	// commitPause is the pause after a failed journal write.
	commitPause = 40 * time.Millisecond
)

// journalKey is the key of the row that holds the ID of the last batch of progress records. Each batch requires the
// version of the row that the previous one wrote, so a delayed copy of a batch cannot overwrite a later one.
var journalKey = store.Key{Table: work.JournalTable, Partition: work.MainPartition, Name: "batch"}

// journal holds the state of writing the progress records of jobs to the store, one batch at a time.
type journal struct {
	// version is the version of the row at journalKey.
	version store.Version
	// pendingStarts holds start decisions that are not recorded in the store yet.
	pendingStarts []pool.Start
	// batch is the batch being written, or nil.
	batch *batch
	// batchCount is the number of batches since this instance holds the scheduler lease.
	batchCount uint64
	// failures is the number of failed attempts to write the batch.
	failures int
	// writeStarted is when the first attempt to write the batch started.
	writeStarted time.Time
}

// batch is a transaction that writes progress records, with the changes that it records and the actions to take once it
// is written.
type batch struct {
	id       string
	tx       store.Tx
	changes  []pool.Change
	starts   []pool.Start
	seenEnds map[work.WorkerProcess]EndSequence
}

// loadJournal takes over the version of the row at journalKey, which an earlier holder of the scheduler lease may have
// written.
func (s *Scheduler) loadJournal(rows []store.Row) {
	for _, row := range rows {
		s.journal.version = row.Version
	}
}

// commit starts to write the pending changes to progress records, unless a write is in flight.
func (s *Scheduler) commit(ctx context.Context) {
	if s.journal.batch != nil {
		return
	}
	b := s.newBatch()
	if b == nil {
		return
	}
	s.journal.batch, s.journal.writeStarted = b, time.Now()
	s.write(ctx, b)
}

// newBatch returns a batch of pending changes to progress records, or nil if there are none.
func (s *Scheduler) newBatch() *batch {
	if s.engine.PendingChanges() == 0 {
		s.confirmEnds(s.unconfirmedEnds())
		return nil
	}
	s.journal.batchCount++
	b := &batch{id: strconv.FormatUint(uint64(s.lease.Epoch()), 10) + "." + strconv.FormatUint(s.journal.batchCount, 10)}
	b.tx = store.Tx{
		Preconditions: []store.Precondition{s.lease.Fence(), {Key: journalKey, Version: s.journal.version}},
		Put:           []store.Put{{Key: journalKey, Value: []byte(b.id)}},
	}
	size := 0
	for size < batchBytes && b.tx.Len() < store.MaxEntries-chunkSize {
		changes := s.engine.TakeChanges(chunkSize, time.Now())
		if len(changes) == 0 {
			break
		}
		for _, c := range changes {
			size += s.addChange(&b.tx, c)
		}
		b.changes = append(b.changes, changes...)
	}
	b.starts, s.journal.pendingStarts = s.splitStarts(b.changes)
	if s.engine.PendingChanges() == 0 {
		// The processed ends may affect any of the pending changes, so they are confirmed only by a batch that
		// contains all of them.
		b.seenEnds = s.unconfirmedEnds()
	}
	return b
}

// splitStarts splits the pending start decisions into those of jobs with a change in changes, which records them, and
// the rest.
func (s *Scheduler) splitStarts(changes []pool.Change) (recorded, rest []pool.Start) {
	jobs := map[ident.Job]bool{}
	for _, c := range changes {
		jobs[c.Job] = true
	}
	for _, start := range s.journal.pendingStarts {
		if jobs[start.Attempt.Part.Job] {
			recorded = append(recorded, start)
			continue
		}
		rest = append(rest, start)
	}
	return recorded, rest
}

// addChange adds the progress record of a job to a transaction and returns its size in bytes.
func (s *Scheduler) addChange(tx *store.Tx, c pool.Change) int {
	if c.Progress.State.Terminal() {
		c.Progress.EndedMs = time.Now().UnixMilli()
	}
	value, err := work.Encode(c.Progress)
	if err != nil {
		s.config.Logger.Error("progress record not encoded", "job", c.Job, "error", err)
		return 0
	}
	tx.Put = append(tx.Put, store.Put{Key: work.ProgressKey(c.Job), Value: value})
	return len(value)
}

// write makes an attempt to write a batch, in the background.
func (s *Scheduler) write(ctx context.Context, b *batch) {
	s.runAsync(ctx, func() event {
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		result, err := s.config.Store.Apply(ctx, b.tx)
		if fault.Is(err, fault.Conflict) {
			return s.resolveConflict(b, result, err)
		}
		return commitResult{version: result.Version, err: err}
	})
}

// resolveConflict checks whether a write conflicts with an earlier attempt to write the same batch, which then
// succeeded.
func (s *Scheduler) resolveConflict(b *batch, result store.Result, err error) commitResult {
	for _, row := range result.Current {
		if row.Key == journalKey && string(row.Value) == b.id {
			return commitResult{version: row.Version}
		}
	}
	return commitResult{err: err}
}

// handleCommit processes the result of a journal write. After a success, it sends the start requests that the batch
// records.
func (s *Scheduler) handleCommit(ctx context.Context, ev commitResult) {
	b := s.journal.batch
	if fault.Is(ev.err, fault.Conflict) {
		s.lease.MarkLost()
		return
	}
	if ev.err != nil {
		s.writeFailed(b, ev.err)
		s.retryWrite(ctx, b)
		return
	}
	s.writeSucceeded(b)
	s.journal.batch = nil
	s.journal.version = ev.version
	now := time.Now()
	for _, c := range b.changes {
		if c.Progress.State.Terminal() {
			s.jobEnded(c, now)
		}
		s.scheduleWaitingRowDeletion(c)
	}
	s.engine.ChangesWritten(b.changes)
	s.confirmEnds(b.seenEnds)
	for _, start := range b.starts {
		s.startAttempt(start)
	}
}

// writeFailed counts a failed journal write and logs the first failure of a batch.
func (s *Scheduler) writeFailed(b *batch, err error) {
	s.journal.failures++
	if s.journal.failures == 1 {
		s.config.Logger.Warn("record not written, retrying", "batch", b.id, "jobs", len(b.changes), "error", err)
	}
}

// writeSucceeded records the duration of a journal write, and logs it if earlier attempts failed.
func (s *Scheduler) writeSucceeded(b *batch) {
	observeSince(s.config.Metrics.recordSeconds, s.journal.writeStarted)
	if s.journal.failures > 0 {
		s.config.Logger.Info("record written", "batch", b.id, "jobs", len(b.changes), "failures", s.journal.failures,
			"took_ms", time.Since(s.journal.writeStarted).Milliseconds())
	}
	s.journal.failures = 0
}

// retryWrite writes a batch again after a pause.
func (s *Scheduler) retryWrite(ctx context.Context, b *batch) {
	s.group.Go(func() error {
		if clock.Sleep(ctx, commitPause) {
			s.write(ctx, b)
		}
		return nil
	})
}

// unconfirmedEnds returns, for each worker process with ends of attempts whose consequences are not recorded yet, the last
// processed end.
func (s *Scheduler) unconfirmedEnds() map[work.WorkerProcess]EndSequence {
	if len(s.unconfirmed) == 0 {
		return nil
	}
	ends := map[work.WorkerProcess]EndSequence{}
	for id, w := range s.unconfirmed {
		if w.seenEnd > w.confirmedEnd {
			ends[w.entry.WorkerProcess] = w.seenEnd
			continue
		}
		delete(s.unconfirmed, id)
	}
	return ends
}

// confirmEnds marks ends of attempts whose consequences are recorded in the store, so that the workers can discard
// them.
func (s *Scheduler) confirmEnds(ends map[work.WorkerProcess]EndSequence) {
	for process, sequence := range ends {
		if w := s.session(process); w != nil {
			if w.confirmedEnd == w.ackedEnd {
				w.ackDueSince = clock.Now()
			}
			w.confirmedEnd = max(w.confirmedEnd, sequence)
			s.renewSoon(w)
		}
	}
}
