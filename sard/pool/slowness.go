package pool

import "time"

const (
	// minSlowGroups is the number of groups that must be slower than others of their steps on a worker at once, since a
	// single one may be long work.
	minSlowGroups = 2
	// siblingRatePeriod is the time for which the usual rate of a step's groups is kept.
	siblingRatePeriod = 500 * time.Millisecond
	// minSiblingNodes is the number of workers that a step's groups must run on for their rates to be compared.
	minSiblingNodes = 3
)

// slowReason returns the evidence by which a group would end much sooner on other workers, or an empty reason. That it runs
// longer than its estimate is none.
func (e *Engine) slowReason(g *group, now time.Time) StopReason {
	steady := &g.progress.steady
	if g.moves >= maxMoves || !steady.known() {
		return ""
	}
	if steady.slowedDown() && g.endsSoonerRestarted(slowdown{normalRate: steady.best, since: steady.slowSince}, now) {
		return ReasonSlowedDown
	}
	for _, n := range g.currentNodes() {
		s, slow := n.slowness.judge(now)
		if slow && g.endsSoonerRestarted(slowdown{normalRate: steady.current() / s.ratio, since: s.since}, now) {
			return ReasonSlowWorker
		}
	}
	return ""
}

// stallBasis returns the run time of a group by which a stall is judged: by the group's own rate if that is known, since a
// percent of work that is much longer than estimated takes long too.
func (e *Engine) stallBasis(g *group) time.Duration {
	estimate := g.spec().Estimate
	if !e.config.RunTimes {
		return estimate
	}
	if rate := g.progress.steady.current(); rate > 0 {
		return time.Duration(100 / rate * float64(time.Second))
	}
	return max(estimate, e.forecast(g).High)
}

// recordRate records the progress rate of a group on a node as a sign of whether the node is slow.
func (e *Engine) recordRate(n *node, g *group, now time.Time) {
	if !e.config.RunTimes {
		n.recentRates.record(g, now)
		return
	}
	if g.progress.steady.known() {
		n.slowness.record(g, g.relativeRate(now), now)
	}
}

// slowNow reports whether a temporary problem slows a node down.
func (e *Engine) slowNow(n *node, now time.Time) bool {
	if !e.config.RunTimes {
		return n.recentRates.isSlow(now)
	}
	return n.slowness.suspected(now)
}

// relativeRate is how fast a group runs, compared to its own best rate or to the other groups of its step.
type relativeRate struct {
	// ratio is the group's rate divided by the one that it is compared to.
	ratio float64
	// since is when the rate became as it is.
	since time.Time
	// compared is set if the ratio shows by itself whether the group runs slowly. A steady rate alone does not, as the
	// group may have been slow from its start.
	compared bool
	// slowedDown is set if the group ran much faster before.
	slowedDown bool
	// shared is set if the group runs on several nodes, each of which may slow it down.
	shared bool
}

// slow reports whether the group runs slowly.
func (r *relativeRate) slow() bool {
	return r.compared && r.ratio < slowRateRatio
}

// relativeRate returns how fast the group runs.
func (g *group) relativeRate(now time.Time) relativeRate {
	steady := &g.progress.steady
	shared := len(g.currentNodes()) > 1
	if steady.slowedDown() {
		return relativeRate{
			ratio: steady.current() / steady.best, since: steady.slowSince, compared: true, slowedDown: true, shared: shared,
		}
	}
	found := relativeRate{ratio: 1, since: steady.knownSince, shared: shared}
	if usual := g.stepState().usualRate(now); usual > 0 {
		found.ratio, found.compared, found.since = steady.current()/usual, true, g.progress.firstReport
	}
	return found
}

// siblingRate is the median rate of the groups of a step as of a time.
type siblingRate struct {
	median     float64
	computedAt time.Time
}

// usualRate returns the median rate of the step's groups in percent per second, or 0 if too few run on too few workers.
func (s *stepState) usualRate(now time.Time) float64 {
	if len(s.groups) < minComparedParts {
		return 0
	}
	if s.siblings.computedAt.IsZero() || now.Sub(s.siblings.computedAt) >= siblingRatePeriod {
		s.siblings = siblingRate{median: s.medianRate(), computedAt: now}
	}
	return s.siblings.median
}

// medianRate returns the median rate of the step's groups that run or have ended, or 0 if there are too few.
func (s *stepState) medianRate() float64 {
	var rates []float64
	nodes := map[*node]bool{}
	for _, g := range s.groups {
		switch {
		case g.phase == done && g.runTime > 0:
			rates = append(rates, 100/g.runTime.Seconds())
			nodes[g.ranOn[0]] = true
		case g.phase == placed && g.progress.steady.known() && g.parts[0].node != nil:
			rates = append(rates, g.progress.steady.current())
			nodes[g.parts[0].node] = true
		}
	}
	if len(rates) < minComparedParts || len(nodes) < minSiblingNodes {
		return 0
	}
	return medianOf(rates)
}

// nodeSlowness holds the recent relative rates of the groups on a node.
type nodeSlowness struct {
	byGroup map[*group]observedRate
}

// observedRate is the latest relative rate of a group on a node.
type observedRate struct {
	relativeRate
	observedAt time.Time
}

// record stores the relative rate of a group on the node.
func (s *nodeSlowness) record(g *group, r relativeRate, now time.Time) {
	if s.byGroup == nil {
		s.byGroup = map[*group]observedRate{}
	}
	s.byGroup[g] = observedRate{relativeRate: r, observedAt: now}
}

// expire forgets the rates that were not observed lately.
func (s *nodeSlowness) expire(now time.Time) {
	for g, observed := range s.byGroup {
		if now.Sub(observed.observedAt) > observationLifetime {
			delete(s.byGroup, g)
		}
	}
}

// nodePeriod is a period in which a node runs all of its work at a ratio of the usual rate.
type nodePeriod struct {
	ratio float64
	since time.Time
}

// judge returns the period for which the node has been slow, or false if it is not known to be. It takes a group that slowed
// down and runs on no other node, or minSlowGroups that are slower than the rest of their steps, and none that runs
// normally.
func (s *nodeSlowness) judge(now time.Time) (nodePeriod, bool) {
	s.expire(now)
	var found nodePeriod
	slow, certain := 0, false
	for _, observed := range s.byGroup {
		if !observed.slow() || observed.shared {
			continue
		}
		slow++
		certain = certain || observed.slowedDown
		found.ratio = max(found.ratio, observed.ratio)
		if found.since.IsZero() || observed.since.Before(found.since) {
			found.since = observed.since
		}
	}
	if !certain && slow < minSlowGroups || s.anyNormalSince(found.since) {
		return nodePeriod{}, false
	}
	return found, true
}

// suspected reports whether the node is slow, or may be the one that slows a gang down.
func (s *nodeSlowness) suspected(now time.Time) bool {
	if _, slow := s.judge(now); slow {
		return true
	}
	for _, observed := range s.byGroup {
		if observed.slowedDown && !s.anyNormalSince(observed.since) {
			return true
		}
	}
	return false
}

// anyNormalSince reports whether any group runs normally, or as fast as it did before the given time.
func (s *nodeSlowness) anyNormalSince(since time.Time) bool {
	for _, observed := range s.byGroup {
		if !observed.slow() && (observed.compared || observed.since.Before(since)) {
			return true
		}
	}
	return false
}
