package gang

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/table"
)

// maxPruned is how many jobs are pruned at once; each takes two writes.
const maxPruned = (table.MaxBatchWrites - 1) / 2

// prune archives ended jobs after the retention, and then removes them and their idempotency keys.
func (d *Scheduler) prune(ctx context.Context) {
	d.mu.Lock()
	var old []*job
	for _, j := range d.jobs {
		if j.record.State.Terminal() && time.Since(j.record.Ended) > d.config.Retention && len(old) < maxPruned {
			old = append(old, j)
		}
	}
	d.mu.Unlock()
	old = d.archive(ctx, old)
	var writes []table.Write
	for _, j := range old {
		writes = append(writes, table.Delete{Key: jobKey(j.record.ID), If: table.AtRevision{Revision: j.revision}})
		if j.record.IdempotencyKey != "" {
			writes = append(writes, table.Delete{
				Key: submissionKey(j.record.Account, j.record.IdempotencyKey),
				If:  table.AtRevision{Revision: 1},
			})
		}
	}
	if len(writes) == 0 || d.journal.commit(ctx, false, writes...) != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, j := range old {
		delete(d.jobs, j.record.ID)
		delete(d.keys, keyOf{j.record.Account, j.record.IdempotencyKey})
	}
	d.log.Info("ended jobs pruned", "Jobs", len(old))
}
