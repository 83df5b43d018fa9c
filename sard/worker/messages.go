// Package worker is the client of the workers, which run the parts of gangs under leases.
//
// A gang is a job whose parts run at the same time, one on each worker that it uses. A domain is the scheduling domain
// of one data centre. Each instance that takes over a domain has a higher epoch.
//
// Each call is an idempotent HTTP POST of JSON to /v1/<call>. It carries the epoch of the domain lease. A worker
// rejects an epoch lower than the highest that it has seen with status 409 and an ErrorReply with code StaleEpoch.
package worker

import "github.com/sardineline/sardineline/sard/ident"

// Part identifies the part of a gang that runs on one worker.
type Part struct {
	Job     ident.Job
	Attempt ident.Attempt
}

// Spec describes a part to the worker that runs it.
type Spec struct {
	Account ident.Account
	Kind    ident.JobKind
	// Command is the command of the task as the client account submitted it.
	Command string
	// Checkpoint is the name of the checkpoint object to resume from; empty to start from the beginning.
	Checkpoint string
	// Checkpointable is set if the task can write checkpoints.
	Checkpointable bool
	// Parts is the number of parts of the gang on all workers; 0 if unknown.
	Parts int
}

// FenceRequest raises the highest epoch that the worker has seen, so that it rejects calls under lower epochs. The
// reply is a Report.
type FenceRequest struct {
	Domain ident.DataCentre
	Epoch  ident.Epoch
}

// ReserveRequest reserves accelerators for a part under a short lease, without starting it. The reply is a Report.
type ReserveRequest struct {
	Domain       ident.DataCentre
	Epoch        ident.Epoch
	Part         Part
	Accelerators ident.AcceleratorSet
	// Lease is the duration after which the reservation expires unless it is renewed.
	Lease ident.Duration
	Spec  Spec
}

// StartRequest starts a reserved part under its existing lease. The reply is a Report.
type StartRequest struct {
	Domain ident.DataCentre
	Epoch  ident.Epoch
	Part   Part
}

// RenewRequest renews the leases of parts. The reply is a Report. With Wait, the worker holds the reply until the
// Sequence of its report differs from Seen or Wait has passed (long polling).
type RenewRequest struct {
	Domain ident.DataCentre
	Epoch  ident.Epoch
	Parts  []Part
	// Lease is the duration of the renewed leases.
	Lease ident.Duration
	// Seen is the Report.Sequence of the last report that the caller received from the worker.
	Seen uint64
	// Wait is how long the worker may hold the reply; 0 to reply at once.
	Wait ident.Duration
	// Forget lists ended parts whose end is recorded. The worker omits them from its reports, but still refuses to run
	// them again.
	Forget []Part
}

// CheckpointRequest makes a part write a checkpoint. The reply is a CheckpointReply.
type CheckpointRequest struct {
	Domain ident.DataCentre
	Epoch  ident.Epoch
	Part   Part
}

// CheckpointReply is the reply to CheckpointRequest.
type CheckpointReply struct {
	// Checkpoint is the name of the object that was written.
	Checkpoint string
}

// ThrottleRequest limits a part to a percentage of the speed of its accelerators, from 1 to 100. The reply is a Report.
type ThrottleRequest struct {
	Domain  ident.DataCentre
	Epoch   ident.Epoch
	Part    Part
	Percent int
}

// StopRequest stops a reserved or running part. The reply is a Report, sent when the part has ended.
type StopRequest struct {
	Domain ident.DataCentre
	Epoch  ident.Epoch
	Part   Part
}

// PartReport is the state of a part on a worker. Ended parts are reported until the epoch rises or an hour has passed.
type PartReport struct {
	Part         Part
	State        ident.PartState
	Accelerators ident.AcceleratorSet
	// Message is the reason why the part failed.
	Message string
	// Ran is how long the part has run. It may lag behind.
	Ran ident.Duration
}

// Report is a worker's reply with its highest epoch and the state of its parts.
type Report struct {
	Worker ident.Worker
	Epoch  ident.Epoch
	// Sequence increases with each change of the state of a part.
	Sequence uint64
	// Unchanged is set if no part has changed since the report with the Sequence in RenewRequest.Seen; Parts is then
	// empty. A worker may set it only in a reply to RenewRequest, and never for a Sequence from before its last start.
	Unchanged bool `json:",omitempty"`
	Parts     []PartReport
}

// ErrorCode is the reason why a worker rejected a call.
type ErrorCode string

// Error codes of a worker.
const (
	// StaleEpoch means that the worker has seen a higher epoch.
	StaleEpoch ErrorCode = "StaleEpoch"
	// Occupied means that the accelerators are in use.
	Occupied ErrorCode = "Occupied"
	// UnknownPart means that the worker does not have the part.
	UnknownPart ErrorCode = "UnknownPart"
	// BadRequest means that the call is invalid.
	BadRequest ErrorCode = "BadRequest"
	// Broken means that the call failed because of an error in the worker itself.
	Broken ErrorCode = "Broken"
)

// ErrorReply is the body of a response that rejects a call.
type ErrorReply struct {
	Code    ErrorCode
	Message string
	// Epoch is the highest epoch that the worker has seen.
	Epoch ident.Epoch
}
