package ident

//go:generate go tool stringer -type=JobState,Outcome,RequestClass,PartState,MemberState -output=enums_string.go

// JobState is the lifecycle state of a job.
type JobState int

// The states of a job. Succeeded, Failed and Cancelled are terminal.
const (
	// Queued is the state of a job that waits to be placed on workers.
	Queued JobState = iota
	// Placing is the state of a job that is assigned to workers, but of which no part may have started.
	Placing
	// Running is the state of a job that is committed to its workers; its parts may have started.
	Running
	// Stopping is the state of a job that is being cancelled; its parts are being stopped.
	Stopping
	// Succeeded is the state of a job that has completed all its parts.
	Succeeded
	// Failed is the state of a job that has ended without success and is not retried.
	Failed
	// Cancelled is the state of a job that was stopped at the request of its account.
	Cancelled
)

// Terminal reports whether s is a state in which a job stays for good.
func (s JobState) Terminal() bool {
	return s >= Succeeded
}

// Outcome is the result of a request as reported to its caller.
type Outcome int

// The outcomes of a request.
const (
	// Answered is the outcome of a request that a backend server answered.
	Answered Outcome = iota
	// NotRun is the outcome of a request that definitely did not run.
	NotRun
	// Unknown is the outcome of a request that may or may not have run.
	Unknown
)

// RequestClass determines whether a request may be retried.
type RequestClass int

// The classes of requests.
const (
	// Idempotent is the class of requests that may be sent to a backend server more than once.
	Idempotent RequestClass = iota
	// NotRepeated is the class of requests that are sent to a backend server at most once.
	NotRepeated
)

// PartState is the state of the part of a gang that is assigned to one worker.
type PartState int

// The states of a part on a worker.
const (
	// PartReserved is the state of a part whose accelerators are reserved but which was not started.
	PartReserved PartState = iota
	// PartRunning is the state of a part that was started and has not ended.
	PartRunning
	// PartDone is the state of a part that ended successfully.
	PartDone
	// PartFailed is the state of a part that ended with an error.
	PartFailed
	// PartStopped is the state of a part that was stopped before its end.
	PartStopped
)

// MemberState is the state of a machine in the platform's machine list.
type MemberState int

// The states of a machine.
const (
	// Live is the state of a machine that receives work.
	Live MemberState = iota
	// Leaving is the state of a machine that receives no new work because it is about to be removed.
	Leaving
)
