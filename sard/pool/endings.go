package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/work"
)

const (
	// endWaitPercent is the share of the time limit on the start of a guaranteed job for which it may wait for running
	// groups to end. The rest is left for stops.
	endWaitPercent = 40
	// endMargin is added to the expected end of an attempt, since its worker reports it later.
	endMargin = 100 * time.Millisecond
	// maxReportAge is the age of a progress report from which on nothing is expected of it.
	maxReportAge = 2 * time.Second
)

// expectedEnding is a part that is expected to end soon.
type expectedEnding struct {
	part *part
	// within is the time until its end.
	within time.Duration
}

// waitForEnds makes a group that needs the capacity of others wait for the ends of running groups if that costs callers
// less than stopping others would. It reserves the nodes on which they end. A group never waits so long that stops could
// not make room within the time limit on its start.
func (r *round) waitForEnds(g *group, stopCost time.Duration) bool {
	limit := r.maxEndWait(g)
	for _, wait := range []time.Duration{limit / 4, limit / 2, limit} {
		if wait < endMargin {
			continue
		}
		if r.waitCost(g, wait) >= stopCost {
			return false
		}
		available := r.freeWithin(wait)
		nodes := g.reserved
		if !r.mayKeep(g, nodes, available) {
			nodes = r.pack(g, available)
		}
		if nodes != nil {
			r.reserveFor(g, nodes)
			return true
		}
	}
	return false
}

// maxEndWait returns for how much longer a group may wait for running groups to end.
func (r *round) maxEndWait(g *group) time.Duration {
	limit := r.engine.config.StartLimit * endWaitPercent / 100
	return limit - r.now.Sub(g.job.acceptedAt)
}

// waitCost returns what callers lose if a group starts later by the given time.
func (r *round) waitCost(g *group, wait time.Duration) time.Duration {
	e, o := r.engine, g.occurrence
	expected := e.outlook(o, r.now)
	return limitLoss(e.standing(g, expected.rest, expected.work, r.now).DelayCost(wait))
}

// freeWithin returns the capacity of nodes once all pending stops have completed and the groups have ended that are
// expected to end within the given time.
func (r *round) freeWithin(wait time.Duration) capacityFunc {
	freed := map[*node]work.Resources{}
	for _, end := range r.findEndings() {
		if end.within <= wait && !end.part.stopping {
			freed[end.part.node] = freed[end.part.node].Plus(end.part.group.demand())
		}
	}
	return func(n *node) work.Resources { return r.freeSoon(n).Plus(freed[n]) }
}

// findEndings returns the parts that are expected to end while a group can wait for them, computed once per round.
func (r *round) findEndings() []expectedEnding {
	if r.endingsKnown {
		return r.endings
	}
	r.endingsKnown = true
	limit := r.engine.config.StartLimit * endWaitPercent / 100
	for _, n := range r.engine.nodes {
		for p := range n.parts {
			if p.stopping || p.group.spec().Lasting {
				continue
			}
			if within, known := p.group.endsWithin(r.now); known && within <= limit {
				r.endings = append(r.endings, expectedEnding{part: p, within: within})
			}
		}
	}
	return r.endings
}

// endsWithin returns the time until the end of a group's current attempt. It returns false if its workers have not
// reported lately how fast it runs.
func (g *group) endsWithin(now time.Time) (time.Duration, bool) {
	remaining, known := g.progress.remaining()
	age := now.Sub(g.progress.lastReport)
	if !known || g.phase != placed || age > maxReportAge {
		return 0, false
	}
	return max(0, remaining-age) + endMargin, true
}
