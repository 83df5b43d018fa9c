package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

//go:generate go tool stringer -type=phase,End -output=enums_string.go

// phase is the scheduling state of a group.
type phase int

// Scheduling states of a group.
const (
	// waiting groups can be placed once the preceding steps are done.
	waiting phase = iota
	// placed groups have a worker assigned to every part.
	placed
	// ending groups wait until none of their parts may run before they are placed again.
	ending
	// done groups are never placed again.
	done
)

// End is the way in which an attempt of a part ended.
type End int

// Ways in which an attempt can end.
const (
	// Done means that the part succeeded.
	Done End = iota
	// Failed means that the part or its worker failed.
	Failed
	// Stopped means that the attempt was stopped by an order.
	Stopped
	// Lapsed means that the worker's lease expired.
	Lapsed
	// Broken means that another part of the gang ended.
	Broken
	// Alone means that the other parts of the gang were missing.
	Alone
	// Lost means that the attempt is known not to run any more, without a report from its worker.
	Lost
	// Refused means that the worker did not accept the attempt.
	Refused
)

// part is a single part of a group.
type part struct {
	group *group
	index int
	// node is the node on which the current attempt may run, or nil.
	node *node
	// stopping is set while the current attempt is being stopped.
	stopping bool
}

// group is a set of parts that are started and retried together: a gang, or a single part.
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
	// attemptFailed is set when a part of the current attempt has failed.
	attemptFailed bool
	// retryAt is the earliest time at which the group may be placed again.
	retryAt time.Time
	// startedAt is when the current attempt was placed.
	startedAt time.Time
	// savedAt is when the checkpoint last changed, or startedAt if it has not changed during this attempt.
	savedAt time.Time
	// progress tracks the progress reports of the current attempt.
	progress attemptProgress
	// runTime is how long the successful attempt took on the nodes in ranOn. It is 0 if that attempt resumed from a
	// checkpoint and so did only part of the work.
	runTime time.Duration
	ranOn   []*node
	// avoided holds the workers on which the group failed, stalled or ran slowly.
	avoided map[ident.Worker]bool
	// moves counts how often the group was stopped for stalling or running slowly.
	moves int
}

// attemptsExhausted reports whether the group has reached its job's failure limit. Lasting steps have no limit.
func (g *group) attemptsExhausted() bool {
	return g.failures >= g.job.settings.Failures && !g.spec().Lasting
}

// avoidWorker makes the scheduler prefer other workers for the group.
func (g *group) avoidWorker(id ident.Worker) {
	if g.avoided == nil {
		g.avoided = map[ident.Worker]bool{}
	}
	g.avoided[id] = true
}

// spec returns the definition of the group's step.
func (g *group) spec() *work.Step {
	return &g.job.Steps[g.step]
}

// stepState returns the state of the group's step in its occurrence.
func (g *group) stepState() *stepState {
	return &g.job.occurrences[g.occurrence].steps[g.step]
}

// demand returns the resources that each part reserves on its worker.
func (g *group) demand() work.Resources {
	return g.spec().Demand()
}

// attachedParts returns the number of parts that may be running.
func (g *group) attachedParts() int {
	count := 0
	for i := range g.parts {
		if g.parts[i].node != nil {
			count++
		}
	}
	return count
}

// attemptID returns the identifier of the part's current attempt.
func (p *part) attemptID() work.Attempt {
	g := p.group
	return work.Attempt{
		Part:   work.Part{Job: g.job.ID, Occurrence: g.occurrence, Step: g.step, Index: p.index},
		Number: g.attempt,
	}
}

// lostWork returns the work that would be lost if the group were stopped now, as run time weighted by coreEquivalents.
func (g *group) lostWork(now time.Time) time.Duration {
	since := g.startedAt
	if g.spec().Checkpoints {
		since = g.savedAt
	}
	return now.Sub(since) * time.Duration(coreEquivalents(g.demand())) * time.Duration(len(g.parts))
}

// stopCost returns the cost of stopping the group now. Guaranteed jobs have little time to spare, so a penalty makes
// them the last choice.
func (g *group) stopCost(now time.Time) time.Duration {
	cost := g.lostWork(now) + restartCost*time.Duration(coreEquivalents(g.demand()))*time.Duration(len(g.parts))
	if g.job.settings.Priority == work.Guaranteed {
		return cost + guaranteedStopPenalty
	}
	return cost
}

const (
	// restartCost is the cost of a stop in addition to the lost work.
	restartCost = 500 * time.Millisecond
	// guaranteedStopPenalty exceeds the value of any work that could be lost.
	guaranteedStopPenalty = 1000 * time.Hour
	// coresPerAccelerator is the weight of an accelerator relative to a processor core.
	coresPerAccelerator = 8
	milliCoresPerCore   = 1000
)

// coreEquivalents returns the weight of an amount of resources in processor cores.
func coreEquivalents(a work.Resources) int64 {
	return int64(a.Accelerators)*coresPerAccelerator + int64(a.CPU/milliCoresPerCore)
}
