// Package gang runs the life of jobs: reserve, commit, start, confirm, checkpoint, stop and recover.
package gang

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// JobSpec is a submitted job as its caller describes it.
type JobSpec struct {
	Kind         ident.JobKind
	Accelerators ident.Accelerators
	// RunTime is the declared run time; 0 when not declared.
	RunTime        ident.Duration
	Checkpointable bool
	Urgent         bool
	// NotRepeated jobs are tried once; a lost attempt fails them.
	NotRepeated bool
	// DataCentre is where the job must run; empty for any.
	DataCentre ident.DataCentre
	// Command is handed to the worker.
	Command string
}

// JobView is a job as its caller sees it.
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
	// Reason tells why the job failed or waits.
	Reason string
	Parts  []place.Part
}

// JobService takes job calls. Its errors are *fault.Error of kinds Invalid, Denied, NotFound, Conflict (the
// idempotency key belongs to another submission), Throttled and Unavailable (not accepted).
type JobService interface {
	// Submit accepts a job. The same key gives the same job; an empty key gives a new one.
	Submit(ctx context.Context, account ident.Account, key ident.IdempotencyKey, spec JobSpec) (JobView, error)
	// Get returns a job of the account.
	Get(ctx context.Context, account ident.Account, job ident.Job) (JobView, error)
	// List returns the account's jobs, the newest first; all accounts' jobs for the empty account.
	List(ctx context.Context, account ident.Account) ([]JobView, error)
	// Cancel ends jobs of the account. It is idempotent.
	Cancel(ctx context.Context, account ident.Account, jobs []ident.Job) error
	// Explain tells why a job waits or where it was placed.
	Explain(ctx context.Context, account ident.Account, job ident.Job) (place.Explanation, error)
}
