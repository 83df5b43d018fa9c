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
	// batchBytes is the size at which a transaction takes no more records.
	batchBytes = 256 << 10
	// chunkJobs is how many records are added to a transaction at a time.
	chunkJobs = 8
	// commitTimeout bounds a write of the journal.
	commitTimeout = 800 * time.Millisecond
	// commitPause lies between a failed write and the next.
	commitPause = 40 * time.Millisecond
)

// journalKey is the row that numbers the batches, so that a late copy of a batch can't undo a later one.
var journalKey = store.Key{Table: work.JournalTable, Partition: work.MainPartition, Name: "batch"}

// journal writes the records of jobs, one batch at a time.
type journal struct {
	// version is that of the row at journalKey.
	version store.Version
	// starts wait for their record.
	starts []pool.Start
	// batch is being written, or nil.
	batch *batch
	count uint64
	// failures counts the tries of the batch that failed.
	failures int
	// written is when the writing of the batch began.
	written time.Time
}

// batch is one transaction of the journal and what follows from it.
type batch struct {
	number  string
	tx      store.Tx
	changes []pool.Change
	starts  []pool.Start
	seen    map[ident.Worker]EndSequence
}

// loadJournal reads the version of the last batch of any holder.
func (s *Scheduler) loadJournal(ctx context.Context) error {
	listing, err := s.listRetrying(ctx, store.KeyRange(journalKey))
	for _, row := range listing.Rows {
		s.journal.version = row.Version
	}
	return err
}

// commit writes what has changed, unless a write is under way.
func (s *Scheduler) commit(ctx context.Context) {
	if s.journal.batch != nil {
		return
	}
	b := s.newBatch()
	if b == nil {
		return
	}
	s.journal.batch, s.journal.written = b, time.Now()
	s.write(ctx, b)
}

// newBatch gathers what is to be written; nil when there is nothing.
func (s *Scheduler) newBatch() *batch {
	if s.engine.PendingChanges() == 0 {
		s.confirmSeen(s.seen())
		return nil
	}
	s.journal.count++
	b := &batch{number: strconv.FormatUint(uint64(s.lease.Epoch()), 10) + "." + strconv.FormatUint(s.journal.count, 10)}
	b.tx = store.Tx{
		Preconditions: []store.Precondition{s.lease.Fence(), {Key: journalKey, Version: s.journal.version}},
		Put:           []store.Put{{Key: journalKey, Value: []byte(b.number)}},
	}
	size := 0
	for size < batchBytes && b.tx.Len() < store.MaxEntries-chunkJobs {
		changes := s.engine.TakeChanges(chunkJobs, time.Now())
		if len(changes) == 0 {
			break
		}
		for _, c := range changes {
			size += s.addChange(&b.tx, c)
		}
		b.changes = append(b.changes, changes...)
	}
	b.starts, s.journal.starts = s.recordedStarts(b.changes)
	if s.engine.PendingChanges() == 0 {
		// The ends that were taken in may concern any of the changes, so all must be in the batch.
		b.seen = s.seen()
	}
	return b
}

// recordedStarts splits the waiting starts into those that changes record and the rest.
func (s *Scheduler) recordedStarts(changes []pool.Change) (recorded, rest []pool.Start) {
	jobs := map[ident.Job]bool{}
	for _, c := range changes {
		jobs[c.Job] = true
	}
	for _, start := range s.journal.starts {
		if jobs[start.Attempt.Part.Job] {
			recorded = append(recorded, start)
			continue
		}
		rest = append(rest, start)
	}
	return recorded, rest
}

// addChange adds the record of a job to a transaction and returns its size in bytes.
func (s *Scheduler) addChange(tx *store.Tx, c pool.Change) int {
	if c.Progress.State.Terminal() {
		c.Progress.EndedMs = time.Now().UnixMilli()
	}
	value, err := work.Encode(c.Progress)
	if err != nil {
		s.config.Logger.Error("progress not encoded", "job", c.Job, "error", err)
		return 0
	}
	tx.Put = append(tx.Put, store.Put{Key: work.ProgressKey(c.Job), Value: value})
	return len(value)
}

// write sends a batch.
func (s *Scheduler) write(ctx context.Context, b *batch) {
	s.start(ctx, func() event {
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		result, err := s.config.Store.Apply(ctx, b.tx)
		if fault.Is(err, fault.Conflict) {
			return s.conflict(b, result, err)
		}
		return committed{version: result.Version, err: err}
	})
}

// conflict finds out whether a batch was refused because an earlier copy of it had taken effect.
func (s *Scheduler) conflict(b *batch, result store.Result, err error) committed {
	for _, row := range result.Current {
		if row.Key == journalKey && string(row.Value) == b.number {
			return committed{version: row.Version}
		}
	}
	return committed{err: err}
}

// committed takes the outcome of a write in.
func (s *Scheduler) committed(ctx context.Context, ev committed) {
	b := s.journal.batch
	if fault.Is(ev.err, fault.Conflict) {
		s.lease.MarkLost()
		return
	}
	if ev.err != nil {
		s.recordFailed(b, ev.err)
		s.rewrite(ctx, b)
		return
	}
	s.recordWritten(b)
	s.journal.batch = nil
	s.journal.version = ev.version
	now := time.Now()
	for _, c := range b.changes {
		if c.Progress.State.Terminal() {
			s.over(c, now)
		}
		s.begun(c)
	}
	s.engine.ChangesWritten(b.changes)
	s.confirmSeen(b.seen)
	for _, start := range b.starts {
		s.launch(ctx, start)
	}
}

// recordFailed logs the first failure of a batch.
func (s *Scheduler) recordFailed(b *batch, err error) {
	s.journal.failures++
	if s.journal.failures == 1 {
		s.config.Logger.Warn("record not written, tried until it is", "batch", b.number, "jobs", len(b.changes), "error", err)
	}
}

// recordWritten logs the end of a series of failures.
func (s *Scheduler) recordWritten(b *batch) {
	observe(s.config.Metrics.records, s.journal.written)
	if s.journal.failures > 0 {
		s.config.Logger.Info("record written", "batch", b.number, "jobs", len(b.changes), "failures", s.journal.failures,
			"took_ms", time.Since(s.journal.written).Milliseconds())
	}
	s.journal.failures = 0
}

// rewrite sends a batch again after a pause.
func (s *Scheduler) rewrite(ctx context.Context, b *batch) {
	s.group.Go(func() error {
		if clock.Sleep(ctx, commitPause) {
			s.write(ctx, b)
		}
		return nil
	})
}

// seen returns the last end of each worker that the engine has taken in.
func (s *Scheduler) seen() map[ident.Worker]EndSequence {
	seen := map[ident.Worker]EndSequence{}
	for id, w := range s.sessions {
		if w.seen > w.confirmed {
			seen[id] = w.seen
		}
	}
	return seen
}

// confirmSeen lets workers forget ends whose consequences are recorded.
func (s *Scheduler) confirmSeen(seen map[ident.Worker]EndSequence) {
	for id, number := range seen {
		if w := s.sessions[id]; w != nil && w.seen >= number {
			w.confirmed = max(w.confirmed, number)
			w.due = 0
		}
	}
}
