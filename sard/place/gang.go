package place

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

//go:generate go tool stringer -type=phase -trimprefix=phase -output=phase_string.go

// phase is the state of a gang: where it is between its submission and its end.
type phase int

// The phases. A waiting gang is in the queue. A claiming gang waits until the gangs on its claimed accelerators have
// ended. A placed gang has accelerators; a reclaiming gang is writing its checkpoint to make room; a stopping gang was
// cancelled.
const (
	phaseWaiting phase = iota
	phaseClaiming
	phasePlaced
	phaseReclaiming
	phaseStopping
)

// gang is the engine's state of a job: its phase, its accelerators and what determines its turn in the queue.
type gang struct {
	Job
	account *account
	phase   phase
	parts   []workerPart
	// grant is the guarantee within which the gang runs or will run; nil when it borrows.
	grant *grant
	// placed is the time of the placement, started that of the start; estimate is the expected run time.
	placed, started time.Time
	estimate        time.Duration
	// sortKey orders waiting gangs within the normal and the critical tier of the queue, the lowest first.
	sortKey float64
	// aged gangs have waited longer than agingDelay and go first.
	aged bool
	// unschedulableSince is when the gang stopped fitting even an empty domain; zero when it fits.
	unschedulableSince time.Time
	// failedWorkers are the workers on which attempts failed.
	failedWorkers []int32
	// repeatedFailures counts the attempts that failed only on workers already in failedWorkers.
	repeatedFailures int
	// isolatedFailures counts how often workers were quarantined because the gang alone kept failing on them.
	isolatedFailures int
	// lastMoved is when the gang was last moved or displaced others; moveCount counts how often.
	lastMoved time.Time
	moveCount int
	// probedWorker is the quarantined worker that the gang probes, or none.
	probedWorker int32

	// savedRunTime is the run time of earlier attempts that checkpoints preserved.
	savedRunTime time.Duration
	// agingDelay is how long the gang waits until it is aged; 0 until it is ranked for the first time.
	agingDelay time.Duration
	// critical gangs would finish last if they kept their normal turn.
	critical bool
	// notBefore is until when the gang isn't placed after a decision on it that would have violated an invariant.
	notBefore time.Time
	// lastDecision describes the last decision on the gang.
	lastDecision string
}

// protected reports whether the gang can't be reclaimed for gangs of other accounts: it runs within a guarantee or
// can't be checkpointed.
func (g *gang) protected() bool {
	return g.grant != nil || !g.Checkpointable
}

// adoptionPriority is 1 for a gang that can't be checkpointed, else 0. Gangs with higher priority are assigned to
// guarantees first when the ledger is rebuilt.
func (g *gang) adoptionPriority() int {
	if g.Checkpointable {
		return 0
	}
	return 1
}

// hasAccelerators reports whether the gang holds accelerators: it is placed, being reclaimed or being stopped.
func (g *gang) hasAccelerators() bool {
	return g.phase >= phasePlaced
}

// size returns the number of accelerators of the gang.
func (g *gang) size() int {
	return int(g.Accelerators)
}

// expectedEnd estimates when the gang ends. A gang that outran its estimate is expected to run for half its elapsed
// time more.
func (g *gang) expectedEnd(now time.Time) time.Time {
	start := g.placed
	if !g.started.IsZero() {
		start = g.started
	}
	end := start.Add(g.estimate)
	if elapsed := now.Sub(start); elapsed >= g.estimate {
		return now.Add(elapsed/2 + time.Second)
	}
	return end
}

// account is the engine's state of a client account.
type account struct {
	name   ident.Account
	weight float64
	// grants are the cells of the account's guarantees, the smallest first.
	grants []*grant
	// largestWaiting is the size of the account's largest waiting gang.
	largestWaiting int
}

// grant is one cell of a guarantee. It is bound to a region of accelerators that holds only free accelerators,
// gangs of its account within the guarantee, and gangs that can be reclaimed.
type grant struct {
	account *account
	// number is the index of the grant in its account.
	number int
	size   int
	// region are the accelerators to which the grant is bound, node is the smallest aligned cell of workers around
	// them. The region is empty while the grant is unbound.
	node   int32
	region []workerPart
	// users are the gangs that run or claim accelerators in the region.
	users []*gang
	// reservedFor is the waiting gang that gets the grant next, ahead of all but urgent gangs; nil for none.
	reservedFor *gang
}

// bound reports whether the grant has a region.
func (r *grant) bound() bool { return len(r.region) > 0 }

// inUse reports whether gangs run or claim accelerators in the region.
func (r *grant) inUse() bool { return len(r.users) > 0 }
