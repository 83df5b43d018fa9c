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

// Decision is an instruction to the caller of the engine. It is sealed.
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
	// WithinGuarantee is set when Claimant claims accelerators of its account's guarantee.
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

// Quarantine reports that a worker was quarantined: it runs one probing gang at a time.
type Quarantine struct {
	Worker ident.Worker
	Reason string
}

// EndQuarantine reports that a worker's quarantine has ended.
type EndQuarantine struct{ Worker ident.Worker }

// Shortage reports how many cells of a guarantee can't be met by the remaining workers. Missing 0 ends a shortage.
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

// Summary describes the load of a domain.
type Summary struct {
	Accelerators ident.Accelerators
	Free         ident.Accelerators
	Borrowed     ident.Accelerators
	Waiting      int
	Placed       int
	// LargestFree is the size of the largest free cell.
	LargestFree ident.Accelerators
	// Fragmentation is the share of the free accelerators that could form cells of the target shape but don't, 0 to
	// 1. The target shape is the largest size of a waiting gang or a guarantee.
	Fragmentation float64
	// Stranded is the share of all accelerators that are free but in no free cell of the target shape, 0 to 1.
	Stranded float64
	// Shortages are the guarantees that can't be met.
	Shortages []Shortage
	// Breaches counts the decisions that were rejected because they would have violated an invariant.
	Breaches uint64
	// LastBreach describes the last of them.
	LastBreach string
	// Quarantined are the workers in quarantine.
	Quarantined []ident.Worker
}
