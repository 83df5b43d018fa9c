package ident

//go:generate go tool stringer -type=JobState,Outcome,RequestClass,PartState,MemberState -output=enums_string.go

// JobState is a step in the life of a job.
type JobState int

// The states of a job. Succeeded, Failed and Cancelled are terminal.
const (
	Queued JobState = iota
	Placing
	Running
	Stopping
	Succeeded
	Failed
	Cancelled
)

// Terminal tells whether a job in state s never changes again.
func (s JobState) Terminal() bool {
	return s >= Succeeded
}

// Outcome is what a caller is told of its request.
type Outcome int

// The outcomes of a request. NotRun is told only when the request surely did not run.
const (
	Answered Outcome = iota
	NotRun
	Unknown
)

// RequestClass tells whether a request may be sent again.
type RequestClass int

// The classes of requests. A NotRepeated request is sent to a backend server at most once.
const (
	Idempotent RequestClass = iota
	NotRepeated
)

// PartState is the state of a gang's part on one worker.
type PartState int

// The states of a part on a worker.
const (
	PartReserved PartState = iota
	PartRunning
	PartDone
	PartFailed
	PartStopped
)

// MemberState is the state of a machine in the platform's list.
type MemberState int

// The states of a machine. Leaving machines get no new work.
const (
	Live MemberState = iota
	Leaving
)
