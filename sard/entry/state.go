package entry

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// State tells where a job is. It fails with NotFound when no such job exists, and with Denied when it is another
// account's; an empty account may see all.
func (j *Jobs) State(ctx context.Context, account ident.Account, id ident.Job) (ident.JobState, error) {
	progress, err := j.progress(ctx, id)
	if err != nil {
		return 0, err
	}
	if progress != nil {
		return progress.State, permit(account, progress.Account)
	}
	job, _, err := j.open(ctx, id)
	if err != nil {
		return 0, err
	}
	if job == nil {
		return j.late(ctx, account, id)
	}
	if job.Cancelled {
		return ident.Cancelled, permit(account, job.Account)
	}
	return ident.Queued, permit(account, job.Account)
}

// late looks again for a job that ended between the readings of its two rows.
func (j *Jobs) late(ctx context.Context, account ident.Account, id ident.Job) (ident.JobState, error) {
	progress, err := j.progress(ctx, id)
	if err != nil {
		return 0, err
	}
	if progress == nil {
		return 0, fault.New(fault.NotFound, "read state", "", "no job %s", id)
	}
	return progress.State, permit(account, progress.Account)
}

func permit(account, owner ident.Account) error {
	if account == "" || account == owner {
		return nil
	}
	return fault.New(fault.Denied, "read state", "", "the job is another account's")
}

// Cancel makes sure that nothing of a job runs any more. It fails with NotFound when no such job exists.
func (j *Jobs) Cancel(ctx context.Context, account ident.Account, id ident.Job) error {
	return j.retryUnknown(ctx, func(ctx context.Context) error {
		job, version, err := j.open(ctx, id)
		if err != nil {
			return err
		}
		if job == nil {
			// An ended job has nothing left to cancel.
			_, err := j.late(ctx, account, id)
			return err
		}
		if err := permit(account, job.Account); err != nil || job.Cancelled {
			return err
		}
		return j.markCancelled(ctx, job, version)
	})
}

func (j *Jobs) markCancelled(ctx context.Context, job *work.Job, version store.Version) error {
	job.Cancelled = true
	value, err := work.Encode(work.JobRow{Job: job})
	if err != nil {
		return err
	}
	_, err = j.config.Store.Apply(ctx, store.Tx{
		Preconditions: []store.Precondition{{Key: work.JobKey(job.ID), Version: version}},
		Put:           []store.Put{{Key: work.JobKey(job.ID), Value: value}},
	})
	if fault.Is(err, fault.Conflict) {
		// The row changed after it was read: read it again.
		return fault.Wrap(err, fault.OutcomeUnknown, "cancel", "store")
	}
	return err
}

// CountWaiting counts the accepted jobs of a queue of which no part was started.
func (j *Jobs) CountWaiting(ctx context.Context, queue work.QueueName) (int, error) {
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
	return sum, err
}

// progress reads how far a job has come; nil when nothing was recorded.
func (j *Jobs) progress(ctx context.Context, id ident.Job) (*work.Progress, error) {
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

// open reads the record of an open job; nil when there is none.
func (j *Jobs) open(ctx context.Context, id ident.Job) (*work.Job, store.Version, error) {
	listing, err := j.list(ctx, store.KeyRange(work.JobKey(id)))
	if err != nil || len(listing.Rows) == 0 {
		return nil, 0, err
	}
	var e work.JobRow
	if err := work.Decode(listing.Rows[0].Value, &e); err != nil {
		return nil, 0, err
	}
	if e.Refused {
		return nil, 0, nil
	}
	return e.Job, listing.Rows[0].Version, nil
}

// list reads a range, and tries again until ctx ends: a read changes nothing.
func (j *Jobs) list(ctx context.Context, r store.Range) (store.Listing, error) {
	for {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		listing, err := j.config.Store.List(bounded, r)
		cancel()
		if err == nil || fault.Is(err, fault.Invalid) {
			return listing, err
		}
		if !clock.Sleep(ctx, retryPause) {
			return listing, err
		}
	}
}
