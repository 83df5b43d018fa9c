// Package entry accepts and cancels the jobs of a pool and reports their state. It works on any instance, as it uses
// only rows of the store.
//
// A refusal is a row that is stored under the ID of a job in place of the job. It prevents an earlier submission, whose
// outcome is unknown, from taking effect later. A withdrawal is a refusal that holds for later submissions too.
package entry

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// writeTimeout is how long the store may send nothing of its answer to a transaction.
	writeTimeout = 800 * time.Millisecond
	// retryDelay is the wait after a failed call to the store.
	retryDelay = 50 * time.Millisecond
	// submitPercent is the percentage of the caller's remaining time that is spent on a submission or a cancellation. If the
	// outcome of a submission is still unknown after that, it is refused.
	submitPercent = 60
	// replyTime is the part of the caller's time that is reserved for sending the reply.
	replyTime = 150 * time.Millisecond
)

// Config configures Jobs.
type Config struct {
	// Store holds the rows of the pool's jobs.
	Store store.Store
	// Check says whether a partition of the store can be reached; nil means that this is not known.
	Check StoreCheck
}

// Jobs submits and cancels jobs, and reads their state, for clients of the pool.
type Jobs struct {
	config Config
	// unsettled holds the submissions that are under way or were answered without knowing their outcome. It is used only
	// with a Check.
	unsettled unsettledIDs
}

// New returns Jobs that use the configured store.
func New(config Config) *Jobs {
	config.Store = tracedStore{config.Store}
	return &Jobs{config: config}
}

// Submit stores a job. It returns nil if the job is accepted, by this call or an earlier one. Errors of kind
// Unavailable or Throttled mean that this submission will never take effect, OutcomeUnknown that it may have taken
// effect, and Conflict that the ID belongs to another account's job.
func (j *Jobs) Submit(ctx context.Context, job *work.Job) error {
	if err := j.admitSubmission(ctx, job.ID); err != nil {
		return err
	}
	j.noteBegin(job.ID)
	untouched, err := j.submit(ctx, job)
	j.noteEnd(job.ID, err)
	if untouched {
		return j.withoutEffect(job.ID, err)
	}
	return err
}

// submit stores a job, or a refusal if the outcome remains unknown. It reports whether it left the store as it was.
func (j *Jobs) submit(ctx context.Context, job *work.Job) (untouched bool, err error) {
	submitCtx, cancel := limitTime(ctx, submitPercent)
	defer cancel()
	attempts := 0
	c := creation{jobs: j, job: job}
	err = j.retryUntilKnown(submitCtx, work.ShardOf(job.ID), func(ctx context.Context) error {
		attempts++
		return c.write(ctx)
	})
	if hadNoEffect(err) && attempts == 1 {
		return true, err
	}
	if err == nil || fault.Is(err, fault.Conflict) || fault.Is(err, fault.Invalid) && !c.unanswered {
		return false, err
	}
	if j.isClosed(work.ShardOf(job.ID)) {
		// A refusal could not be stored either, and the caller has time left for another instance.
		return false, fault.Wrap(err, fault.OutcomeUnknown, "submit", "store")
	}
	refused, err := j.Refuse(ctx, job)
	if refused {
		return false, fault.New(fault.Unavailable, "submit", "store", "no answer in time; the id %s was refused", job.ID)
	}
	return false, err
}

// retryUntilKnown repeats a call to a partition until its outcome is known, ctx is cancelled or the partition has been
// closed for some time.
func (j *Jobs) retryUntilKnown(ctx context.Context, partition string, call func(context.Context) error) error {
	for {
		err := call(ctx)
		if !fault.Is(err, fault.OutcomeUnknown) {
			return err
		}
		if !clock.Sleep(ctx, retryDelay) || !j.awaitStore(ctx, partition) {
			return err
		}
	}
}

// apply runs a transaction. Its outcome is unknown if nothing of the answer arrives for writeTimeout.
func (j *Jobs) apply(ctx context.Context, tx store.Tx) (store.Result, error) {
	ctx, cancel := store.WithSilenceLimit(ctx, writeTimeout)
	defer cancel()
	return j.config.Store.Apply(ctx, tx)
}

// hadNoEffect reports whether err means that the call did not change the store.
func hadNoEffect(err error) bool {
	return fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Throttled)
}
