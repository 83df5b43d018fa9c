package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// Decision is an order to a worker: a Start or a Stop. Only types of this package implement it.
type Decision interface{ decision() }

// Start orders a worker to start an attempt of a part. The caller must record the start in the store before it sends
// the order.
type Start struct {
	Attempt    work.Attempt
	Worker     work.WorkerProcess
	Priority   work.Priority
	Payload    string
	Checkpoint work.Checkpoint
}

// Stop orders a worker to stop an attempt.
type Stop struct {
	Attempt work.Attempt
	Worker  work.WorkerProcess
	Reason  StopReason
	// Progress is how far and how fast the attempt got.
	Progress ProgressState
}

// ProgressState is how far and how fast an attempt got by the reports of its worker. All but Percent are of its gang.
type ProgressState struct {
	Percent int
	// Rate and BestRate are the latest and the highest steady rate in percent per second; 0 if unknown.
	Rate, BestRate float64
	// Unchanged is the time from the last change of the progress to the last report.
	Unchanged time.Duration
}

// OfMove reports whether the reason is that the work is slow or stands still.
func (r StopReason) OfMove() bool {
	return r == ReasonSlow || r == ReasonSlowedDown || r == ReasonSlowWorker || r == ReasonStalled
}

// StopReason states why an attempt is stopped.
type StopReason string

// Reasons for stopping an attempt.
const (
	ReasonCancelled     StopReason = "job cancelled"
	ReasonFailed        StopReason = "job failed"
	ReasonCrashes       StopReason = "its workers crash"
	ReasonReclaimed     StopReason = "capacity reclaimed"
	ReasonGangEnded     StopReason = "another part of the gang ended"
	ReasonUnconfirmed   StopReason = "start not confirmed"
	ReasonWorkerLeaving StopReason = "worker leaves before the end"
	ReasonSlow          StopReason = "much slower than estimated"
	ReasonSlowedDown    StopReason = "slower than its own past rate"
	ReasonSlowWorker    StopReason = "worker slows its work down"
	ReasonStalled       StopReason = "no progress"
	ReasonNotCurrent    StopReason = "not a current attempt"
	ReasonLateStart     StopReason = "its start was executed late"
	ReasonDisturbs      StopReason = "disturbs others and can't be throttled"
	ReasonStrayDone     StopReason = "a late run of the part is done"
)

// decision marks Start as a Decision.
func (Start) decision() {}

// decision marks Stop as a Decision.
func (Stop) decision() {}

// Summary holds the number of jobs, of waiting and placed parts, and of workers, and the accelerators in use and in
// total.
type Summary struct {
	Jobs    int
	Waiting int
	Placed  int
	Workers int
	Used    ident.Accelerators
	Total   ident.Accelerators
}
