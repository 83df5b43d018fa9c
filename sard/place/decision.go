package place

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// Part is a gang's share on one worker.
type Part struct {
	Worker       ident.Worker
	Accelerators ident.AcceleratorSet
}

// Decision is something to be done. It is sealed.
type Decision interface{ decision() }

// Place starts an attempt of a job on an assignment.
type Place struct {
	Job     ident.Job
	Attempt ident.Attempt
	Parts   []Part
	// Borrowed tells that the gang runs beyond its account's guarantee.
	Borrowed bool
	Reason   string
}

// Reclaim takes the accelerators of a borrowing gang back: checkpoint, then stop when Grace has passed. The
// attempt then ends as Requeued.
type Reclaim struct {
	Job     ident.Job
	Attempt ident.Attempt
	// Claimant is the job that needs the accelerators; empty for a move by compaction.
	Claimant ident.Job
	// WithinGuarantee tells that For claims its account's guarantee.
	WithinGuarantee bool
	Grace           time.Duration
	Reason          string
}

// Stop ends an attempt at once.
type Stop struct {
	Job     ident.Job
	Attempt ident.Attempt
	Reason  string
}

// Refuse fails a waiting job that can never run.
type Refuse struct {
	Job    ident.Job
	Reason string
}

// Quarantine tells that a worker gets one probing task at a time.
type Quarantine struct {
	Worker ident.Worker
	Reason string
}

// EndQuarantine tells that a quarantine has ended.
type EndQuarantine struct{ Worker ident.Worker }

// Shortage tells that a guarantee can't be met by the workers that are left; Missing 0 tells that it can again.
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

// Explanation tells why a job waits, or where and why it was placed.
type Explanation struct {
	Job ident.Job
	// State is "Waiting", "Placed", "Reclaiming" or "Unknown".
	State string
	// Last is the last decision on the job.
	Last string
	// Waits is what the job waits for.
	Waits string
	// Needs is what would let it run.
	Needs string
	Parts []Part
}

// Summary is the load of a domain.
type Summary struct {
	Accelerators ident.Accelerators
	Free         ident.Accelerators
	Borrowed     ident.Accelerators
	Waiting      int
	Placed       int
	// LargestFree is the size of the largest free cell.
	LargestFree ident.Accelerators
	// Fragmentation is 0 to 1, for the largest shape that waits or is guaranteed.
	Fragmentation float64
	// Stranded is the share of all accelerators that are free but in no free cell of that shape, 0 to 1.
	Stranded float64
	// Shortages are the guarantees that can't be met.
	Shortages []Shortage
	// Breaches counts the decisions that were refused because they would have broken a promise.
	Breaches uint64
	// LastBreach describes the last of them.
	LastBreach string
	// Quarantined are the workers in quarantine.
	Quarantined []ident.Worker
}
