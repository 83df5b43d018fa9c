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
	Worker     work.Life
	Payload    string
	Checkpoint work.Checkpoint
}

// Stop orders an attempt to be stopped.
type Stop struct {
	Attempt work.Attempt
	Worker  work.Life
	Reason  Reason
}

// Reason is why an attempt is stopped.
type Reason string

// The reasons of stops.
const (
	ReasonCancelled Reason = "job cancelled"
	ReasonFailed    Reason = "job failed"
	ReasonReclaimed Reason = "capacity reclaimed"
	ReasonPartner   Reason = "another part of the gang ended"
	ReasonDoubt     Reason = "start not confirmed"
	ReasonLeaving   Reason = "worker leaves before the end"
	ReasonSlow      Reason = "much slower than estimated"
	ReasonStalled   Reason = "no progress"
	ReasonUnknown   Reason = "not a current attempt"
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
