package pool

import (
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// Decision is an order to a worker. It is sealed.
type Decision interface{ decision() }

// Start orders a part to be started. It is to be recorded before it is sent.
type Start struct {
	Attempt    work.Attempt
	Worker     work.WorkerProcess
	Payload    string
	Checkpoint work.Checkpoint
}

// Stop orders an attempt to be stopped.
type Stop struct {
	Attempt work.Attempt
	Worker  work.WorkerProcess
	Reason  StopReason
}

// StopReason is why an attempt is stopped.
type StopReason string

// The reasons of stops.
const (
	ReasonCancelled     StopReason = "job cancelled"
	ReasonFailed        StopReason = "job failed"
	ReasonReclaimed     StopReason = "capacity reclaimed"
	ReasonGangEnded     StopReason = "another part of the gang ended"
	ReasonUnconfirmed   StopReason = "start not confirmed"
	ReasonWorkerLeaving StopReason = "worker leaves before the end"
	ReasonSlow          StopReason = "much slower than estimated"
	ReasonStalled       StopReason = "no progress"
	ReasonNotCurrent    StopReason = "not a current attempt"
)

func (Start) decision() {}
func (Stop) decision()  {}

// Summary counts what the engine holds.
type Summary struct {
	Jobs    int
	Waiting int
	Placed  int
	Workers int
	Used    ident.Accelerators
	Total   ident.Accelerators
}
