package pool

import (
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// Worker is a machine that runs parts, as it is known at a moment.
type Worker struct {
	work.WorkerProcess
	Service  work.Service
	Rack     ident.Rack
	Labels   []string
	Capacity work.Resources
	// Accepting tells that new parts may be started there.
	Accepting bool
	// AvailableUntil is when the worker may be gone, with all that runs there; zero when it stays.
	AvailableUntil time.Time
}

// node is the engine's record of a worker.
type node struct {
	Worker
	// index is the node's place in Engine.nodes.
	index int
	// used is what the parts that may run there need, also those that are being stopped.
	used work.Resources
	// leaving is the share of used that is being stopped.
	leaving work.Resources
	parts   map[*part]struct{}
	health  health
	pace    pace
	// speed is the logarithm of how fast the worker is when nothing disturbs it, against the others.
	speed average
}

func (n *node) free() work.Resources {
	return n.Capacity.Minus(n.used)
}

func (n *node) attach(p *part) {
	p.node = n
	n.parts[p] = struct{}{}
	n.used = n.used.Plus(p.group.demand())
}

func (n *node) detach(p *part) {
	if p.halting {
		n.leaving = n.leaving.Minus(p.group.demand())
	}
	n.used = n.used.Minus(p.group.demand())
	delete(n.parts, p)
	p.node = nil
	p.halting = false
}

// halt notes that a part is being stopped.
func (n *node) halt(p *part) {
	p.halting = true
	n.leaving = n.leaving.Plus(p.group.demand())
}

// suits tells whether the node may run parts of a group at all, whatever runs there now.
func (n *node) suits(g *group) bool {
	step := g.spec()
	if n.Service != g.job.terms.Service || !g.demand().Fits(n.Capacity) {
		return false
	}
	return step.Label == "" || slices.Contains(n.Labels, step.Label)
}

// clashes tells whether a part would be disturbed by, or disturb, what runs on the node: parts that fill and parts
// with a bound on latency are kept apart.
func (n *node) clashes(step *work.Step) bool {
	if !step.Fills && step.Latency == 0 {
		return false
	}
	for p := range n.parts {
		other := p.group.spec()
		if step.Fills && other.Latency > 0 || step.Latency > 0 && other.Fills {
			return true
		}
	}
	return false
}

// count returns how many parts of the group's step and occurrence are on the node.
func (n *node) count(g *group) int {
	count := 0
	for p := range n.parts {
		if o := p.group; o.job == g.job && o.step == g.step && o.occurrence == g.occurrence {
			count++
		}
	}
	return count
}
