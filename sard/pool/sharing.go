package pool

import (
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// Parts that fill unused processor time disturb parts with a latency target on the same worker. They are placed on different workers
// as long as there are any, and otherwise share one: the caller of the engine throttles what fills there (see package share). Only a
// worker that does not obey throttle requests is not shared for a while.

// unsharedTime is for how long nothing new is placed on a worker that would be shared, after it did not obey throttle requests. A part
// that lasts must run again within 9 s of its last run.
const unsharedTime = 5 * time.Second

// Sharing holds the attempts on a worker that disturb each other and are not being stopped.
type Sharing struct {
	// Filling holds the attempts that fill unused processor time.
	Filling []work.Attempt
	// Targets holds the latency targets of the attempts that have one and beside which others fill.
	Targets map[work.Attempt]time.Duration
}

// Sharing returns the attempts on a worker that disturb each other. It is empty if nothing fills there.
func (e *Engine) Sharing(worker ident.Worker) Sharing {
	n := e.nodesByID[worker]
	if n == nil || n.filling == 0 {
		return Sharing{}
	}
	found := Sharing{Targets: map[work.Attempt]time.Duration{}}
	for _, p := range n.sortedParts() {
		if p.stopping {
			continue
		}
		step := p.group.spec()
		if step.Fills {
			found.Filling = append(found.Filling, p.attemptID())
		}
		if step.Latency > 0 && n.disturbed(step) {
			found.Targets[p.attemptID()] = step.Latency
		}
	}
	return found
}

// Fills reports whether an attempt, which may run, fills unused processor time.
func (e *Engine) Fills(a work.Attempt) bool {
	p := e.currentPart(a)
	return p != nil && p.group.spec().Fills
}

// EndSharing stops the filling parts on a worker that does not obey throttle requests, since they keep others from their targets, and
// lets the worker be shared again after unsharedTime. Steps that limit how many of their parts may be missing are left alone.
func (e *Engine) EndSharing(worker ident.Worker, now time.Time) {
	n := e.nodesByID[worker]
	if n == nil {
		return
	}
	n.unsharedUntil = now.Add(unsharedTime)
	for _, p := range n.sortedParts() {
		g := p.group
		if step := g.spec(); !step.Fills || step.MayMiss > 0 || p.stopping || g.phase != placed {
			continue
		}
		g.phase = ending
		e.stopGroup(g, ReasonDisturbs)
	}
}

// countSharing records that a group was placed.
func (r *round) countSharing(g *group) {
	if step := g.spec(); step.Fills || step.Latency > 0 {
		r.sharing++
	}
}

// countSharing adds the difference that a part makes to what fills and serves on the node.
func (n *node) countSharing(step *work.Step, difference int) {
	if step.Fills {
		n.filling += difference
	}
	if step.Latency > 0 {
		n.serving += difference
	}
}

// disturbing reports whether a step's parts and those on the node would disturb each other.
func (n *node) disturbing(step *work.Step) bool {
	return step.Fills && n.serving > 0 || step.Latency > 0 && n.filling > 0
}

// disturbed reports whether parts that fill on the node disturb a part of a step there, which does not disturb itself.
func (n *node) disturbed(step *work.Step) bool {
	return n.filling > 1 || n.filling == 1 && !step.Fills
}

// unshared reports whether a step's parts must not be placed on the node because they would disturb those there, or be disturbed, and
// the worker does not obey throttle requests.
func (r *round) unshared(step *work.Step, n *node) bool {
	return r.now.Before(n.unsharedUntil) && n.disturbing(step)
}

// givesWay reports whether the group's parts are throttled for others on their workers.
func (g *group) givesWay() bool {
	if !g.spec().Fills {
		return false
	}
	return slices.ContainsFunc(g.parts, func(p part) bool { return p.node != nil && p.node.serving > 0 })
}

// packApart places a group by pack on those of the nodes on which it disturbs nothing and is not disturbed, if that is possible, and
// otherwise on any of them.
func packApart(g *group, nodes []*node, pack func([]*node) []*node) []*node {
	step := g.spec()
	if !step.Fills && step.Latency == 0 {
		return pack(nodes)
	}
	shared := func(n *node) bool { return n.disturbing(step) }
	if slices.ContainsFunc(nodes, shared) {
		if found := pack(slices.DeleteFunc(slices.Clone(nodes), shared)); found != nil {
			return found
		}
	}
	return pack(nodes)
}
