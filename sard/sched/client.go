package sched

import (
	"context"
	"fmt"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/share"
	"github.com/sardineline/sardineline/sard/work"
)

// WorkerClock is a time on the monotonic clock of a worker, in milliseconds.
type WorkerClock int64

// EndSequence is the sequence number of the end of an attempt. Each worker process numbers its ends from 1.
type EndSequence uint64

// ListedWorker is the entry of a worker in the platform's list of workers.
type ListedWorker struct {
	pool.Worker
	Address    string
	DataCentre ident.DataCentre
	// Clock is the worker's clock when it last reported to the platform; 0 if unknown.
	Clock WorkerClock
	// Leaving indicates that the worker is going to leave, after LeavesAfter at the earliest.
	Leaving     bool
	LeavesAfter time.Duration
}

// WorkerClient sends requests to a worker. Its methods return errors of type *fault.Error with kind Unavailable (the
// request had no effect), OutcomeUnknown, Invalid or Internal, or of type *RefusalError.
type WorkerClient interface {
	Start(ctx context.Context, o StartRequest) (Reply, error)
	Stop(ctx context.Context, o StopRequest) (Reply, error)
	Throttle(ctx context.Context, o ThrottleRequest) (Reply, error)
	RenewLease(ctx context.Context, o RenewLeaseRequest) (WorkerReport, error)
}

// StartRequest requests the start of an attempt of a part. A repeated request for a running attempt has no effect.
type StartRequest struct {
	Worker     work.WorkerProcess
	Attempt    work.Attempt
	Payload    string
	Checkpoint work.Checkpoint
	Epoch      ident.Epoch
	// Deadline is when the worker stops all its running attempts, unless a later request extends it.
	Deadline WorkerClock
}

// StopRequest requests the stop of an attempt. If the attempt has not been started yet, the worker refuses to start
// it later.
type StopRequest struct {
	Worker  work.WorkerProcess
	Attempt work.Attempt
	Epoch   ident.Epoch
}

// ThrottleRequest sets the share of its processor use that a running attempt may have. It has no effect on other attempts of the
// part, and ends with the attempt.
type ThrottleRequest struct {
	Worker  work.WorkerProcess
	Attempt work.Attempt
	Share   share.Percent
	Epoch   ident.Epoch
}

// RenewLeaseRequest extends the time until which the worker runs its attempts, and requests a report of them.
type RenewLeaseRequest struct {
	Worker work.WorkerProcess
	Epoch  ident.Epoch
	// Deadline is the new deadline as in StartRequest; 0 does not extend it.
	Deadline WorkerClock
	// AckedEnd is the sequence number up to which the ends of attempts are acknowledged. The worker no longer
	// reports these.
	AckedEnd EndSequence
	// MaxWait is how long the worker may delay the response until an attempt ends.
	MaxWait time.Duration
}

// Reply is the part of a worker's response that is common to all requests.
type Reply struct {
	Clock WorkerClock
	// StartedMs is the start time of the process that responded; 0 if unknown.
	StartedMs int64
}

// WorkerReport is the response to a RenewLeaseRequest. It lists the running attempts, and the ended ones whose ends are
// not acknowledged yet.
type WorkerReport struct {
	Reply
	Running []RunningAttempt
	Ended   []EndedAttempt
	// EndsOmitted indicates that there may be later ends than those in Ended, which are reported once these are acknowledged.
	EndsOmitted bool
}

// attempts returns all running and ended attempts of the report.
func (r *WorkerReport) attempts() []work.Attempt {
	var attempts []work.Attempt
	for _, p := range r.Running {
		attempts = append(attempts, p.Attempt)
	}
	for _, p := range r.Ended {
		attempts = append(attempts, p.Attempt)
	}
	return attempts
}

// RunningAttempt describes an attempt that is running on a worker.
type RunningAttempt struct {
	Attempt    work.Attempt
	Checkpoint work.Checkpoint
	// Percent is the progress of the attempt, or for a part of a lasting step the speed at which it runs.
	Percent int
	// Measured is, for the last half second, the tail of the response times of a part with a latency target, in milliseconds, and the
	// processor use of any other part, in thousandths of a core; NotMeasured if the report does not tell.
	Measured int
}

// NotMeasured is the value of RunningAttempt.Measured if the worker does not measure it.
const NotMeasured = -1

// EndedAttempt describes an attempt that has ended on a worker.
type EndedAttempt struct {
	Sequence   EndSequence
	Attempt    work.Attempt
	Outcome    pool.End
	Checkpoint work.Checkpoint
}

//go:generate go tool stringer -type=Cause -output=cause_string.go

// Cause is the reason for which a worker refused a request.
type Cause int

// Causes of refusals.
const (
	// Superseded means that the worker has seen a higher epoch than that of the request.
	Superseded Cause = iota
	// Outdated means that the attempt, or a later one of the same part, was stopped or has ended on the worker.
	Outdated
	// Expired means that the deadline of the request has passed.
	Expired
	// NoRoom means that the worker lacks capacity.
	NoRoom
	// Unwell means that the worker currently accepts no parts.
	Unwell
	// OtherLife means that the request is for another worker process.
	OtherLife
	// Unpermitted means that the part is not allowed to run on the worker.
	Unpermitted
)

// RefusalError is returned for a request that a worker refused. A refused request has no effect.
type RefusalError struct {
	Cause  Cause
	Worker ident.Worker
	Reply  Reply
}

// Error returns the worker and the cause.
func (r *RefusalError) Error() string {
	return fmt.Sprintf("worker %s refused the request: %s", r.Worker, r.Cause)
}
