package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// violationRetryDelay is the wait before a group is placed again after its placement was rejected.
const violationRetryDelay = time.Second

// Violation is a placement that was rejected because it would have violated an invariant. It indicates a defect in the
// scheduler.
type Violation struct {
	Job       ident.Job
	Invariant string
}

// Invariants that are checked for each placement, independently of the search that found it.
const (
	invariantWholeGroup    = "a group is placed whole"
	invariantSingleAttempt = "a group runs at most once at a time"
	invariantStepOrder     = "a step waits for those before it"
	invariantFailureLimit  = "no attempt after the last failure allowed"
	invariantCapacity      = "no worker is given more than it has"
	invariantNotLeaving    = "a worker that leaves gets nothing new"
	invariantEligible      = "parts run where their job may run"
)

// checkInvariants returns the invariant that placing the group on the given nodes would violate, or an empty string.
func (r *round) checkInvariants(g *group, nodes []*node) string {
	switch {
	case len(nodes) != len(g.parts):
		return invariantWholeGroup
	case g.phase != waiting || g.attachedParts() > 0 || g.job.state.Terminal():
		return invariantSingleAttempt
	case !g.stepReady():
		return invariantStepOrder
	case g.attemptsExhausted() || g.crashesTooOften():
		return invariantFailureLimit
	}
	needs := map[*node]work.Resources{}
	for _, n := range nodes {
		needs[n] = needs[n].Plus(g.demand())
	}
	for n, need := range needs {
		switch {
		case !need.Plus(n.recomputeAllocated()).Fits(n.Capacity):
			return invariantCapacity
		case !n.Accepting:
			return invariantNotLeaving
		case !n.eligibleFor(g):
			return invariantEligible
		}
	}
	return ""
}

// recomputeAllocated sums the resources of the parts on the node. It does not rely on node.allocated, which the
// placement search uses.
func (n *node) recomputeAllocated() work.Resources {
	var sum work.Resources
	for p := range n.parts {
		sum = sum.Plus(p.group.demand())
	}
	return sum
}

// stepReady reports whether all steps that the group's step depends on are done.
func (g *group) stepReady() bool {
	return g.occurrence.stepReady(g.job, g.step)
}

// Violations returns the placements that were rejected since the last call.
func (e *Engine) Violations() []Violation {
	violations := e.violations
	e.violations = nil
	return violations
}
