package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

//go:generate go tool stringer -type=phase,End -output=enums_string.go

// phase is where a group is in its life.
type phase int

// The phases of a group.
const (
	// waiting groups are to be placed once their step's turn has come.
	waiting phase = iota
	// placed groups have a worker for each part.
	placed
	// ending groups wait for all of their parts to be gone before they are placed again.
	ending
	// done groups never run again.
	done
)

// End is how an attempt of a part ended.
type End int

// The ends of attempts.
const (
	// Done is success.
	Done End = iota
	// Failed is a fault of the part or of its worker.
	Failed
	// Stopped followed an order.
	Stopped
	// Lapsed followed the end of the worker's lease.
	Lapsed
	// Broken followed the end of another part of the gang.
	Broken
	// Alone followed the absence of the other parts of the gang.
	Alone
	// Lost is an attempt that surely does not run any more without a word of its worker.
	Lost
	// Refused is an attempt that its worker did not take.
	Refused
)

// part is one part of a group.
type part struct {
	group *group
	index int
	// node is where the current attempt may run, or nil.
	node *node
	// halting tells that the attempt is being stopped.
	halting bool
}

// group is a set of parts that share their attempts: a gang, or a single part.
type group struct {
	job        *job
	occurrence int
	step       int
	first      int
	parts      []part
	phase      phase
	attempt    ident.Attempt
	failures   int
	checkpoint work.Checkpoint
	// failed tells that the current attempt has ended by a failure of one of its parts.
	failed bool
	// retryAt is when the group may be placed again.
	retryAt time.Time
	// startedAt is when the current attempt was placed.
	startedAt time.Time
	// savedAt is when the checkpoint was last seen to change, or startedAt.
	savedAt time.Time
	// watch follows the progress of the current attempt.
	watch watch
	// took is how long the attempt took that ended well, on ranOn; 0 when it did not do all of the work.
	took  time.Duration
	ranOn []*node
	// avoided are the workers on which the group has failed, stood still or was slow.
	avoided map[ident.Worker]bool
	// moves counts the stops for standing still or being slow.
	moves int
}

// spent tells that the group has failed as often as its job allows.
func (g *group) spent() bool {
	return g.failures >= g.job.terms.Failures && !g.spec().Lasting
}

// avoid has the group placed elsewhere where that is possible.
func (g *group) avoid(id ident.Worker) {
	if g.avoided == nil {
		g.avoided = map[ident.Worker]bool{}
	}
	g.avoided[id] = true
}

func (g *group) spec() *work.Step {
	return &g.job.Steps[g.step]
}

// stage is the step of the group's occurrence.
func (g *group) stage() *stage {
	return &g.job.occurrences[g.occurrence].steps[g.step]
}

// demand is what each part counts against its worker's capacity.
func (g *group) demand() work.Resources {
	return g.spec().Demand()
}

// attached counts the parts that may run somewhere.
func (g *group) attached() int {
	count := 0
	for i := range g.parts {
		if g.parts[i].node != nil {
			count++
		}
	}
	return count
}

// attemptOf names the current attempt of a part.
func (p *part) attemptOf() work.Attempt {
	g := p.group
	return work.Attempt{
		Part:   work.Part{Job: g.job.ID, Occurrence: g.occurrence, Step: g.step, Index: p.index},
		Number: g.attempt,
	}
}

// lost returns the accelerator time that would be lost if the group were stopped now.
func (g *group) lost(now time.Time) time.Duration {
	since := g.startedAt
	if g.spec().Checkpoints {
		since = g.savedAt
	}
	return now.Sub(since) * time.Duration(demandWeight(g.demand())) * time.Duration(len(g.parts))
}

// stopCost weighs what is lost when the group is stopped now. Guaranteed jobs have little time, so they are stopped
// only when nothing else helps.
func (g *group) stopCost(now time.Time) time.Duration {
	cost := g.lost(now) + restartTime*time.Duration(demandWeight(g.demand()))*time.Duration(len(g.parts))
	if g.job.terms.Priority == work.Guaranteed {
		return cost + guaranteedCost
	}
	return cost
}

const (
	// restartTime is what a stop costs even when no work is lost.
	restartTime = 500 * time.Millisecond
	// guaranteedCost is far more than any work can be worth.
	guaranteedCost = 1000 * time.Hour
	// coresPerAccelerator weighs an accelerator against processor cores.
	coresPerAccelerator = 8
	milliCoresPerCore   = 1000
)
