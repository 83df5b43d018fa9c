package sched

import (
	"context"
	"slices"
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
	// batchMargin is left to store.MaxTxBytes for the row at journalKey.
	batchMargin = 1 << 10
	// maxRecordEntries is the maximum number of a transaction's entries that a progress record takes.
	maxRecordEntries = work.MaxRecordRows
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
	// furtherRows holds the number of further rows of the stored progress records that have some.
	furtherRows furtherRows
	// rejected holds what the store refuses to write.
	rejected rejectedRecords
	// failures is the number of failed attempts to write the batch.
	failures int
	// writeStarted is when the first attempt to write the batch started.
	writeStarted time.Time
}

// batch is a transaction that writes progress records, with the changes that it records and the actions to take once it
// is written.
type batch struct {
	id      string
	tx      store.Tx
	changes []pool.Change
	// furtherRows holds the numbers of further rows of the records of all changes.
	furtherRows furtherRows
	starts      []pool.Start
	seenEnds    map[work.WorkerProcess]EndSequence
	// listed holds the entries of the start list that it writes; nil if it writes none.
	listed map[ident.Worker]storedStart
}

// furtherRows holds the numbers of further rows of progress records; jobs without any may be left out.
type furtherRows map[ident.Job]int

// set records the number of further rows of a job's record.
func (f furtherRows) set(id ident.Job, rows int) {
	if rows == 0 {
		delete(f, id)
		return
	}
	f[id] = rows
}

// loadJournal takes over the version of the row at journalKey, which an earlier holder of the scheduler lease may have
// written.
func (s *Scheduler) loadJournal(rows []store.Row) {
	for _, row := range rows {
		if row.Key == journalKey {
			s.journal.version = row.Version
		}
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
		if !s.starts.unlisted {
			return nil
		}
	}
	s.journal.batchCount++
	b := &batch{id: strconv.FormatUint(uint64(s.lease.Epoch()), 10) + "." + strconv.FormatUint(s.journal.batchCount, 10), furtherRows: furtherRows{}}
	b.tx = store.Tx{
		Preconditions: []store.Precondition{s.lease.Fence(), {Key: journalKey, Version: s.journal.version}},
		Put:           []store.Put{{Key: journalKey, Value: []byte(b.id)}},
	}
	size := 0
	for size < batchBytes && b.tx.Len() < store.MaxEntries-maxRecordEntries && !s.journal.rejected.full(b) {
		changes := s.engine.TakeChanges(1, time.Now())
		if len(changes) == 0 {
			break
		}
		added, ok := s.addChange(b, changes[0], size)
		if !ok {
			s.engine.ChangesNotWritten(changes)
			break
		}
		size += added
	}
	b.starts, s.journal.pendingStarts = s.splitStarts(b.changes)
	s.addStartList(b)
	if len(b.changes) == 0 && !s.starts.gains(b.listed) {
		return nil
	}
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

// addChange adds the progress record of a job to a batch of the given size and returns its size in bytes. It returns false if
// the batch would be too large.
func (s *Scheduler) addChange(b *batch, c pool.Change, batchSize int) (size int, ok bool) {
	if c.Progress.State.Terminal() {
		c.Progress.EndedMs = time.Now().UnixMilli()
	}
	rows, err := work.EncodeProgress(c.Job, c.Progress)
	if err != nil {
		s.rejectRecord(c, err)
		return 0, true
	}
	for _, row := range rows {
		size += len(row.Value)
	}
	if batchSize > 0 && batchSize+size > store.MaxTxBytes-batchMargin {
		return 0, false
	}
	b.changes = append(b.changes, c)
	further := len(rows) - 1
	b.tx.Put = append(b.tx.Put, rows...)
	b.tx.Delete = append(b.tx.Delete, work.FurtherProgressKeys(c.Job, further+1, s.journal.furtherRows[c.Job])...)
	b.furtherRows[c.Job] = further
	return size, true
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
	if fault.Is(ev.err, fault.Invalid) {
		s.batchRejected(b, ev.err)
		return
	}
	if ev.err != nil {
		s.writeFailed(b, ev.err)
		s.retryWrite(ctx, b)
		return
	}
	s.writeSucceeded(b)
	s.lease.WriteApplied()
	s.starts.written(b)
	s.journal.batch = nil
	s.journal.version = ev.version
	now := time.Now()
	s.journal.rejected.written(b)
	for _, c := range b.changes {
		s.journal.furtherRows.set(c.Job, b.furtherRows[c.Job])
		if c.Progress.State.Terminal() {
			s.jobEnded(c, now)
		}
		if c.Begun || c.Progress.State.Terminal() {
			s.scheduleWaitingRowDeletion(c.Job, c.Queue)
		}
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
		if end := s.confirmableEnd(w); end > w.confirmedEnd {
			ends[w.entry.WorkerProcess] = end
			continue
		}
		if w.seenEnd > w.confirmedEnd {
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
			w.unrecordedEnds = slices.DeleteFunc(w.unrecordedEnds, func(end recordedEnd) bool { return end.sequence <= sequence })
			s.renewSoon(w)
		}
	}
}
