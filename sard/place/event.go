// Package place decides which accelerators gangs run on. It is deterministic: it does no I/O, starts no goroutines and
// reads no clock, so the same events give the same decisions.
//
// The package uses these terms:
//
//   - A gang is a job whose accelerators are allocated all at once. Its accelerators on one worker are a part.
//   - A domain is the set of workers that one Engine schedules. An accelerator is in service if its worker is
//     reachable, not leaving and not quarantined.
//   - A cell is a group of neighbouring accelerators: an aligned block of 2^k accelerators of a worker, a worker, an
//     aligned power-of-two group of neighbouring workers in a rack, a rack, such a group of racks, or the whole domain.
//     The cells form a binary tree. A smallest aligned cell for n accelerators has n in service, but neither of its
//     halves has. Each gang runs within such a cell.
//   - A guarantee entitles an account to cells of given sizes. A grant is one of them. It is bound to a region: as many
//     accelerators as its size, within a smallest aligned cell, set aside for gangs of the account. Gangs of other
//     accounts run there only while they can be reclaimed. A region is pinned, that is it can't be moved, while gangs
//     run or claim accelerators within the guarantee. An unused guarantee can be rebound to another region. A guarantee
//     is short while it has no region that is completely in service.
//   - A gang borrows when it runs outside its account's guarantees. It may do so on any free accelerators, also in
//     regions.
//   - To reclaim a gang is to let it write a checkpoint and stop it, so that another gang can run on its accelerators.
//     The gangs to reclaim are victims. The other gang claims the accelerators until then: no further gang is placed on
//     them. Reclaimed gangs return to the queue.
//   - A reservation keeps a cell for a waiting gang until there is room for it. Gangs that end before that may backfill
//     the cell, that is run in it meanwhile.
//   - Compaction moves borrowing gangs out of a cell, to make room for large gangs.
//   - A probe is a gang that is run on a quarantined worker to test it.
package place

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// Event is an input to the engine. Only types of this package implement it.
type Event interface{ event() }

// Configure sets the objective, the accounts with their weights and guarantees, and the checkpoint grace of the domain.
type Configure struct {
	Objective Objective
	Accounts  []Account
	// CheckpointGrace is how long a reclaimed gang may take to write its checkpoint.
	CheckpointGrace time.Duration
}

// Objective sets how much a short completion time of jobs weighs against a low fragmentation of the free accelerators.
// Only the ratio of the weights matters.
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

// Guarantee entitles an account to Count cells of Accelerators each. A Count of 0 means 1.
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

// Restore reports a job that an earlier engine has placed, with the parts that its attempt holds, to the engine that
// takes over. Running is set when the attempt has started.
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

// Tick triggers periodic work, such as compaction and the end of quarantines, when no other event occurs.
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
