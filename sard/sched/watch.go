package sched

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// feedWait is how long a feed call, which reads the changes to a table, waits for a change if there is none.
	// Changes that feed calls miss are found by listing the table every relistPeriod.
	feedWait = 2 * time.Second
	// relistPeriod is the time between listings of all rows of a watched table.
	relistPeriod = 6 * time.Second
	// workerFeedPause is the pause between feed calls for the worker list, which changes with each heartbeat of a
	// worker.
	workerFeedPause = 150 * time.Millisecond
	// maxWorkerListAge is the time since the last reading of the worker list after which no start requests are sent. The
	// platform counts the capacity that a worker has lost from a few seconds after its entry shows that.
	maxWorkerListAge = 2500 * time.Millisecond
	// watchRetryPause is the pause after a failed call to list a table or read its changes.
	watchRetryPause = 100 * time.Millisecond
)

// load reads the progress records, the journal's version, the jobs and the worker list from the store, and starts to
// watch jobs and workers.
func (s *Scheduler) load(ctx context.Context) error {
	learned := s.readLearned(ctx)
	if err := s.loadProgress(ctx); err != nil {
		return err
	}
	if err := s.loadJournal(ctx); err != nil {
		return err
	}
	for _, table := range []string{s.config.WorkerTable, work.JobTable} {
		readAt := clock.Now()
		listing, err := s.listWithRetry(ctx, tableRanges(table)...)
		if err != nil {
			return err
		}
		s.handleRows(rowsChanged{table: table, rows: listing.Rows, snapshot: true, readAt: readAt})
		s.group.Go(func() error { return s.watchTable(ctx, table, listing.Version, readAt) })
	}
	s.takeLearned(learned)
	s.loadedProgress = nil
	s.adoptPlacements()
	s.config.Logger.Info("pool taken over", "epoch", s.lease.Epoch(), "workers", len(s.sessions),
		"jobs", s.engine.Summary().Jobs, "placed_parts", s.engine.Summary().Placed, "took_ms", clock.Since(s.started).Milliseconds())
	return nil
}

// loadProgress reads the progress records of all jobs, which tell where their parts were placed and which jobs have
// ended.
func (s *Scheduler) loadProgress(ctx context.Context) error {
	listing, err := s.listWithRetry(ctx, tableRanges(work.ProgressTable)...)
	if err != nil {
		return err
	}
	now := time.Now()
	for _, row := range listing.Rows {
		id := ident.Job(row.Key.Name)
		progress := &work.Progress{}
		if err := work.Decode(row.Value, progress); err != nil {
			s.config.Logger.Error("progress record not decoded, job ignored", "job", id, "error", err)
			s.ended[id] = now.Add(s.config.JobRetention)
			continue
		}
		if progress.State.Terminal() {
			s.ended[id] = now.Add(s.config.JobRetention)
			continue
		}
		s.loadedProgress[id] = progress
		for _, process := range progress.Lives {
			s.latestStartedMs[process.Worker] = max(s.latestStartedMs[process.Worker], process.StartedMs)
		}
	}
	return nil
}

// tableRanges returns the ranges that cover all partitions of a table.
func tableRanges(table string) []store.Range {
	if table != work.JobTable {
		return []store.Range{{Table: table, Partition: work.MainPartition}}
	}
	var ranges []store.Range
	for _, shard := range work.Shards() {
		ranges = append(ranges, store.Range{Table: table, Partition: shard})
	}
	return ranges
}

// listWithRetry lists the rows of ranges, and tries again until it succeeds, ctx ends or the scheduler lease is lost.
func (s *Scheduler) listWithRetry(ctx context.Context, ranges ...store.Range) (store.Listing, error) {
	for {
		listing, err := s.list(ctx, ranges...)
		if err == nil {
			return listing, nil
		}
		if leaseErr := s.lease.Check(); fault.Is(leaseErr, fault.Fenced) {
			return listing, leaseErr
		}
		if !clock.Sleep(ctx, watchRetryPause) {
			return listing, err
		}
	}
}

// list lists the rows of ranges, one range after another, and combines them. The version is that of the first listing,
// so that a feed from there misses no change.
func (s *Scheduler) list(ctx context.Context, ranges ...store.Range) (store.Listing, error) {
	var all store.Listing
	for i, part := range ranges {
		listing, err := s.config.Watched.List(ctx, part)
		if err != nil {
			return listing, err
		}
		if i == 0 {
			all.Version = listing.Version
		}
		all.Rows = append(all.Rows, listing.Rows...)
	}
	return all, nil
}

// watchTable posts the changes to a table to the scheduler loop until ctx ends. The table was last read at readAt. Of the
// worker list it also posts that there are no changes.
func (s *Scheduler) watchTable(ctx context.Context, table string, after store.Version, readAt clock.Instant) error {
	listed := readAt
	for ctx.Err() == nil {
		if clock.Since(listed) > relistPeriod {
			asked := clock.Now()
			if listing, err := s.list(ctx, tableRanges(table)...); err == nil {
				s.post(ctx, rowsChanged{table: table, rows: listing.Rows, snapshot: true, readAt: asked})
				after, listed, readAt = listing.Version, clock.Now(), asked
			}
		}
		asked, wait := clock.Now(), feedWait
		if table == s.config.WorkerTable {
			wait = max(0, feedWait-clock.Since(readAt))
		}
		changes, err := s.config.Watched.Feed(ctx, table, after, wait)
		if err != nil {
			if fault.Is(err, fault.NotFound) {
				listed = clock.Never
			}
			clock.Sleep(ctx, watchRetryPause)
			continue
		}
		// A response that was read late, since this process did not run, tells of no changes after the wait.
		after, readAt = changes.Version, min(clock.Now(), asked.Add(wait))
		if len(changes.Rows) > 0 || table == s.config.WorkerTable {
			s.post(ctx, rowsChanged{table: table, rows: changes.Rows, readAt: readAt})
		}
		if table == s.config.WorkerTable {
			clock.Sleep(ctx, workerFeedPause)
		}
	}
	return nil
}

// workerListCurrent reports whether the worker list was read so recently that start requests may be sent.
func (s *Scheduler) workerListCurrent() bool {
	return clock.Since(s.workersReadAt) <= maxWorkerListAge
}
