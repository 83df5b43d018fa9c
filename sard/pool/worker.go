package pool

import (
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/speed"
	"github.com/sardineline/sardineline/sard/work"
)

// Worker describes a machine that runs parts, as the caller of the engine currently knows it.
type Worker struct {
	work.WorkerProcess
	// Host is where the worker runs; empty if unknown. A host runs one worker process at a time.
	Host     ident.Host
	Service  work.Service
	Rack     ident.Rack
	Labels   []string
	Capacity work.Resources
	// Accepting is set if new parts may be started on the worker.
	Accepting bool
	// AvailableUntil is when the worker may leave, ending all parts that run on it. Zero means that it stays.
	AvailableUntil time.Time
}

// node is a worker with the engine's state of it.
type node struct {
	Worker
	// index is the position in Engine.nodes.
	index int
	// allocated is the total demand of all parts that may be running, including those that are being stopped.
	allocated work.Resources
	// stopping is the portion of allocated that belongs to parts that are being stopped.
	stopping work.Resources
	parts    map[*part]struct{}
	// filling and serving count the parts that fill unused processor time and those with a latency target. The node is not shared by
	// both until unsharedUntil.
	filling, serving int
	unsharedUntil    time.Time
	// lastStart is when a part was last placed on the node.
	lastStart   time.Time
	health      health
	recentRates rateHistory
	// slowness holds what the work on the node shows of a temporary problem; it replaces recentRates with run time
	// forecasts.
	slowness nodeSlowness
	// logSpeed is the mean logarithm of the worker's speed relative to the other workers, while no temporary problem
	// slows it down.
	logSpeed runningMean
	// known is what has been learned of the worker's speed if Config.WorkerSpeeds is set; logSpeed then has the same value.
	known speed.Estimate
}

// host returns the host of a worker, or one that is named after the worker if that is unknown.
func (w Worker) host() ident.Host {
	if w.Host != "" && len(w.Host) <= work.MaxNameBytes {
		return w.Host
	}
	return ident.Host(w.Worker)
}

// free returns the capacity that is not allocated.
func (n *node) free() work.Resources {
	return n.Capacity.Minus(n.allocated)
}

// attach assigns a part to the node and allocates its demand.
func (n *node) attach(p *part) {
	p.node = n
	n.parts[p] = struct{}{}
	n.allocated = n.allocated.Plus(p.group.demand())
	n.countSharing(p.group.spec(), 1)
}

// detach removes a part from the node and releases its demand.
func (n *node) detach(p *part) {
	if p.stopping {
		n.stopping = n.stopping.Minus(p.group.demand())
	}
	n.allocated = n.allocated.Minus(p.group.demand())
	delete(n.parts, p)
	n.countSharing(p.group.spec(), -1)
	p.node = nil
	p.recordedProcess = work.WorkerProcess{}
	p.stopping = false
}

// markStopping records that a part is being stopped.
func (n *node) markStopping(p *part) {
	p.stopping = true
	n.stopping = n.stopping.Plus(p.group.demand())
}

// eligibleFor reports whether the node could run parts of a group if it were empty.
func (n *node) eligibleFor(g *group) bool {
	step := g.spec()
	if n.Service != g.job.settings.Service || !g.demand().Fits(n.Capacity) {
		return false
	}
	return n.hasLabelFor(step)
}

// hasLabelFor reports whether the node has the label that a step requires, if it requires one.
func (n *node) hasLabelFor(step *work.Step) bool {
	return step.Label == "" || slices.Contains(n.Labels, step.Label)
}

// countParts returns how many parts of the group's step and occurrence are on the node.
func (n *node) countParts(g *group) int {
	count := 0
	for p := range n.parts {
		if o := p.group; o.job == g.job && o.step == g.step && o.occurrence == g.occurrence {
			count++
		}
	}
	return count
}
