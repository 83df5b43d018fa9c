package sched

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// cleanPeriod lies between two rounds of deleting rows that are not needed any more.
	cleanPeriod = 500 * time.Millisecond
	// cleanTimeout bounds a transaction that deletes rows.
	cleanTimeout = time.Second
	// cleanBatch is the most rows that a transaction deletes.
	cleanBatch = store.MaxEntries
)

// cleaner deletes rows that are not needed any more. It needs no fence: what it deletes is never needed again,
// whoever holds the lease.
type cleaner struct {
	due clock.Instant
	// busy tells that a transaction is under way.
	busy bool
	// failures counts the rounds that failed in a row.
	failures int
	// waits are rows of jobs that have begun, by shard.
	waits map[string][]store.Key
	// counted are the jobs whose row is among waits, or was deleted.
	counted map[ident.Job]bool
}

// cleaned is the outcome of a round: keys that were not deleted are tried again.
type cleaned struct {
	shard  string
	keys   []store.Key
	pruned []ident.Job
	err    error
}

func (cleaned) event() {}

// begun notes that a job does not wait any more.
func (s *Scheduler) begun(c pool.Change) {
	if !c.PartPlaced && !c.Progress.State.Terminal() || s.cleaner.counted[c.Job] {
		return
	}
	s.cleaner.counted[c.Job] = true
	shard := work.ShardOf(c.Job)
	s.cleaner.waits[shard] = append(s.cleaner.waits[shard], work.WaitKey(c.Queue, c.Job))
}

// clean deletes rows, one shard at a time.
func (s *Scheduler) clean(ctx context.Context) {
	c := &s.cleaner
	if c.busy || clock.Now().Before(c.due) {
		return
	}
	c.due = clock.Now().Add(cleanPeriod)
	for _, shard := range work.Shards() {
		keys := c.waits[shard]
		if len(keys) == 0 {
			continue
		}
		keys = keys[:min(len(keys), cleanBatch)]
		c.waits[shard] = c.waits[shard][len(keys):]
		c.due = 0
		s.remove(ctx, cleaned{shard: shard, keys: keys})
		return
	}
	s.prune(ctx)
}

// prune deletes the records of jobs that ended long ago: first their submissions, then their ends.
func (s *Scheduler) prune(ctx context.Context) {
	now := time.Now()
	byShard := map[string][]ident.Job{}
	for id, until := range s.ended {
		if now.After(until) {
			shard := work.ShardOf(id)
			byShard[shard] = append(byShard[shard], id)
		}
	}
	for shard, ids := range byShard {
		ids = ids[:min(len(ids), cleanBatch)]
		round := cleaned{shard: shard, pruned: ids}
		for _, id := range ids {
			round.keys = append(round.keys, work.JobKey(id))
		}
		s.remove(ctx, round)
		return
	}
}

// remove deletes rows of a shard, and then the ends of the pruned jobs.
func (s *Scheduler) remove(ctx context.Context, round cleaned) {
	s.cleaner.busy = true
	s.start(ctx, func() event {
		ctx, cancel := context.WithTimeout(ctx, cleanTimeout)
		defer cancel()
		_, round.err = s.config.Store.Apply(ctx, store.Tx{Delete: round.keys})
		if round.err != nil || len(round.pruned) == 0 {
			return round
		}
		ends := make([]store.Key, 0, len(round.pruned))
		for _, id := range round.pruned {
			ends = append(ends, work.ProgressKey(id))
		}
		_, round.err = s.config.Store.Apply(ctx, store.Tx{Delete: ends})
		return round
	})
}

// cleaned takes the outcome of a round in.
func (s *Scheduler) cleaned(ev cleaned) {
	s.cleaner.busy = false
	if ev.err != nil {
		s.cleaner.failures++
		if s.cleaner.failures == 1 {
			s.config.Logger.Warn("rows not deleted, tried until they are", "shard", ev.shard, "rows", len(ev.keys), "error", ev.err)
		}
		s.cleaner.due = clock.Now().Add(cleanPeriod)
		if len(ev.pruned) == 0 {
			s.cleaner.waits[ev.shard] = append(s.cleaner.waits[ev.shard], ev.keys...)
		}
		return
	}
	s.cleaner.failures = 0
	for _, id := range ev.pruned {
		delete(s.ended, id)
		delete(s.cleaner.counted, id)
	}
}
