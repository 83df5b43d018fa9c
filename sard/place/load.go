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
)

// load sums the work of the domain.
type load struct {
	at time.Time
	// horizon is the time that all work needs when nothing is idle.
	horizon time.Duration
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
	if !e.load.at.IsZero() && e.now.Sub(e.load.at) < loadAge && !e.load.dirty {
		return
	}
	e.sumLoad()
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
	g.aged = waited > e.config.MaxAge || (waited > e.config.ReserveAfter && waited > e.load.horizon)
	g.critical = e.isCritical(g)
	area := g.estimate.Seconds() * math.Pow(float64(g.size()), e.sizeExponent())
	if g.critical {
		g.key = -area
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
	return k >= largeClass && float64(e.load.chains[k]) >= slack*float64(e.load.horizon)
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
	for _, g := range e.placed {
		add(g, g.end(e.now).Sub(e.now))
	}
	e.load.horizon = seconds(work / max(1, float64(e.ledger.capacity)))
	chain := 0.0
	for k := classes - 1; k >= largeClass; k-- {
		chain += byClass[k]
		e.load.chains[k] = seconds(chain / max(1, float64(e.ledger.cells(k)<<k)))
	}
}
