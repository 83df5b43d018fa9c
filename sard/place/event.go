// Package place decides where gangs run. It is pure: no I/O, no goroutines and no clock of its own, so the same
// events give the same decisions.
package place

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// Event is something that the engine must know. It is sealed.
type Event interface{ event() }

// Configure sets the guarantees, weights and objective that are in force for the domain.
type Configure struct {
	Objective Objective
	Accounts  []Account
	// CheckpointGrace is how long a reclaimed gang may take to write its checkpoint.
	CheckpointGrace time.Duration
}

// Objective weighs the two measures; only the ratio matters.
type Objective struct {
	CompletionTime float64
	Fragmentation  float64
}

// Account is a client account's share of the domain.
type Account struct {
	Name       ident.Account
	Weight     int
	Guarantees []Guarantee
}

// Guarantee is a number of cells of one size.
type Guarantee struct {
	Accelerators ident.Accelerators
	Count        int
}

// Topology sets the workers of the domain, in the order of their racks and of their positions in a rack.
// Workers that are missing from a later Topology are lost.
type Topology struct{ Workers []Worker }

// Worker is a worker's place and size.
type Worker struct {
	Name         ident.Worker
	Rack         ident.Rack
	Accelerators ident.Accelerators
	// Leaving workers get nothing new.
	Leaving bool
}

// WorkerLost tells that a worker can't be reached. Its gangs end by events of their own.
type WorkerLost struct{ Worker ident.Worker }

// WorkerRecovered tells that a lost worker can be reached again and runs nothing.
type WorkerRecovered struct{ Worker ident.Worker }

// Submit adds a job that waits to be placed.
type Submit struct{ Job Job }

// SubmitAll adds many jobs at once, such as those that wait after a takeover, and decides once.
type SubmitAll struct{ Jobs []Job }

// Job is what the engine knows of a job.
type Job struct {
	ID      ident.Job
	Account ident.Account
	Kind    ident.JobKind
	// Accelerators is the size of the gang.
	Accelerators ident.Accelerators
	// RunTime is the declared run time; 0 when not declared.
	RunTime time.Duration
	// Checkpointable jobs can be stopped and resumed; others run only within their account's guarantee.
	Checkpointable bool
	// Urgent jobs start within seconds, before all that is not urgent in their account's guarantee.
	Urgent bool
	// Submitted is when the job was accepted.
	Submitted time.Time
	// Attempt is the last attempt that was made; 0 for none.
	Attempt ident.Attempt
}

// Restore tells, after a takeover, that a job's attempt holds its assignment. Running tells that it was committed.
type Restore struct {
	Job     Job
	Parts   []Part
	Running bool
	Started time.Time
}

// Started tells that all parts of an attempt run.
type Started struct {
	Job     ident.Job
	Attempt ident.Attempt
}

// Ended tells that no part of an attempt runs any more.
type Ended struct {
	Job     ident.Job
	Attempt ident.Attempt
	Result  Result
	// FailedWorkers are the workers on which parts failed.
	FailedWorkers []ident.Worker
}

// Result is how an attempt ended.
type Result int

// The results of an attempt. Requeued attempts are tried again; the others end the job.
const (
	Succeeded Result = iota
	Failed
	Cancelled
	Requeued
)

// Cancel tells that a job shall not run any more. A waiting job is forgotten; a placed one is stopped.
type Cancel struct{ Job ident.Job }

// Tick lets time pass.
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
