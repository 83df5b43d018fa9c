package gang

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/table"
)

// maxPrunedPerBatch is how many ended jobs one batch of table writes can delete: each takes two writes, and the
// condition on the domain lease takes one.
const maxPrunedPerBatch = (table.MaxBatchWrites - 1) / 2

// prune archives jobs that ended longer ago than the retention, and then deletes them and their idempotency keys.
func (s *Scheduler) prune(ctx context.Context) {
	s.mu.Lock()
	var expired []*job
	for _, j := range s.jobs {
		if j.record.State.Terminal() && time.Since(j.record.Ended) > s.config.Retention && len(expired) < maxPrunedPerBatch {
			expired = append(expired, j)
		}
	}
	s.mu.Unlock()
	expired = s.archiveJobs(ctx, expired)
	var writes []table.Write
	for _, j := range expired {
		writes = append(writes, table.Delete{Key: jobKey(j.record.ID), If: table.AtRevision{Revision: j.revision}})
		if j.record.IdempotencyKey != "" {
			writes = append(writes, table.Delete{
				Key: submissionKey(j.record.Account, j.record.IdempotencyKey),
				If:  table.AtRevision{Revision: 1},
			})
		}
	}
	if len(writes) == 0 || s.writer.commit(ctx, false, writes...) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range expired {
		delete(s.jobs, j.record.ID)
		delete(s.jobsByKey, submissionID{j.record.Account, j.record.IdempotencyKey})
	}
	s.log.Info("ended jobs pruned", "Jobs", len(expired))
}
