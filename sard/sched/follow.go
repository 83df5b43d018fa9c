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
	// listTimeout bounds the reading of a table.
	listTimeout = 2 * time.Second
	// feedWait is how long a feed waits for a change; a quiet feed is backed by a reading of the table.
	feedWait = 2 * time.Second
	// feedSlack is added to feedWait to bound a call of the feed.
	feedSlack = time.Second
	// relistPeriod lies between two readings of a table.
	relistPeriod = 6 * time.Second
	// workerPause lies between two calls of the workers' feed, which changes with each heartbeat.
	workerPause = 150 * time.Millisecond
	// followPause lies between a failed call and the next.
	followPause = 100 * time.Millisecond
)

// load reads the records of jobs and the list of workers, and starts to follow them.
func (s *Scheduler) load(ctx context.Context) error {
	if err := s.loadProgress(ctx); err != nil {
		return err
	}
	if err := s.loadJournal(ctx); err != nil {
		return err
	}
	for _, table := range []string{s.config.WorkerTable, work.JobTable} {
		listing, err := s.listRetrying(ctx, ranges(table)...)
		if err != nil {
			return err
		}
		s.rowsChanged(rowsChanged{table: table, rows: listing.Rows, whole: true})
		s.group.Go(func() error { return s.follow(ctx, table, listing.Version) })
	}
	s.recorded = nil
	s.adopt()
	s.config.Logger.Info("pool taken over", "epoch", s.lease.Epoch(), "workers", len(s.sessions),
		"jobs", s.engine.Summary().Jobs, "placed_parts", s.engine.Summary().Placed, "took_ms", clock.Since(s.started).Milliseconds())
	return nil
}

// loadProgress reads how far jobs have come.
func (s *Scheduler) loadProgress(ctx context.Context) error {
	listing, err := s.listRetrying(ctx, ranges(work.ProgressTable)...)
	if err != nil {
		return err
	}
	now := time.Now()
	for _, row := range listing.Rows {
		id := ident.Job(row.Key.Name)
		p := &work.Progress{}
		if err := work.Decode(row.Value, p); err != nil {
			s.config.Logger.Error("progress record not readable, its job is left alone", "job", id, "error", err)
			s.ended[id] = now.Add(s.config.JobRetention)
			continue
		}
		if p.State.Terminal() {
			s.ended[id] = now.Add(s.config.JobRetention)
			continue
		}
		s.recorded[id] = p
		for _, life := range p.Lives {
			s.newest[life.Worker] = max(s.newest[life.Worker], life.StartedMs)
		}
	}
	return nil
}

// ranges returns the parts of a table.
func ranges(table string) []store.Range {
	if table != work.JobTable {
		return []store.Range{{Table: table, Partition: work.MainPartition}}
	}
	var parts []store.Range
	for _, shard := range work.Shards() {
		parts = append(parts, store.Range{Table: table, Partition: shard})
	}
	return parts
}

// listRetrying reads ranges until it succeeds, ctx ends, or the lease is lost.
func (s *Scheduler) listRetrying(ctx context.Context, parts ...store.Range) (store.Listing, error) {
	for {
		listing, err := s.list(ctx, parts...)
		if err == nil {
			return listing, nil
		}
		if lost := s.lease.Check(); fault.Is(lost, fault.Fenced) {
			return listing, lost
		}
		if !clock.Sleep(ctx, followPause) {
			return listing, err
		}
	}
}

// list reads ranges, one after another.
func (s *Scheduler) list(ctx context.Context, parts ...store.Range) (store.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var all store.Listing
	for i, part := range parts {
		listing, err := s.config.Store.List(ctx, part)
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

// follow tells the loop of the changes of a table until ctx ends.
func (s *Scheduler) follow(ctx context.Context, table string, after store.Version) error {
	listed := clock.Now()
	for ctx.Err() == nil {
		if clock.Since(listed) > relistPeriod {
			if listing, err := s.list(ctx, ranges(table)...); err == nil {
				s.post(ctx, rowsChanged{table: table, rows: listing.Rows, whole: true})
				after, listed = listing.Version, clock.Now()
			}
		}
		changes, err := s.feed(ctx, table, after)
		if err != nil {
			if fault.Is(err, fault.NotFound) {
				listed = clock.Never
			}
			clock.Sleep(ctx, followPause)
			continue
		}
		after = changes.Version
		if len(changes.Rows) > 0 {
			s.post(ctx, rowsChanged{table: table, rows: changes.Rows})
		}
		if table == s.config.WorkerTable {
			clock.Sleep(ctx, workerPause)
		}
	}
	return nil
}

func (s *Scheduler) feed(ctx context.Context, table string, after store.Version) (store.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedSlack)
	defer cancel()
	return s.config.Store.Feed(ctx, table, after, feedWait)
}
