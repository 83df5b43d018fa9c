package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// breachPause is how long a group waits after a decision about it was refused.
const breachPause = time.Second

// Violation is a decision that was refused because it would have broken a promise. It tells of a defect.
type Violation struct {
	Job       ident.Job
	Invariant string
}

// The promises that are checked on each placement, apart from the search that found it.
const (
	promiseWhole    = "a group is placed whole"
	promiseOnce     = "a group runs at most once at a time"
	promiseOrder    = "a step waits for those before it"
	promiseBudget   = "no attempt after the last failure allowed"
	promiseRoom     = "no worker is given more than it has"
	promiseStaying  = "a worker that leaves gets nothing new"
	promiseSuitable = "parts run where their job may run"
)

// audit returns the promise that a placement would break, or nothing.
func (r *round) audit(g *group, nodes []*node) string {
	switch {
	case len(nodes) != len(g.parts):
		return promiseWhole
	case g.phase != waiting || g.attached() > 0 || g.job.state.Terminal():
		return promiseOnce
	case !g.turn():
		return promiseOrder
	case g.spent():
		return promiseBudget
	}
	needs := map[*node]work.Resources{}
	for _, n := range nodes {
		needs[n] = needs[n].Plus(g.demand())
	}
	for n, need := range needs {
		switch {
		case !need.Plus(n.occupied()).Fits(n.Capacity):
			return promiseRoom
		case !n.Accepting:
			return promiseStaying
		case !n.suits(g):
			return promiseSuitable
		}
	}
	return ""
}

// occupied sums what the parts on the node need, apart from the sum that the search uses.
func (n *node) occupied() work.Resources {
	var sum work.Resources
	for p := range n.parts {
		sum = sum.Plus(p.group.demand())
	}
	return sum
}

// turn tells whether the group's step may start.
func (g *group) turn() bool {
	return g.job.occurrences[g.occurrence].ready(g.job, g.step)
}

// Violations returns the decisions that were refused since the last call.
func (e *Engine) Violations() []Violation {
	breaches := e.breaches
	e.breaches = nil
	return breaches
}
