package sched

import (
	"context"
	"maps"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// refusalBatchSize is the maximum number of refusals that a transaction deletes. Each takes two of its entries.
const refusalBatchSize = store.MaxEntries / 2

// refusals holds the refused submissions whose rows are still in the store. A row is kept for Config.JobRetention, so that no
// earlier submission with its ID takes effect late.
type refusals map[ident.Job]refusal

// refusal is a row that holds a refused submission.
type refusal struct {
	version store.Version
	// until is when the row is no longer needed.
	until clock.Instant
}

// update takes note of the current row of a job's ID.
func (r refusals) update(row store.Row, refused bool, retention time.Duration) {
	id := ident.Job(row.Key.Name)
	if !refused {
		delete(r, id)
		return
	}
	r[id] = refusal{version: row.Version, until: clock.Now().Add(retention)}
}

// expired returns a transaction that deletes refusals of one shard that are no longer needed, unless they have been replaced
// by a job, with their IDs. The transaction is empty if there are none.
func (r refusals) expired() (tx store.Tx, ids []ident.Job) {
	shard := ""
	for id, refused := range r {
		if clock.Now().Before(refused.until) || shard != "" && work.ShardOf(id) != shard {
			continue
		}
		shard = work.ShardOf(id)
		key := work.JobKey(id)
		tx.Preconditions = append(tx.Preconditions, store.Precondition{Key: key, Version: refused.version})
		tx.Delete = append(tx.Delete, key)
		if ids = append(ids, id); len(ids) == refusalBatchSize {
			break
		}
	}
	return tx, ids
}

// refusalsDeleted is the result of a transaction that deletes refusals.
type refusalsDeleted struct {
	ids []ident.Job
	// current holds the rows of these IDs if some have changed.
	current []store.Row
	err     error
}

func (refusalsDeleted) event() {}

// deleteRefusals starts a transaction that deletes refusals, if some are no longer needed.
func (s *Scheduler) deleteRefusals(ctx context.Context) {
	tx, ids := s.refusals.expired()
	if len(ids) == 0 {
		return
	}
	s.cleaner.running = true
	s.runAsync(ctx, func() event {
		ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
		defer cancel()
		result, err := s.config.Store.Apply(ctx, tx)
		return refusalsDeleted{ids: ids, current: result.Current, err: err}
	})
}

// handleRefusalsDeleted processes the result of a transaction that deletes refusals. If it failed, a later one deletes them.
func (s *Scheduler) handleRefusalsDeleted(ev refusalsDeleted) {
	s.cleaner.running = false
	s.cleaner.nextRun = clock.Now().Add(cleanupPeriod)
	switch {
	case ev.err == nil:
		s.config.Logger.Debug("refusals deleted", "rows", len(ev.ids))
		s.refusals.forget(ev.ids, nil)
	case fault.Is(ev.err, fault.Conflict):
		s.refusals.forget(ev.ids, ev.current)
	default:
		s.config.Logger.Warn("refusals not deleted, retrying", "rows", len(ev.ids), "error", ev.err)
	}
}

// forget removes the refusals with the given IDs, except for those that are still among the current rows.
func (r refusals) forget(ids []ident.Job, current []store.Row) {
	kept := map[ident.Job]refusal{}
	for _, row := range current {
		id := ident.Job(row.Key.Name)
		if refused, ok := r[id]; ok && refused.version == row.Version {
			kept[id] = refused
		}
	}
	for _, id := range ids {
		delete(r, id)
	}
	maps.Copy(r, kept)
}
