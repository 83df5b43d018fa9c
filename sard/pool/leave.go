package pool

import "time"

// leaveMargin is how much later than the worker may leave an attempt may be expected to end before it is moved.
const leaveMargin = 500 * time.Millisecond

// moveLeaving stops attempts that would not end before their worker leaves. With checkpoints they go on elsewhere
// from the one that the stop makes; others lose less the sooner they start anew.
func (e *Engine) moveLeaving() {
	for _, n := range e.nodes {
		if n.AvailableUntil.IsZero() {
			continue
		}
		for _, p := range n.sorted() {
			g := p.group
			if g.phase != placed || g.spec().Lasting && g.spec().MayMiss > 0 {
				continue
			}
			if g.expectedEnd().After(n.AvailableUntil.Add(leaveMargin)) {
				g.phase = ending
				e.haltGroup(g, ReasonWorkerLeaving)
			}
		}
	}
}

// expectedEnd returns when the current attempt is expected to end, by its progress or else by its estimate.
func (g *group) expectedEnd() time.Time {
	if left, known := g.watch.remaining(); known {
		return g.watch.checked.Add(left)
	}
	return g.startedAt.Add(g.spec().Estimate)
}
