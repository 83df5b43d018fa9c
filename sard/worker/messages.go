// Package worker is the client of the workers, which run the parts of gangs under leases.
//
// Every call is an HTTP POST of JSON to /v1/<call> and is idempotent. Every call carries the epoch of the
// domain lease; a worker refuses an epoch lower than the highest that it has seen with status 409 and an
// ErrorReply of code StaleEpoch.
package worker

import "github.com/sardineline/sardineline/sard/ident"

// Part names a gang's share on one worker.
type Part struct {
	Job     ident.Job
	Attempt ident.Attempt
}

// Spec is what a worker needs to run a part.
type Spec struct {
	Account ident.Account
	Kind    ident.JobKind
	// Command is the caller's payload for the task.
	Command string
	// Checkpoint names the object to resume from; empty for a fresh start.
	Checkpoint string
	// Checkpointable tells that the task can write checkpoints.
	Checkpointable bool
	// Parts is the number of the gang's parts on all workers; 0 when not told.
	Parts int
}

// FenceRequest raises the worker's epoch. The answer is a Report.
type FenceRequest struct {
	Domain ident.DataCentre
	Epoch  ident.Epoch
}

// ReserveRequest sets accelerators aside for a part under a short lease. Nothing runs yet. The answer is a Report.
type ReserveRequest struct {
	Domain       ident.DataCentre
	Epoch        ident.Epoch
	Part         Part
	Accelerators ident.AcceleratorSet
	Lease        ident.Duration
	Spec         Spec
}

// StartRequest starts a reserved part under the lease that it has. The answer is a Report.
type StartRequest struct {
	Domain ident.DataCentre
	Epoch  ident.Epoch
	Part   Part
}

// RenewRequest renews the leases of parts and asks for a Report. With Wait, the worker holds the answer
// until its report's Sequence differs from Seen or Wait has passed.
type RenewRequest struct {
	Domain ident.DataCentre
	Epoch  ident.Epoch
	Parts  []Part
	Lease  ident.Duration
	Seen   uint64
	Wait   ident.Duration
	// Forget are ended parts whose end is recorded: the worker leaves them out of its reports. It still refuses
	// to run them again.
	Forget []Part
}

// CheckpointRequest asks a part to write a checkpoint. The answer is a CheckpointReply.
type CheckpointRequest struct {
	Domain ident.DataCentre
	Epoch  ident.Epoch
	Part   Part
}

// CheckpointReply names the checkpoint that was written.
type CheckpointReply struct {
	Checkpoint string
}

// ThrottleRequest limits a part to a share of its accelerators' speed, 1 to 100. The answer is a Report.
type ThrottleRequest struct {
	Domain  ident.DataCentre
	Epoch   ident.Epoch
	Part    Part
	Percent int
}

// StopRequest ends a part, reserved or running. The answer is a Report, given when the part has ended.
type StopRequest struct {
	Domain ident.DataCentre
	Epoch  ident.Epoch
	Part   Part
}

// PartReport is what a worker says of one part. Ended parts are reported until a later epoch or an hour has passed.
type PartReport struct {
	Part         Part
	State        ident.PartState
	Accelerators ident.AcceleratorSet
	// Message tells why a part failed.
	Message string
	// Ran is the time for which the part has run. It may lag behind.
	Ran ident.Duration
}

// Report is the state of a worker.
type Report struct {
	Worker ident.Worker
	Epoch  ident.Epoch
	// Sequence rises with each change of a part's state.
	Sequence uint64
	// Unchanged tells that nothing has changed since the Sequence that a RenewRequest has Seen; Parts is then left
	// out. A worker may set it only in an answer to RenewRequest, and never for a sequence of an earlier start of
	// the worker.
	Unchanged bool `json:",omitempty"`
	Parts     []PartReport
}

// ErrorCode is why a worker refused a call.
type ErrorCode string

// The refusals of a worker.
const (
	StaleEpoch  ErrorCode = "StaleEpoch"
	Occupied    ErrorCode = "Occupied"
	UnknownPart ErrorCode = "UnknownPart"
	BadRequest  ErrorCode = "BadRequest"
	Broken      ErrorCode = "Broken"
)

// ErrorReply is the body of a refusal.
type ErrorReply struct {
	Code    ErrorCode
	Message string
	// Epoch is the highest epoch that the worker has seen.
	Epoch ident.Epoch
}
