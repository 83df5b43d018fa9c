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
	// waiting is the state of a group that can be placed once the steps that it depends on are done.
	waiting phase = iota
	// placed is the state of a group with a worker assigned to every part.
	placed
	// ending is the state of a group that is placed again once none of its parts may run any more.
	ending
	// done is the state of a group that is never placed again.
	done
)

// End is the way in which an attempt, a single run of a part, has ended.
type End int

// Ways in which an attempt can end.
const (
	// Done means that the attempt ended with success.
	Done End = iota
	// Failed means that the attempt ended because the part or its worker failed.
	Failed
	// Stopped means that the worker stopped the attempt because it was ordered to.
	Stopped
	// Lapsed means that the worker stopped the attempt because its lease, without which it runs no parts, expired.
	Lapsed
	// Broken means that the attempt of a gang's part ended because another part of the gang ended.
	Broken
	// Alone means that the attempt of a gang's part ended because the other parts of the gang were not all running in
	// time.
	Alone
	// Lost means that the attempt is known not to run any more, without a report from its worker.
	Lost
	// Refused means that the worker did not accept the order to start the attempt.
	Refused
)

// part is the engine's state of one part of a step.
type part struct {
	group *group
	index int
	// node is the node on which the current attempt may run, or nil.
	node *node
	// stopping is set while the current attempt is being stopped.
	stopping bool
	// percent is the progress of the current attempt of the part; valid if reported is set.
	percent  int
	reported bool
	// survived is set when the current attempt is known to have run for Probation.
	survived bool
	// crashes holds the crashes of workers after the start of an attempt, since one has survived its probation.
	crashes crashTally
	// recordedProcess is the worker process for which an earlier holder of the scheduler lease recorded the current
	// attempt; zero if this one placed it.
	recordedProcess work.WorkerProcess
}

// group is a set of parts that are started and retried together: a gang, or a single part.
type group struct {
	job *job
	// occurrence and step, an index, are those that the parts belong to; first is the index of the first part in the step.
	occurrence *occurrence
	step       int
	first      int
	parts      []part
	phase      phase
	// wait is what is known of the group's wait since its turn came; nil if it has not come since the group last ran.
	wait *waitState
	// attempt is the number of the latest attempt, or 0 before the first; failures is the number of failed attempts.
	attempt    ident.Attempt
	failures   int
	checkpoint work.Checkpoint
	// attemptFailed is set when a part of the current attempt has failed.
	attemptFailed bool
	// retryAt is the earliest time at which the group may be placed again.
	retryAt time.Time
	// strays is the number of strays of the group's parts.
	strays int
	// gaveWay is set once a report of the current attempt has come from a worker where the group gives way to others.
	gaveWay bool
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
	// paceSample is what the group's current attempt has shown of its workers' speed.
	paceSample paceSample
	// length is how long the successful attempt would have taken on workers of normal speed; 0 if that is unknown.
	length time.Duration
	// reserved holds the nodes whose capacity is reserved for the group while it waits for stops to complete, or for the
	// probation of the attempts that were started there.
	reserved []*node
	// latestDemand is what was known of groups with the same demand when the group was last scheduled.
	latestDemand *demand
	// avoided holds the workers on which the group failed, stalled or ran slowly, and avoidedHosts the hosts whose workers
	// crashed under it.
	avoided      map[ident.Worker]bool
	avoidedHosts map[ident.Host]bool
	// moves counts how often the group was stopped for stalling or running slowly.
	moves int
}

// attemptsExhausted reports whether as many attempts of the group have failed as its queue's settings allow. The groups
// of a lasting step, which runs until its job is cancelled, have no limit.
func (g *group) attemptsExhausted() bool {
	return g.failures >= g.job.settings.Failures && !g.spec().Lasting
}

// markDone records that the group is done, if that is not known.
func (g *group) markDone() {
	if g.phase != done {
		g.phase = done
		g.stepState().unfinished--
	}
}

// avoidWorker makes the scheduler place the group on the given worker only if no others suffice.
func (g *group) avoidWorker(id ident.Worker) {
	if g.avoided == nil {
		g.avoided = map[ident.Worker]bool{}
	}
	g.avoided[id] = true
}

// avoidHost is avoidWorker for all workers of a host.
func (g *group) avoidHost(host ident.Host) {
	if g.avoidedHosts == nil {
		g.avoidedHosts = map[ident.Host]bool{}
	}
	g.avoidedHosts[host] = true
}

// avoids reports whether the group is placed on a node only if no others suffice.
func (g *group) avoids(n *node) bool {
	return g.avoided[n.WorkerProcess.Worker] || len(g.avoidedHosts) > 0 && g.avoidedHosts[n.host()]
}

// spec returns the step that the group's parts belong to, as the submitter of the job defined it.
func (g *group) spec() *work.Step {
	return &g.job.Steps[g.step]
}

// stepState returns the scheduling state of the step that the group's parts belong to, within their occurrence of the
// job.
func (g *group) stepState() *stepState {
	return &g.occurrence.steps[g.step]
}

// demand returns the resources that each part reserves on its worker.
func (g *group) demand() work.Resources {
	return g.spec().Demand()
}

// attachedParts returns the number of the group's parts that may be running on a worker.
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
		Part:   work.Part{Job: g.job.ID, Occurrence: g.occurrence.number, Step: g.step, Index: p.index},
		Number: g.attempt,
	}
}

// lostWork returns the work that would be lost if the group were stopped now: the run time since the start of the
// attempt or its last checkpoint, multiplied by the number of parts and the coreEquivalents of each.
func (g *group) lostWork(now time.Time) time.Duration {
	since := g.startedAt
	if g.spec().Checkpoints {
		since = g.savedAt
	}
	return now.Sub(since) * time.Duration(coreEquivalents(g.demand())) * time.Duration(len(g.parts))
}

// stopCost returns the cost of stopping the group now, in the unit of lostWork. Guaranteed jobs have little time to
// spare, so a penalty makes them the last choice.
func (g *group) stopCost(now time.Time) time.Duration {
	cost := g.lostWork(now) + restartCost*time.Duration(coreEquivalents(g.demand()))*time.Duration(len(g.parts))
	if g.job.settings.Priority == work.Guaranteed {
		return cost + guaranteedStopPenalty
	}
	return cost
}

const (
	// restartCost is the run time that a restart is taken to cost, in addition to the lost work.
	restartCost = 500 * time.Millisecond
	// guaranteedStopPenalty exceeds the value of any work that could be lost.
	guaranteedStopPenalty = 1000 * time.Hour
	// coresPerAccelerator is the weight of an accelerator relative to a processor core.
	coresPerAccelerator = 8
	milliCoresPerCore   = 1000
)

// coreEquivalents converts resources to a number of processor cores. An accelerator counts as coresPerAccelerator
// cores, and memory does not count.
func coreEquivalents(a work.Resources) int64 {
	return int64(a.Accelerators)*coresPerAccelerator + int64(a.CPU/milliCoresPerCore)
}
