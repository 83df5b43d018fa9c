// Package entry accepts, cancels and reports the jobs of a pool at any instance, by the rows of a store.
package entry

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
	// callTimeout bounds one call to the store.
	callTimeout = 800 * time.Millisecond
	// retryPause lies between a failed call and the next.
	retryPause = 50 * time.Millisecond
	// settleShare is the part of a caller's time, in percent, after which an undecided submission is refused.
	settleShare = 60
	// answerTime is left of a caller's time for the answer to reach it.
	answerTime = 150 * time.Millisecond
)

// Config describes what Jobs needs.
type Config struct {
	Store store.Store
}

// Jobs serves the calls on jobs.
type Jobs struct {
	config Config
}

// New makes a Jobs.
func New(config Config) *Jobs {
	return &Jobs{config: config}
}

// Submit stores a job. A nil error means that it is accepted, now or by an earlier call. Errors of the kinds
// Unavailable and Throttled mean that this submission never takes effect; OutcomeUnknown that it may have; Conflict
// that the id is another account's.
func (j *Jobs) Submit(ctx context.Context, job *work.Job) error {
	settle, cancel := j.settling(ctx)
	defer cancel()
	tries := 0
	err := j.retryUnknown(settle, func(ctx context.Context) error {
		tries++
		return j.create(ctx, job)
	})
	if surelyNot(err) && tries == 1 {
		return err
	}
	if err == nil || fault.Is(err, fault.Conflict) {
		return err
	}
	return j.refuse(ctx, job)
}

// settling limits ctx to the time in which a submission is tried.
func (j *Jobs) settling(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	left := time.Until(deadline)
	return context.WithTimeout(ctx, left*settleShare/100)
}

// retryUnknown repeats a call whose outcome is unknown until it is known or ctx ends.
func (j *Jobs) retryUnknown(ctx context.Context, call func(context.Context) error) error {
	for {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(bounded)
		cancel()
		if !fault.Is(err, fault.OutcomeUnknown) {
			return err
		}
		if !clock.Sleep(ctx, retryPause) {
			return err
		}
	}
}

// surelyNot tells whether err means that the call did nothing.
func surelyNot(err error) bool {
	return fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Throttled)
}

// create writes the job's rows when no job has its id. Sent again after an unknown outcome it tells whether the first
// one took effect.
func (j *Jobs) create(ctx context.Context, job *work.Job) error {
	value, err := work.Encode(work.JobRow{Job: job})
	if err != nil {
		return err
	}
	tx := store.Tx{
		Preconditions: []store.Precondition{{Key: work.JobKey(job.ID)}},
		Put:           []store.Put{{Key: work.JobKey(job.ID), Value: value}, {Key: work.WaitKey(job.Queue, job.ID)}},
	}
	result, err := j.config.Store.Apply(ctx, tx)
	if !fault.Is(err, fault.Conflict) {
		return err
	}
	accepted, refusal, err := j.known(result.Current, job)
	if accepted || err != nil {
		return err
	}
	tx.Preconditions[0].Version = refusal
	_, err = j.config.Store.Apply(ctx, tx)
	if fault.Is(err, fault.Conflict) {
		return fault.Wrap(err, fault.OutcomeUnknown, "submit", "store")
	}
	return err
}

// known tells from the rows of an id whether it is the job's, and else the version of the refusal it was given.
func (j *Jobs) known(rows []store.Row, job *work.Job) (accepted bool, refusal store.Version, err error) {
	for _, row := range rows {
		account, refused, err := j.owner(row)
		if err != nil {
			return false, 0, err
		}
		if refused {
			refusal = row.Version
			continue
		}
		if account != job.Account {
			return false, 0, fault.New(fault.Conflict, "submit", "", "id %s is taken", job.ID)
		}
		accepted = true
	}
	return accepted, refusal, nil
}

// owner reads whose job a row shows.
func (j *Jobs) owner(row store.Row) (account ident.Account, refused bool, err error) {
	var e work.JobRow
	if err := work.Decode(row.Value, &e); err != nil {
		return "", false, err
	}
	if e.Refused || e.Job == nil {
		return "", true, nil
	}
	return e.Job.Account, false, nil
}

// refuse settles a submission of unknown outcome: with a refusal in its place it can't take effect any more.
func (j *Jobs) refuse(ctx context.Context, job *work.Job) error {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-answerTime))
		defer cancel()
	}
	value, err := work.Encode(work.JobRow{Refused: true})
	if err != nil {
		return err
	}
	tx := store.Tx{
		Preconditions: []store.Precondition{{Key: work.JobKey(job.ID)}},
		Put:           []store.Put{{Key: work.JobKey(job.ID), Value: value}},
	}
	var result store.Result
	err = j.retryUnknown(ctx, func(ctx context.Context) error {
		result, err = j.config.Store.Apply(ctx, tx)
		return err
	})
	if err == nil {
		return fault.New(fault.Unavailable, "submit", "store", "no answer in time; the id %s was refused", job.ID)
	}
	if !fault.Is(err, fault.Conflict) {
		return fault.Wrap(err, fault.OutcomeUnknown, "settle submission", "store")
	}
	accepted, _, err := j.known(result.Current, job)
	if err != nil || accepted {
		return err
	}
	return fault.New(fault.Unavailable, "submit", "store", "no answer in time; the id %s was refused", job.ID)
}
