package sched

import (
	"context"
	"fmt"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/work"
)

// WorkerClock is a time in milliseconds on a worker's own steady clock.
type WorkerClock int64

// EndSequence numbers the ends that a worker process lists, from 1.
type EndSequence uint64

// ListedWorker is what the platform's list says of a worker.
type ListedWorker struct {
	pool.Worker
	Address    string
	DataCentre ident.DataCentre
	// Clock is the worker's clock when it reported; 0 when not told.
	Clock WorkerClock
	// Leaving tells that the worker leaves, after Remaining at the earliest.
	Leaving     bool
	LeavesAfter time.Duration
}

// WorkerClient sends orders to one worker. Errors are *fault.Error of the kinds Unavailable (nothing was done),
// OutcomeUnknown, Invalid and Internal, or a *Refusal.
type WorkerClient interface {
	Start(ctx context.Context, o StartRequest) (Reply, error)
	Stop(ctx context.Context, o StopRequest) (Reply, error)
	RenewLease(ctx context.Context, o RenewLeaseRequest) (WorkerReport, error)
}

// StartRequest starts an attempt of a part. Sent again for an attempt that runs it changes nothing.
type StartRequest struct {
	Worker     work.WorkerProcess
	Attempt    work.Attempt
	Payload    string
	Checkpoint work.Checkpoint
	Epoch      ident.Epoch
	// Deadline is when all that runs on the worker is killed unless it is extended.
	Deadline WorkerClock
}

// StopRequest stops an attempt. One that is not there yet is refused from then on.
type StopRequest struct {
	Worker  work.WorkerProcess
	Attempt work.Attempt
	Epoch   ident.Epoch
}

// RenewLeaseRequest extends the lease of all that runs on a worker and asks for its lists.
type RenewLeaseRequest struct {
	Worker work.WorkerProcess
	Epoch  ident.Epoch
	// Deadline is as in StartOrder; 0 extends nothing.
	Deadline WorkerClock
	// AckedEnd is the last end that need not be listed again.
	AckedEnd EndSequence
	// MaxWait is how long the answer may wait for an end.
	MaxWait time.Duration
}

// Reply is the answer to an order.
type Reply struct {
	Clock WorkerClock
	// StartedMs is that of the process that answered; 0 when not told.
	StartedMs int64
}

// WorkerReport is the answer to a hold.
type WorkerReport struct {
	Reply
	Running []RunningAttempt
	Ended   []EndedAttempt
}

// attempts returns all attempts that the report shows.
func (r *WorkerReport) attempts() []work.Attempt {
	var shown []work.Attempt
	for _, p := range r.Running {
		shown = append(shown, p.Attempt)
	}
	for _, p := range r.Ended {
		shown = append(shown, p.Attempt)
	}
	return shown
}

// RunningAttempt is an attempt that runs on a worker.
type RunningAttempt struct {
	Attempt    work.Attempt
	Checkpoint work.Checkpoint
	// Percent is how much of the work is done; of a lasting part, the share at which it works.
	Percent int
}

// EndedAttempt is an attempt that ended on a worker.
type EndedAttempt struct {
	Sequence   EndSequence
	Attempt    work.Attempt
	Outcome    pool.End
	Checkpoint work.Checkpoint
}

//go:generate go tool stringer -type=Cause -output=cause_string.go

// Cause is why a worker refused an order.
type Cause int

// The causes of refusals.
const (
	// Superseded is an epoch lower than one that the worker has seen.
	Superseded Cause = iota
	// Outdated is an attempt that is not higher than one that was stopped or has ended there.
	Outdated
	// Expired is a deadline that has passed.
	Expired
	// NoRoom is a lack of capacity.
	NoRoom
	// Unwell is a worker that takes nothing now.
	Unwell
	// OtherLife is a worker process other than the one that was meant.
	OtherLife
	// Unpermitted is a part that may not run there.
	Unpermitted
)

// RefusalError is an order that a worker refused and did not carry out.
type RefusalError struct {
	Cause  Cause
	Worker ident.Worker
	Reply  Reply
}

// Error formats the refusal.
func (r *RefusalError) Error() string {
	return fmt.Sprintf("order at worker %s: refused (%s)", r.Worker, r.Cause)
}
