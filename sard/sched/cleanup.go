package sched

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// cleanupPeriod is the time between transactions that delete rows that are no longer needed.
	cleanupPeriod = 500 * time.Millisecond
	// cleanupTimeout limits the duration of a transaction that deletes rows.
	cleanupTimeout = time.Second
	// cleanupBatchSize is the maximum number of rows that a transaction deletes.
	cleanupBatchSize = store.MaxEntries
)

// cleaner deletes rows of the store that are no longer needed. Its transactions need no precondition that this instance
// still holds the scheduler lease, because a later holder doesn't need the deleted rows either.
type cleaner struct {
	// nextRun is when the next transaction may start.
	nextRun clock.Instant
	// running indicates that a transaction is in flight.
	running bool
	// failures is the number of consecutive failed transactions.
	failures int
	// waitingRows holds the keys of rows to delete from the table of waiting jobs, by shard.
	waitingRows map[string][]store.Key
	// scheduled holds the jobs whose row was added to waitingRows.
	scheduled map[ident.Job]bool
}

// cleanupResult is the result of a transaction that deletes rows. If it failed, the rows are deleted by a later one.
type cleanupResult struct {
	shard     string
	keys      []store.Key
	endedJobs []ident.Job
	err       error
}

func (cleanupResult) event() {}

// jobBegan schedules the deletion of a job's row in the table of waiting jobs, if one of its parts is known to have run. A part
// that was only placed may be refused by its worker.
func (s *Scheduler) jobBegan(id ident.Job) {
	if queue, begun := s.engine.QueueOfBegun(id); begun {
		s.scheduleWaitingRowDeletion(id, queue)
	}
}

// scheduleWaitingRowDeletion schedules the deletion of a job's row in the table of waiting jobs, once.
func (s *Scheduler) scheduleWaitingRowDeletion(id ident.Job, queue work.QueueName) {
	if s.cleaner.scheduled[id] {
		return
	}
	s.cleaner.scheduled[id] = true
	shard := work.ShardOf(id)
	s.cleaner.waitingRows[shard] = append(s.cleaner.waitingRows[shard], work.WaitKey(queue, id))
}

// cleanUp starts a transaction that deletes rows of one shard, if one is due.
func (s *Scheduler) cleanUp(ctx context.Context) {
	c := &s.cleaner
	if c.running || clock.Now().Before(c.nextRun) {
		return
	}
	c.nextRun = clock.Now().Add(cleanupPeriod)
	for _, shard := range work.Shards() {
		keys := c.waitingRows[shard]
		if len(keys) == 0 {
			continue
		}
		keys = keys[:min(len(keys), cleanupBatchSize)]
		c.waitingRows[shard] = c.waitingRows[shard][len(keys):]
		c.nextRun = 0
		s.deleteRows(ctx, cleanupResult{shard: shard, keys: keys})
		return
	}
	if s.pruneEndedJobs(ctx); !c.running {
		s.deleteRefusals(ctx)
	}
}

// pruneEndedJobs deletes the records of ended jobs that have been kept long enough, for one shard. It deletes the
// submission of a job before its progress record, so that the job is not scheduled again if the second transaction
// fails.
func (s *Scheduler) pruneEndedJobs(ctx context.Context) {
	now := time.Now()
	byShard := map[string][]ident.Job{}
	for id, until := range s.ended {
		if now.After(until) {
			shard := work.ShardOf(id)
			byShard[shard] = append(byShard[shard], id)
		}
	}
	for shard, ids := range byShard {
		ids = ids[:min(len(ids), cleanupBatchSize)]
		result := cleanupResult{shard: shard, endedJobs: ids}
		for _, id := range ids {
			result.keys = append(result.keys, work.JobKey(id))
		}
		s.deleteRows(ctx, result)
		return
	}
}

// deleteRows deletes rows of a shard in the background, and then the progress records of the ended jobs in result.
func (s *Scheduler) deleteRows(ctx context.Context, result cleanupResult) {
	s.cleaner.running = true
	s.runAsync(ctx, func() event {
		ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
		defer cancel()
		_, result.err = s.config.Store.Apply(ctx, store.Tx{Delete: result.keys})
		if result.err != nil || len(result.endedJobs) == 0 {
			return result
		}
		progressKeys := make([]store.Key, 0, len(result.endedJobs))
		for _, id := range result.endedJobs {
			progressKeys = append(progressKeys, work.ProgressKey(id))
		}
		_, result.err = s.config.Store.Apply(ctx, store.Tx{Delete: progressKeys})
		return result
	})
}

// handleCleanup processes the result of a transaction that deletes rows, and schedules the rows again if it failed.
func (s *Scheduler) handleCleanup(ev cleanupResult) {
	s.cleaner.running = false
	if ev.err != nil {
		s.cleaner.failures++
		if s.cleaner.failures == 1 {
			s.config.Logger.Warn("rows not deleted, retrying", "shard", ev.shard, "rows", len(ev.keys), "error", ev.err)
		}
		s.cleaner.nextRun = clock.Now().Add(cleanupPeriod)
		if len(ev.endedJobs) == 0 {
			s.cleaner.waitingRows[ev.shard] = append(s.cleaner.waitingRows[ev.shard], ev.keys...)
		}
		return
	}
	s.cleaner.failures = 0
	for _, id := range ev.endedJobs {
		delete(s.ended, id)
		delete(s.cleaner.scheduled, id)
	}
}
