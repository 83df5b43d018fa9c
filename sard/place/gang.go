package place

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

//go:generate go tool stringer -type=phase -trimprefix=phase -output=phase_string.go

// phase is where a gang stands.
type phase int

// The phases. A claiming gang waits for the accelerators of gangs that are being reclaimed for it.
const (
	phaseWaiting phase = iota
	phaseClaiming
	phasePlaced
	phaseReclaiming
	phaseStopping
)

// gang is a job in the engine.
type gang struct {
	Job
	account *account
	phase   phase
	parts   []share
	// grant is the guarantee in which the gang runs or will run; nil when borrowing.
	grant *grant
	// placed and started are the times of the decision and of the start; estimate is the expected run time.
	placed, started time.Time
	estimate        time.Duration
	// key orders the waiting gangs.
	key float64
	// aged gangs go before all that are not.
	aged bool
	// hopeless is since when the gang could not run even in a free domain; zero when it could.
	hopeless time.Time
	// blamed are the workers on which attempts failed.
	blamed []int32
	// repeats counts the attempts that failed only on such workers again.
	repeats int
	// moved is when the gang was last moved to make room, or last moved others; moves counts how often.
	moved time.Time
	moves int
	// probe is the quarantined worker that the gang probes, or none.
	probe int32

	// done is the run time of earlier attempts that was kept by checkpoints.
	done time.Duration
	// patience is how long the gang waits until it counts as aged.
	patience time.Duration
	// critical gangs would end last if they waited for their turn.
	critical bool
	// notBefore holds a gang back after a refused decision.
	notBefore time.Time
	// last is the last decision on the gang.
	last string
}

// firm tells whether no other account's claim can reclaim the gang.
func (g *gang) firm() bool {
	return g.grant != nil || !g.Checkpointable
}

// firmness is 1 for a gang that can't be checkpointed, else 0.
func (g *gang) firmness() int {
	if g.Checkpointable {
		return 0
	}
	return 1
}

// running tells whether the gang has accelerators.
func (g *gang) running() bool {
	return g.phase >= phasePlaced
}

func (g *gang) size() int {
	return int(g.Accelerators)
}

// end is when the gang is expected to end: what runs longer than estimated is expected to run as long again.
func (g *gang) end(now time.Time) time.Time {
	start := g.placed
	if !g.started.IsZero() {
		start = g.started
	}
	end := start.Add(g.estimate)
	if ran := now.Sub(start); ran >= g.estimate {
		return now.Add(ran/2 + time.Second)
	}
	return end
}

// account is a client account in the engine.
type account struct {
	name   ident.Account
	weight float64
	// grants are the cells of its guarantees, the smallest first.
	grants []*grant
	// largestWaiting is the size of its largest gang that waits.
	largestWaiting int
}

// grant is one cell of a guarantee: it is bound to a region of accelerators that holds nothing but free
// accelerators, gangs of its account within the guarantee, and gangs that can be reclaimed.
type grant struct {
	account *account
	// number counts the account's grants.
	number int
	size   int
	// home is the smallest aligned cell of workers around the region; region is empty while the grant is short.
	home   int32
	region []share
	// users are the gangs that run or claim in the region.
	users []*gang
	// kept is the waiting gang for which the grant takes no others in; nil for none.
	kept *gang
}

func (r *grant) bound() bool { return len(r.region) > 0 }
func (r *grant) inUse() bool { return len(r.users) > 0 }
