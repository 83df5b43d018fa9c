package place

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// Part is the accelerators of a gang on one worker.
type Part struct {
	Worker       ident.Worker
	Accelerators ident.AcceleratorSet
}

// Decision is an instruction or a report of the engine to its caller. Only types of this package implement it.
type Decision interface{ decision() }

// Place starts an attempt of a job on the given parts.
type Place struct {
	Job     ident.Job
	Attempt ident.Attempt
	Parts   []Part
	// Borrowed is set when the gang runs outside its account's guarantees.
	Borrowed bool
	Reason   string
}

// Reclaim takes back the accelerators of a gang: it writes a checkpoint and is stopped after Grace at the latest.
// The attempt then ends as Requeued.
type Reclaim struct {
	Job     ident.Job
	Attempt ident.Attempt
	// Claimant is the job that needs the accelerators; empty for a move by compaction.
	Claimant ident.Job
	// WithinGuarantee is set when Claimant will run within its account's guarantees.
	WithinGuarantee bool
	Grace           time.Duration
	Reason          string
}

// Stop ends an attempt immediately.
type Stop struct {
	Job     ident.Job
	Attempt ident.Attempt
	Reason  string
}

// Refuse fails a waiting job that can't run or has failed too often.
type Refuse struct {
	Job    ident.Job
	Reason string
}

// Quarantine reports that a worker was taken out of service because jobs failed on it. Until its quarantine ends, only
// probes are placed on it, one at a time.
type Quarantine struct {
	Worker ident.Worker
	Reason string
}

// EndQuarantine reports that a worker's quarantine has ended and that it is back in service.
type EndQuarantine struct{ Worker ident.Worker }

// Shortage reports that Missing of the cells of Accelerators each that are guaranteed to Account can't be provided by
// the workers in service. Missing 0 reports that the shortage has ended.
type Shortage struct {
	Account      ident.Account
	Accelerators ident.Accelerators
	Missing      int
}

func (Place) decision()         {}
func (Reclaim) decision()       {}
func (Stop) decision()          {}
func (Refuse) decision()        {}
func (Quarantine) decision()    {}
func (EndQuarantine) decision() {}
func (Shortage) decision()      {}

// Explanation describes why a job waits, or where and why it was placed.
type Explanation struct {
	Job ident.Job
	// State is "Waiting", "Placed", "Reclaiming" or "Unknown".
	State string
	// Last describes the last decision on the job.
	Last string
	// Waits describes what the job waits for.
	Waits string
	// Needs describes what would let it run.
	Needs string
	Parts []Part
}

// Summary describes the load of a domain: numbers of accelerators and jobs, and how well the free accelerators fit
// large gangs.
type Summary struct {
	Accelerators ident.Accelerators
	Free         ident.Accelerators
	Borrowed     ident.Accelerators
	Waiting      int
	Placed       int
	// LargestFree is the number of accelerators of the largest completely free cell.
	LargestFree ident.Accelerators
	// Fragmentation is the share of the free accelerators that could form cells of the target shape if they were
	// adjacent but don't, 0 to 1. The target shape is the largest size of a waiting gang or a guarantee.
	Fragmentation float64
	// Stranded is the share, from 0 to 1, of all accelerators in service that are free but in no free cell of the
	// target shape.
	Stranded float64
	// Shortages are the guarantees that can't be met.
	Shortages []Shortage
	// Breaches counts the decisions that were rejected because they would have violated an invariant.
	Breaches uint64
	// LastBreach describes the last decision that Breaches counts.
	LastBreach string
	// Quarantined are the workers in quarantine.
	Quarantined []ident.Worker
}
