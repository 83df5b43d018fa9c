// Package gang executes the jobs of one data centre as gangs: all parts of a job run at the same time or none does. It
// reserves, commits, starts, confirms, checkpoints and stops them, and recovers them after a takeover of the lease.
//
// The package uses these terms:
//
//   - A domain is the scheduling domain of one data centre. One instance at a time holds it, under the domain lease.
//     Each new holder has a higher epoch.
//   - An attempt is one execution of a job. It consists of one part on each worker that it uses.
//   - The engine (package place) decides where and when jobs run. Its decisions are carried out here.
//   - A worker runs parts under leases: it ends a part whose lease is not renewed in time.
//   - To fence a worker is to tell it the epoch of the holder, after which it rejects calls of earlier holders.
//   - To commit an attempt is to write its job as Running to the table, before any part is started. An attempt is
//     confirmed when all its parts have started and got the long lease.
//   - To reclaim a gang is to stop it, after a checkpoint if possible, because its accelerators are needed for another
//     one, usually that of an account to which they are guaranteed. The stopped job is normally queued again.
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
	// RunTime is the run time that the caller expects; 0 if not declared.
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

// JobView is the state of a job as shown to the account that submitted it.
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
	// Get returns the present state of a job of the account.
	Get(ctx context.Context, account ident.Account, job ident.Job) (JobView, error)
	// List returns the account's jobs, newest first. An empty account lists the jobs of all accounts.
	List(ctx context.Context, account ident.Account) ([]JobView, error)
	// Cancel cancels jobs of the account. Repeating it has no further effect.
	Cancel(ctx context.Context, account ident.Account, jobs []ident.Job) error
	// Explain returns why a job is waiting or where it was placed.
	Explain(ctx context.Context, account ident.Account, job ident.Job) (place.Explanation, error)
}
