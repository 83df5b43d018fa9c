package place

import (
	"time"
)

const (
	// maxClearingBenefit limits the estimated gain of moving all gangs out of a cell. The gain grows with the time
	// by which the cell becomes free earlier than if the gangs ran to their ends; at most this much of it counts.
	maxClearingBenefit = 30 * time.Minute
	// moveCooldown is how long a gang is exempt from further moves after it was moved, or displaced others, for the
	// first time.
	moveCooldown = 10 * time.Minute
	// maxCooldownDoublings limits how often moveCooldown is doubled for a gang that is moved repeatedly.
	maxCooldownDoublings = 6
	// clearMargin is how long a cell out of which compaction moved gangs is kept clear after their checkpoint
	// grace.
	clearMargin = 10 * time.Second
)

// tick runs the periodic work: retrying shortages, ending quarantines and compaction.
func (e *Engine) tick() {
	e.load.dirty = true
	e.rebindNeeded = e.rebindNeeded || len(e.shortages) > 0
	e.releaseProbedWorkers()
	e.compact()
}

// targetShape returns the size of the cells that compaction tries to free: that of the largest waiting gang or
// guarantee.
func (e *Engine) targetShape() int {
	n := 0
	if len(e.grants) > 0 {
		n = e.grants[0].size
	}
	for _, g := range e.waiting {
		n = max(n, g.size())
	}
	return n
}

// clearCandidate is a cell that could be cleared by moving its gangs elsewhere.
type clearCandidate struct {
	node int32
	// moved are the gangs to move; movedSize is the number of their accelerators.
	moved     []*gang
	movedSize int
	// cost is the run time that the moves are expected to lose, gain the time by which the cell becomes free
	// earlier. Both are in accelerator-seconds, weighted by the objective.
	cost float64
	gain float64
}

// compact selects the cell of the target shape for which moving its borrowing gangs elsewhere has the highest gain less
// cost, and moves them if the gain exceeds the cost.
func (e *Engine) compact() {
	shape := e.targetShape()
	if shape == 0 || e.isClearing() {
		return
	}
	if freeCells := e.countFreeCells(shape); freeCells >= int(e.ledger.freeTotal())/shape {
		return
	}
	best := clearCandidate{}
	for v := range e.ledger.topo.nodes {
		v := int32(v)
		if !e.ledger.topo.isMinimal(v, shape) || e.overlapsReservation(v) {
			continue
		}
		if c, ok := e.evaluateClearing(v, shape); ok && c.gain-c.cost > best.gain-best.cost {
			best = c
		}
	}
	for _, g := range best.moved {
		e.recordMove(g)
		e.reclaim(g, nil)
	}
	if len(best.moved) > 0 {
		until := e.now.Add(e.grace + clearMargin)
		e.reserved = append(e.reserved, &reservation{node: best.node, ready: e.now, backfillUntil: until})
	}
}

// isClearing reports whether a cell is kept free of other gangs after compaction moved gangs out of it.
func (e *Engine) isClearing() bool {
	for _, r := range e.reserved {
		if r.gang == nil {
			return true
		}
	}
	return false
}

// evaluateClearing weighs the cost and gain of moving all gangs out of cell v. It reports false unless all of them are
// movable and fit on the free accelerators outside the cell, and shape accelerators are free then.
func (e *Engine) evaluateClearing(v int32, shape int) (clearCandidate, bool) {
	l := e.ledger
	nd := &l.topo.nodes[v]
	c := clearCandidate{node: v}
	freeOutside := int(l.freeTotal() - l.free.summaries[v].count)
	used := 0
	remaining := time.Duration(0)
	for w := nd.first; w < nd.last; w++ {
		s := &l.states[w]
		if s.claimed != 0 {
			return c, false
		}
		for _, g := range s.gangs {
			if !e.movable(g) {
				return c, false
			}
			if used += int(popCount(g.maskOn(w))); used > freeOutside {
				return c, false
			}
			if g.parts[0].worker == w || g.parts[0].worker < nd.first {
				c.moved = appendUnique(c.moved, g)
			}
			remaining = max(remaining, g.expectedEnd(e.now).Sub(e.now))
		}
	}
	if int(l.free.summaries[v].count)+used < shape {
		return c, false
	}
	completion, fragmentation := e.objective.normalized()
	for _, g := range c.moved {
		c.movedSize += g.size()
		c.cost += completion * e.lostWork(g)
	}
	c.gain = fragmentation * float64(shape) * min(remaining, maxClearingBenefit).Seconds() * e.relocationFactor(c.movedSize)
	return c, c.movedSize <= freeOutside && len(c.moved) > 0
}

// relocationFactor returns a factor from 0 to 1 by which the expected gain of moving gangs is multiplied. movedSize is
// the total number of their accelerators. The factor falls as movedSize grows, because larger moves are less likely to
// find free cells elsewhere.
func (e *Engine) relocationFactor(movedSize int) float64 {
	free := float64(e.ledger.freeTotal())
	return max(0, 1-float64(movedSize)/max(1, free))
}

// recordMove starts the cooldown of a gang that was moved or that displaced others.
func (e *Engine) recordMove(g *gang) {
	g.lastMoved = e.now
	g.moveCount++
}

// coolingDown reports whether a gang is exempt from moves. The cooldown doubles with each move, so that gangs can't
// displace each other endlessly.
func (e *Engine) coolingDown(g *gang) bool {
	if g.moveCount == 0 {
		return false
	}
	return e.now.Sub(g.lastMoved) <= moveCooldown<<min(g.moveCount-1, maxCooldownDoublings)
}

// movable reports whether a gang may be moved to make room for others.
func (e *Engine) movable(g *gang) bool {
	return g.phase == phasePlaced && g.grant == nil && g.Checkpointable && !g.Urgent && g.probedWorker == none &&
		!g.started.IsZero() && !e.coolingDown(g) &&
		g.expectedEnd(e.now).Sub(e.now) > 2*e.config.MoveCost
}

// appendUnique appends g unless list contains it.
func appendUnique(list []*gang, g *gang) []*gang {
	for _, o := range list {
		if o == g {
			return list
		}
	}
	return append(list, g)
}
