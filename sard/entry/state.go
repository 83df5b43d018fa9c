package entry

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// State returns the state of a job. It fails with NotFound if the job does not exist or the caller may not access it.
func (j *Jobs) State(ctx context.Context, caller Caller, id ident.Job) (ident.JobState, error) {
	ctx, cancel := limitTime(ctx, questionPercent)
	defer cancel()
	state, err := j.readState(ctx, caller, id)
	return state, withoutAnswer(err)
}

// readState is State without a limit for the time.
func (j *Jobs) readState(ctx context.Context, caller Caller, id ident.Job) (ident.JobState, error) {
	progress, err := j.readProgress(ctx, id)
	if err != nil {
		return 0, err
	}
	if progress != nil {
		return progress.State, caller.checkAccess(id, progress.Account, progress.Queue)
	}
	job, _, err := j.readOpenJob(ctx, id)
	if err != nil {
		return 0, err
	}
	if job == nil {
		return j.endedState(ctx, caller, id)
	}
	if job.Cancelled {
		return ident.Cancelled, caller.checkAccess(id, job.Account, job.Queue)
	}
	return ident.Queued, caller.checkAccess(id, job.Account, job.Queue)
}

// endedState returns the state of a job that has no job row. It reads the progress again, in case the job ended between
// the first read of its progress and the read of its job row.
func (j *Jobs) endedState(ctx context.Context, caller Caller, id ident.Job) (ident.JobState, error) {
	progress, err := j.readProgress(ctx, id)
	if err != nil {
		return 0, err
	}
	if progress == nil {
		return 0, errUnknownJob(id)
	}
	return progress.State, caller.checkAccess(id, progress.Account, progress.Queue)
}

// Cancel marks a job that has not ended as cancelled, so that the scheduler stops its parts and starts no others. It
// fails with NotFound if the job does not exist or the caller may not access it. From then on, no submission of the account with
// the ID of a job that does not exist takes effect.
func (j *Jobs) Cancel(ctx context.Context, caller Caller, id ident.Job) error {
	ctx, cancel := limitTime(ctx, submitPercent)
	defer cancel()
	c := cancellation{jobs: j, caller: caller, id: id}
	return j.retryUntilKnown(ctx, work.ShardOf(id), c.run)
}

// cancellation is one caller's attempt to cancel a job.
type cancellation struct {
	jobs   *Jobs
	caller Caller
	id     ident.Job
	// sent is set once a write was sent.
	sent bool
}

// run cancels the job, if there is one, or else withdraws it.
func (c *cancellation) run(ctx context.Context) error {
	job, version, err := c.jobs.readOpenJob(ctx, c.id)
	if err != nil && c.sent && c.jobs.config.Check != nil {
		// An earlier write may have taken effect.
		return fault.Wrap(err, fault.OutcomeUnknown, "cancel", "store")
	}
	if err != nil {
		return err
	}
	if job == nil {
		return c.withoutJob(ctx)
	}
	if err := c.caller.checkAccess(c.id, job.Account, job.Queue); err != nil || job.Cancelled {
		return err
	}
	c.sent = true
	return c.jobs.markCancelled(ctx, job, version)
}

// withoutJob ends the cancellation of a job that has no job row. One that has ended has nothing left to cancel. One that is
// not known is withdrawn, as the write of an earlier submission may still be on its way.
func (c *cancellation) withoutJob(ctx context.Context) error {
	_, err := c.jobs.endedState(ctx, c.caller, c.id)
	if !fault.Is(err, fault.NotFound) {
		return err
	}
	unknown := err
	c.sent = true
	r := refusal{jobs: c.jobs, id: c.id, row: work.JobRow{Refused: true, Withdrawn: true, Account: c.caller.Account}}
	err = r.write(ctx)
	if fault.Is(err, fault.Conflict) {
		// The job was accepted after it was read. The unknown outcome makes retryUntilKnown read it again.
		return fault.Wrap(err, fault.OutcomeUnknown, "cancel", "store")
	}
	if err != nil {
		return err
	}
	return unknown
}

// markCancelled sets Cancelled in the job's row if the row still has the given version.
func (j *Jobs) markCancelled(ctx context.Context, job *work.Job, version store.Version) error {
	job.Cancelled = true
	value, err := work.Encode(work.JobRow{Job: job})
	if err != nil {
		return err
	}
	_, err = j.apply(ctx, store.Tx{
		Preconditions: []store.Precondition{{Key: work.JobKey(job.ID), Version: version}},
		Put:           []store.Put{{Key: work.JobKey(job.ID), Value: value}},
	})
	if fault.Is(err, fault.Conflict) {
		// The row was changed after it was read. The unknown outcome makes retryUntilKnown read it again.
		return fault.Wrap(err, fault.OutcomeUnknown, "cancel", "store")
	}
	return err
}

// CountWaiting returns the number of a queue's accepted jobs of which no part was started.
func (j *Jobs) CountWaiting(ctx context.Context, queue work.QueueName) (int, error) {
	ctx, cancel := limitTime(ctx, questionPercent)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	counts := make([]int, len(work.Shards()))
	for i, shard := range work.Shards() {
		group.Go(func() error {
			listing, err := j.list(ctx, work.WaitRange(shard, queue))
			counts[i] = len(listing.Rows)
			return err
		})
	}
	err := group.Wait()
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum, withoutAnswer(err)
}

// readProgress reads a job's recorded progress, or nil if there is none.
func (j *Jobs) readProgress(ctx context.Context, id ident.Job) (*work.Progress, error) {
	listing, err := j.list(ctx, store.KeyRange(work.ProgressKey(id)))
	if err != nil || len(listing.Rows) == 0 {
		return nil, err
	}
	var p work.Progress
	if err := work.Decode(listing.Rows[0].Value, &p); err != nil {
		return nil, err
	}
	return &p, nil
}

// readOpenJob reads a job that has not ended, with the version of its row. It returns nil if there is no such job.
func (j *Jobs) readOpenJob(ctx context.Context, id ident.Job) (*work.Job, store.Version, error) {
	listing, err := j.list(ctx, store.KeyRange(work.JobKey(id)))
	if err != nil || len(listing.Rows) == 0 {
		return nil, 0, err
	}
	decoded, version, err := decodeRow(listing.Rows)
	if err != nil || decoded.Refused {
		return nil, 0, err
	}
	return decoded.Job, version, nil
}
