// Package place decides which accelerators gangs run on. It is deterministic: it does no I/O, starts no goroutines
// and reads no clock, so the same events give the same decisions.
package place

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// Event is an input to the engine. It is sealed.
type Event interface{ event() }

// Configure sets the objective, weights and guarantees of the domain.
type Configure struct {
	Objective Objective
	Accounts  []Account
	// CheckpointGrace is how long a reclaimed gang may take to write its checkpoint.
	CheckpointGrace time.Duration
}

// Objective sets the relative weights of job completion time and fragmentation; only their ratio matters.
type Objective struct {
	CompletionTime float64
	Fragmentation  float64
}

// Account is a client account's weight and guarantees in the domain.
type Account struct {
	Name       ident.Account
	Weight     int
	Guarantees []Guarantee
}

// Guarantee is Count cells of Accelerators each. A Count of 0 means 1.
type Guarantee struct {
	Accelerators ident.Accelerators
	Count        int
}

// Topology sets the workers of the domain, ordered by rack and position in the rack. Workers that are missing from
// a later Topology are removed.
type Topology struct{ Workers []Worker }

// Worker is a worker with its rack and number of accelerators.
type Worker struct {
	Name         ident.Worker
	Rack         ident.Rack
	Accelerators ident.Accelerators
	// Leaving workers take no new gangs.
	Leaving bool
}

// WorkerLost reports that a worker can't be reached. The attempts on it end with Ended events.
type WorkerLost struct{ Worker ident.Worker }

// WorkerRecovered reports that a lost worker can be reached again and runs nothing.
type WorkerRecovered struct{ Worker ident.Worker }

// Submit adds a job to the queue.
type Submit struct{ Job Job }

// SubmitAll adds many jobs and schedules once, for instance the waiting jobs after a takeover.
type SubmitAll struct{ Jobs []Job }

// Job describes a job to the engine.
type Job struct {
	ID      ident.Job
	Account ident.Account
	Kind    ident.JobKind
	// Accelerators is the size of the gang.
	Accelerators ident.Accelerators
	// RunTime is the declared run time; 0 when not declared.
	RunTime time.Duration
	// Checkpointable jobs can be stopped and resumed. Others run only within their account's guarantees.
	Checkpointable bool
	// Urgent jobs start within seconds, ahead of all other jobs in their account's guarantees.
	Urgent bool
	// Submitted is when the job was accepted.
	Submitted time.Time
	// Attempt is the number of the last attempt; 0 for none.
	Attempt ident.Attempt
}

// Restore reports, after a takeover, the parts that a job's attempt holds. Running is set when the attempt has
// started.
type Restore struct {
	Job     Job
	Parts   []Part
	Running bool
	Started time.Time
}

// Started reports that all parts of an attempt are running.
type Started struct {
	Job     ident.Job
	Attempt ident.Attempt
}

// Ended reports that no part of an attempt is running any more.
type Ended struct {
	Job     ident.Job
	Attempt ident.Attempt
	Result  Result
	// FailedWorkers are the workers on which parts of the attempt failed.
	FailedWorkers []ident.Worker
}

// Result is how an attempt ended.
type Result int

// The results of an attempt. A Requeued attempt is retried; the others end the job.
const (
	Succeeded Result = iota
	Failed
	Cancelled
	Requeued
)

// Cancel ends a job. A waiting job is removed; a placed one is stopped.
type Cancel struct{ Job ident.Job }

// Tick runs periodic work when no other event occurs.
type Tick struct{}

func (Configure) event()       {}
func (Topology) event()        {}
func (WorkerLost) event()      {}
func (WorkerRecovered) event() {}
func (Submit) event()          {}
func (SubmitAll) event()       {}
func (Restore) event()         {}
func (Started) event()         {}
func (Ended) event()           {}
func (Cancel) event()          {}
func (Tick) event()            {}
