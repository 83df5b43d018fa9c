package pool

import "time"

// departureMargin is how far past its worker's departure an attempt may be expected to end without being moved.
const departureMargin = 500 * time.Millisecond

// moveOffLeavingWorkers stops attempts that are not expected to end before their worker leaves. Attempts with
// checkpoints resume elsewhere from the checkpoint taken at the stop. Others have to start over and lose less work the
// earlier they do.
func (e *Engine) moveOffLeavingWorkers() {
	for _, n := range e.nodes {
		if n.AvailableUntil.IsZero() {
			continue
		}
		for _, p := range n.sortedParts() {
			g := p.group
			if g.phase != placed || g.spec().Lasting && g.spec().MayMiss > 0 {
				continue
			}
			if e.expectedEnd(g).After(n.AvailableUntil.Add(departureMargin)) {
				g.phase = ending
				e.stopGroup(g, ReasonWorkerLeaving)
			}
		}
	}
}

// expectedEnd returns when the group's current attempt is expected to end, based on its progress if known and otherwise
// on its forecast run time.
func (e *Engine) expectedEnd(g *group) time.Time {
	if remaining, known := g.progress.remaining(); known {
		return g.progress.lastReport.Add(remaining)
	}
	return g.startedAt.Add(e.forecast(g).Typical)
}
