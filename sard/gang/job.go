// Package gang executes the jobs of one data centre as gangs: all parts of a job run at the same time or none does. It
// reserves, commits, starts, confirms, checkpoints and stops them, and recovers them after a takeover of the lease.
package gang

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// JobSpec is the description of a job as submitted by its caller.
type JobSpec struct {
	Kind         ident.JobKind
	Accelerators ident.Accelerators
	// RunTime is the declared run time; 0 if not declared.
	RunTime        ident.Duration
	Checkpointable bool
	Urgent         bool
	// NotRepeated limits the job to one attempt: if it is lost, the job fails.
	NotRepeated bool
	// DataCentre is the data centre in which the job must run; empty for any.
	DataCentre ident.DataCentre
	// Command is passed to the worker unchanged.
	Command string
}

// JobView is the state of a job as shown to its caller.
type JobView struct {
	ID         ident.Job
	Account    ident.Account
	Spec       JobSpec
	State      ident.JobState
	Attempt    ident.Attempt
	DataCentre ident.DataCentre
	Submitted  time.Time
	Started    time.Time
	Ended      time.Time
	// Reason explains why the job failed or is waiting.
	Reason string
	Parts  []place.Part
}

// JobService is the interface for submitting and managing jobs. Its errors are of type *fault.Error with the kinds
// Invalid, Denied, NotFound, Conflict (the idempotency key belongs to another submission), Throttled, Unavailable (the
// call had no effect) and OutcomeUnknown.
type JobService interface {
	// Submit accepts a job. Submissions with the same key return the same job; an empty key always creates a new one.
	Submit(ctx context.Context, account ident.Account, key ident.IdempotencyKey, spec JobSpec) (JobView, error)
	// Get returns a job of the account.
	Get(ctx context.Context, account ident.Account, job ident.Job) (JobView, error)
	// List returns the account's jobs, newest first. An empty account lists the jobs of all accounts.
	List(ctx context.Context, account ident.Account) ([]JobView, error)
	// Cancel cancels jobs of the account. It is idempotent.
	Cancel(ctx context.Context, account ident.Account, jobs []ident.Job) error
	// Explain returns why a job is waiting or where it was placed.
	Explain(ctx context.Context, account ident.Account, job ident.Job) (place.Explanation, error)
}
