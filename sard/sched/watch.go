package sched

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
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
	// maxListings is how many listings a new holder reads at a time.
	maxListings = 4
)

// load reads the progress records, the journal's version, the jobs and the worker list from the store, and starts to
// watch jobs and workers. The jobs are read after the progress records: the rows of an ended job are deleted in the opposite order,
// so that a job whose progress record was deleted is not taken for a new one.
func (s *Scheduler) load(ctx context.Context) error {
	learned := s.readLearned(ctx)
	journalRead := s.readJournal(ctx)
	readAt := clock.Now()
	listings, err := s.listAll(ctx, mainRange(work.ProgressTable), mainRange(s.config.WorkerTable))
	if err != nil {
		return err
	}
	if err := journalRead(); err != nil {
		return err
	}
	s.loadProgress(listings[0].Rows)
	s.loadWatched(ctx, s.config.WorkerTable, listings[1], readAt)
	readAt = clock.Now()
	if listings, err = s.listAll(ctx, tableRanges(work.JobTable)...); err != nil {
		return err
	}
	s.loadWatched(ctx, work.JobTable, combine(listings), readAt)
	s.takeLearned(learned)
	s.loadedProgress = nil
	s.adoptPlacements()
	s.config.Logger.Info("pool taken over", "epoch", s.lease.Epoch(), "workers", len(s.sessions),
		"jobs", s.engine.Summary().Jobs, "placed_parts", s.engine.Summary().Placed, "took_ms", clock.Since(s.started).Milliseconds())
	return nil
}

// readJournal reads the journal's version and the start list in the background, and takes them over. The function that it returns
// waits for that.
func (s *Scheduler) readJournal(ctx context.Context) (wait func() error) {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		listing, err := s.listWithRetry(ctx, mainRange(work.JournalTable))
		if err != nil {
			return err
		}
		s.loadJournal(listing.Rows)
		s.inheritStarts(listing.Rows)
		return nil
	})
	return group.Wait
}

// loadWatched processes the rows of a table that was listed at readAt, and starts to watch it.
func (s *Scheduler) loadWatched(ctx context.Context, table string, listing store.Listing, readAt clock.Instant) {
	s.handleRows(rowsChanged{table: table, rows: listing.Rows, snapshot: true, readAt: readAt})
	s.group.Go(func() error { return s.watchTable(ctx, table, listing.Version, readAt) })
}

// loadProgress takes over the progress records of all jobs, which tell where their parts were placed and which jobs have
// ended.
func (s *Scheduler) loadProgress(rows []store.Row) {
	now := time.Now()
	collected := work.CollectProgress(rows)
	for id := range collected {
		progress, further, err := collected.Decode(id)
		s.journal.furtherRows.set(id, further)
		if err != nil {
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
}

// mainRange returns the range of all rows of a table in the main partition.
func mainRange(table string) store.Range {
	return store.Range{Table: table, Partition: work.MainPartition}
}

// tableRanges returns the ranges that cover all partitions of a table.
func tableRanges(table string) []store.Range {
	if table != work.JobTable {
		return []store.Range{mainRange(table)}
	}
	var ranges []store.Range
	for _, shard := range work.Shards() {
		ranges = append(ranges, store.Range{Table: table, Partition: shard})
	}
	return ranges
}

// listAll lists the rows of ranges, maxListings at a time, and tries each again until it succeeds, ctx ends or the scheduler lease
// is lost.
func (s *Scheduler) listAll(ctx context.Context, ranges ...store.Range) ([]store.Listing, error) {
	listings := make([]store.Listing, len(ranges))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxListings)
	for i, r := range ranges {
		group.Go(func() error {
			var err error
			listings[i], err = s.listWithRetry(ctx, r)
			return err
		})
	}
	return listings, group.Wait()
}

// listWithRetry lists the rows of a range, and tries again until it succeeds, ctx ends or the scheduler lease is lost.
func (s *Scheduler) listWithRetry(ctx context.Context, r store.Range) (store.Listing, error) {
	for {
		listing, err := s.config.Watched.List(ctx, r)
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

// list lists the rows of all partitions of a table, one after another.
func (s *Scheduler) list(ctx context.Context, table string) (store.Listing, error) {
	var listings []store.Listing
	for _, r := range tableRanges(table) {
		listing, err := s.config.Watched.List(ctx, r)
		if err != nil {
			return listing, err
		}
		listings = append(listings, listing)
	}
	return combine(listings), nil
}

// combine combines the listings of several ranges. The version is the lowest one, so that a feed from there misses no change.
func combine(listings []store.Listing) store.Listing {
	all := store.Listing{Version: listings[0].Version}
	for _, listing := range listings {
		all.Version = min(all.Version, listing.Version)
		all.Rows = append(all.Rows, listing.Rows...)
	}
	return all
}

// watchTable posts the changes to a table to the scheduler loop until ctx ends. The table was last read at readAt. Of the
// worker list it also posts that there are no changes.
func (s *Scheduler) watchTable(ctx context.Context, table string, after store.Version, readAt clock.Instant) error {
	listed := readAt
	for ctx.Err() == nil {
		if clock.Since(listed) > relistPeriod {
			asked := clock.Now()
			if listing, err := s.list(ctx, table); err == nil {
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
