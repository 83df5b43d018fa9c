package place

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxLoadAge is how old the sums of the remaining work may become before they are recomputed.
	maxLoadAge = time.Second
	// firstLargeClass is the first size class whose gangs can become critical because of the load of the class: 17
	// to 32 accelerators.
	firstLargeClass = 5
	// maxScarceCells is the number of cells up to which a size class is scarce. Gangs of a scarce class go first
	// until they run on their share of the domain, so that the class isn't left to the end.
	maxScarceCells = 4
	// agingFactor sets the wait after which a job is aged, as a multiple of the time that all remaining work takes
	// if no accelerator is idle.
	agingFactor = 4
	// criticalClassWeight sets how far gangs of larger size classes move forward among critical gangs, per class.
	criticalClassWeight = 0
	// minScarceShare is the share of the domain on which a scarce class must run in order not to be underserved, as
	// a multiple of the share that the class and all larger ones have in the remaining work.
	minScarceShare = 1.5
)

// load holds sums of the remaining work of all waiting and placed gangs, from which priorities are derived.
type load struct {
	updatedAt time.Time
	// horizon is how long all work takes if no accelerator is idle.
	horizon time.Duration
	// work is the remaining work in accelerator-seconds; workFromClass is that of a size class and all larger ones.
	work          float64
	workFromClass [classCount]float64
	// runningFromClass is the number of accelerators of placed gangs of a size class and all larger ones.
	runningFromClass [classCount]int
	// chainTime is how long the remaining work of the gangs of a size class and all larger ones takes on the cells
	// of that class.
	chainTime [classCount]time.Duration
	// dirty requests that the queue is sorted again.
	dirty bool
}

// normalized returns the weights scaled to a sum of 1.
func (o Objective) normalized() (completion, fragmentation float64) {
	sum := o.CompletionTime + o.Fragmentation
	if sum <= 0 {
		return 0.5, 0.5
	}
	return o.CompletionTime / sum, o.Fragmentation / sum
}

// sortQueue sorts the waiting gangs if their order may have changed: urgent, aged, critical, then normal ones. Normal
// gangs with the least work go first.
func (e *Engine) sortQueue() {
	expired := e.load.updatedAt.IsZero() || e.now.Sub(e.load.updatedAt) >= maxLoadAge
	if !expired && !e.load.dirty {
		return
	}
	if expired {
		e.updateLoad()
	}
	for _, a := range e.accounts {
		a.largestWaiting = 0
	}
	for _, g := range e.waiting {
		e.updatePriority(g)
		g.account.largestWaiting = max(g.account.largestWaiting, g.size())
	}
	slices.SortFunc(e.waiting, compareQueued)
	e.load.dirty = false
}

// compareQueued orders gangs in the queue: by tier, then by submission time for urgent and aged gangs, by sortKey
// for others.
func compareQueued(a, b *gang) int {
	if c := cmp.Compare(b.tier(), a.tier()); c != 0 {
		return c
	}
	if a.tier() == tierAged || a.tier() == tierUrgent {
		return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
	}
	return cmp.Or(cmp.Compare(a.sortKey, b.sortKey), cmp.Compare(a.ID, b.ID))
}

// The tiers of the queue. Gangs in higher tiers go first.
const (
	tierNormal = iota
	tierCritical
	tierAged
	tierUrgent
)

// tier returns the gang's tier in the queue.
func (g *gang) tier() int {
	switch {
	case g.Urgent:
		return tierUrgent
	case g.aged:
		return tierAged
	case g.critical:
		return tierCritical
	default:
		return tierNormal
	}
}

// updatePriority recomputes what determines a gang's position in the queue: estimate, tier and sort key.
func (e *Engine) updatePriority(g *gang) {
	g.estimate = e.runTimes.estimate(g)
	waited := e.now.Sub(g.Submitted)
	if g.agingDelay == 0 {
		g.agingDelay = min(max(e.config.ReserveAfter, agingFactor*e.load.horizon), e.config.MaxAgingDelay)
	}
	g.aged = waited > g.agingDelay
	g.critical = e.isCritical(g)
	area := g.estimate.Seconds() * math.Pow(float64(g.size()), e.sizeExponent())
	if g.critical {
		g.sortKey = -area - float64(sizeClass(g.size()))*criticalClassWeight
		return
	}
	g.sortKey = area / g.account.weight / (1 + waited.Seconds()/e.config.ReserveAfter.Seconds())
}

// sizeExponent returns the exponent from 0 to 1 of a gang's size in its sort key. The more fragmentation weighs in the
// objective, the less large gangs are put behind small ones.
func (e *Engine) sizeExponent() float64 {
	completion, _ := e.objective.normalized()
	return completion
}

// isCritical reports whether a gang would finish last if it kept its normal turn: its run time is close to the time
// that all remaining work takes, or the gangs of its size class occupy their cells for nearly as long, or its class is
// underserved.
func (e *Engine) isCritical(g *gang) bool {
	threshold := e.criticalThreshold()
	if float64(g.estimate) >= threshold*float64(e.load.horizon) {
		return true
	}
	k := sizeClass(g.size())
	return k >= firstLargeClass && (float64(e.load.chainTime[k]) >= threshold*float64(e.load.horizon) || e.isUnderserved(k))
}

// isUnderserved reports whether size class k is scarce and its gangs run on less than their share of the domain. Left
// to the end, such gangs would run alone, with nothing left to run beside them.
func (e *Engine) isUnderserved(k int) bool {
	if e.ledger.cellsOfClass(k) > maxScarceCells {
		return false
	}
	minimum := minScarceShare * e.load.workFromClass[k] / max(1, e.load.work) * float64(e.ledger.capacity)
	return float64(e.load.runningFromClass[k]) < minimum
}

// criticalThreshold returns the fraction of the time that all remaining work takes from which on the run time of a
// gang, or of its size class, makes the gang critical.
func (e *Engine) criticalThreshold() float64 {
	completion, _ := e.objective.normalized()
	return 0.6 + 0.25*completion
}

// updateLoad recomputes the load from the waiting and placed gangs.
func (e *Engine) updateLoad() {
	e.load.updatedAt = e.now
	var work float64
	var byClass [classCount]float64
	add := func(g *gang, left time.Duration) {
		seconds := left.Seconds()
		work += seconds * float64(g.size())
		byClass[sizeClass(g.size())] += seconds * float64(int(1)<<sizeClass(g.size()))
	}
	for _, g := range e.waiting {
		add(g, g.estimate)
	}
	e.load.runningFromClass = [classCount]int{}
	for _, g := range e.placed {
		add(g, g.expectedEnd(e.now).Sub(e.now))
		e.load.runningFromClass[sizeClass(g.size())] += g.size()
	}
	e.load.horizon = secondsToDuration(work / max(1, float64(e.ledger.capacity)))
	e.load.work = work
	cumulative := 0.0
	for k := classCount - 1; k >= 0; k-- {
		cumulative += byClass[k]
		e.load.workFromClass[k] = cumulative
		if k < classCount-1 {
			e.load.runningFromClass[k] += e.load.runningFromClass[k+1]
		}
		e.load.chainTime[k] = secondsToDuration(cumulative / max(1, float64(e.ledger.cellsOfClass(k)<<k)))
	}
}
