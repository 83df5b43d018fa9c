package place

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// loadAge is how old the sums of load may become.
	loadAge = time.Second
	// largeClass is the first size class whose cells are counted apart: 17 to 32 accelerators.
	largeClass = 5
	// scarceCells is the number of cells up to which a large class gets its share of the domain from the start.
	scarceCells = 4
	// patienceFactor is how many times the work before it a job may wait until it counts as aged.
	patienceFactor = 4
	// classRank puts larger classes first among critical gangs.
	classRank = 0
	// laneShare is the part of its share of work that a scarce class runs on at least.
	laneShare = 1.5
)

// load sums the work of the domain.
type load struct {
	at time.Time
	// horizon is the time that all work needs when nothing is idle.
	horizon time.Duration
	// work is the accelerator-seconds that are left, in all and from each size class on.
	work  float64
	above [classes]float64
	// running is the number of accelerators of running gangs from each size class on.
	running [classes]int
	// chains is, for each large class, the time that its gangs and larger ones need on the cells that hold them.
	chains [classes]time.Duration
	dirty  bool
}

// share returns the weights of completion time and of fragmentation, which sum to 1.
func (o Objective) share() (completion, fragmentation float64) {
	sum := o.CompletionTime + o.Fragmentation
	if sum <= 0 {
		return 0.5, 0.5
	}
	return o.CompletionTime / sum, o.Fragmentation / sum
}

// order brings the queue into the order of turns: urgent gangs, aged ones, critical ones, then the least work first.
func (e *Engine) order() {
	old := e.load.at.IsZero() || e.now.Sub(e.load.at) >= loadAge
	if !old && !e.load.dirty {
		return
	}
	if old {
		e.sumLoad()
	}
	for _, a := range e.accounts {
		a.largestWaiting = 0
	}
	for _, g := range e.waiting {
		e.rank(g)
		g.account.largestWaiting = max(g.account.largestWaiting, g.size())
	}
	slices.SortFunc(e.waiting, compareTurns)
	e.load.dirty = false
}

func compareTurns(a, b *gang) int {
	if c := cmp.Compare(b.tier(), a.tier()); c != 0 {
		return c
	}
	if a.tier() == tierAged || a.tier() == tierUrgent {
		return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
	}
	return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.ID, b.ID))
}

// The tiers of the queue.
const (
	tierPlain = iota
	tierCritical
	tierAged
	tierUrgent
)

func (g *gang) tier() int {
	switch {
	case g.Urgent:
		return tierUrgent
	case g.aged:
		return tierAged
	case g.critical:
		return tierCritical
	default:
		return tierPlain
	}
}

func (e *Engine) rank(g *gang) {
	g.estimate = e.runTimes.estimate(g)
	waited := e.now.Sub(g.Submitted)
	if g.patience == 0 {
		g.patience = min(max(e.config.ReserveAfter, patienceFactor*e.load.horizon), e.config.MaxAgingDelay)
	}
	g.aged = waited > g.patience
	g.critical = e.isCritical(g)
	area := g.estimate.Seconds() * math.Pow(float64(g.size()), e.sizeExponent())
	if g.critical {
		g.key = -area - float64(class(g.size()))*classRank
		return
	}
	g.key = area / g.account.weight / (1 + waited.Seconds()/e.config.ReserveAfter.Seconds())
}

// sizeExponent tells how much a gang's size delays its turn: the less, the more fragmentation weighs.
func (e *Engine) sizeExponent() float64 {
	completion, _ := e.objective.share()
	return completion
}

// isCritical tells whether a gang would end last when it waited for its turn: it runs nearly as long as all work
// needs, or its class needs its cells for nearly as long.
func (e *Engine) isCritical(g *gang) bool {
	slack := e.slack()
	if float64(g.estimate) >= slack*float64(e.load.horizon) {
		return true
	}
	k := class(g.size())
	return k >= largeClass && (float64(e.load.chains[k]) >= slack*float64(e.load.horizon) || e.lags(k))
}

// lags tells whether gangs of a scarce class run on less than their share of the domain. Left to the end they
// would find nothing to run beside them.
func (e *Engine) lags(k int) bool {
	if e.ledger.cells(k) > scarceCells {
		return false
	}
	share := laneShare * e.load.above[k] / max(1, e.load.work) * float64(e.ledger.capacity)
	return float64(e.load.running[k]) < share
}

// slack is the share of the horizon from which on work counts as critical.
func (e *Engine) slack() float64 {
	completion, _ := e.objective.share()
	return 0.6 + 0.25*completion
}

func (e *Engine) sumLoad() {
	e.load.at = e.now
	var work float64
	var byClass [classes]float64
	add := func(g *gang, left time.Duration) {
		seconds := left.Seconds()
		work += seconds * float64(g.size())
		byClass[class(g.size())] += seconds * float64(int(1)<<class(g.size()))
	}
	for _, g := range e.waiting {
		add(g, g.estimate)
	}
	e.load.running = [classes]int{}
	for _, g := range e.placed {
		add(g, g.end(e.now).Sub(e.now))
		e.load.running[class(g.size())] += g.size()
	}
	e.load.horizon = seconds(work / max(1, float64(e.ledger.capacity)))
	e.load.work = work
	chain := 0.0
	for k := classes - 1; k >= 0; k-- {
		chain += byClass[k]
		e.load.above[k] = chain
		if k < classes-1 {
			e.load.running[k] += e.load.running[k+1]
		}
		e.load.chains[k] = seconds(chain / max(1, float64(e.ledger.cells(k)<<k)))
	}
}
