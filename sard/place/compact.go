package place

import (
	"time"
)

const (
	// moveHorizon bounds for how long a cleared cell is counted as a gain.
	moveHorizon = 30 * time.Minute
	// moveRest is how long a gang is left where it is after a move.
	moveRest = 10 * time.Minute
	// maxRestDoublings bounds the doublings of moveRest.
	maxRestDoublings = 6
	// clearMargin is how long a cell is kept clear beyond the grace of the gangs that move out of it.
	clearMargin = 10 * time.Second
)

// tick does what is due by time alone.
func (e *Engine) tick() {
	e.load.dirty = true
	e.resettle = e.resettle || len(e.shortages) > 0
	e.releaseProven()
	e.compact()
}

// goalShape is the largest shape that waits or is guaranteed.
func (e *Engine) goalShape() int {
	n := 0
	if len(e.grants) > 0 {
		n = e.grants[0].size
	}
	for _, g := range e.waiting {
		n = max(n, g.size())
	}
	return n
}

// clearing is a cell that could be cleared by moving gangs elsewhere.
type clearing struct {
	node  int32
	moved []*gang
	size  int
	cost  float64
	gain  float64
}

// compact moves borrowing gangs out of a cell of the largest wanted shape when the objective gains by it.
func (e *Engine) compact() {
	shape := e.goalShape()
	if shape == 0 || e.clearingNow() {
		return
	}
	if whole := e.wholeCells(shape); whole >= int(e.ledger.freeTotal())/shape {
		return
	}
	best := clearing{}
	for v := range e.ledger.topo.nodes {
		v := int32(v)
		if !e.ledger.topo.minimal(v, shape) || e.reservedNear(v) {
			continue
		}
		if c, ok := e.weigh(v, shape); ok && c.gain-c.cost > best.gain-best.cost {
			best = c
		}
	}
	for _, g := range best.moved {
		e.displace(g)
		e.reclaim(g, nil)
	}
	if len(best.moved) > 0 {
		closes := e.now.Add(e.grace + clearMargin)
		e.reserved = append(e.reserved, &reservation{node: best.node, ready: e.now, closes: closes})
	}
}

func (e *Engine) clearingNow() bool {
	for _, r := range e.reserved {
		if r.gang == nil {
			return true
		}
	}
	return false
}

// weigh tells what it would cost and gain to clear a cell. All of its gangs must be able to move into cells
// that are broken already.
func (e *Engine) weigh(v int32, shape int) (clearing, bool) {
	l := e.ledger
	nd := &l.topo.nodes[v]
	c := clearing{node: v}
	outside := int(l.freeTotal() - l.free.cells[v].count)
	used := 0
	left := time.Duration(0)
	for w := nd.first; w < nd.last; w++ {
		s := &l.slots[w]
		if s.held != 0 {
			return c, false
		}
		for _, g := range s.gangs {
			if !e.movable(g) {
				return c, false
			}
			if used += int(ones(g.on(w))); used > outside {
				return c, false
			}
			if g.parts[0].worker == w || g.parts[0].worker < nd.first {
				c.moved = appendNew(c.moved, g)
			}
			left = max(left, g.end(e.now).Sub(e.now))
		}
	}
	if int(l.free.cells[v].count)+used < shape {
		return c, false
	}
	completion, fragmentation := e.objective.share()
	for _, g := range c.moved {
		c.size += g.size()
		c.cost += completion * e.lostWork(g)
	}
	c.gain = fragmentation * float64(shape) * min(left, moveHorizon).Seconds() * e.gapShare(c.size)
	return c, c.size <= outside && len(c.moved) > 0
}

// gapShare discounts moves of many accelerators, whose new places are less sure.
func (e *Engine) gapShare(moved int) float64 {
	free := float64(e.ledger.freeTotal())
	return max(0, 1-float64(moved)/max(1, free))
}

// displace notes that a gang was moved, or that it moved others.
func (e *Engine) displace(g *gang) {
	g.moved = e.now
	g.moves++
}

// rests tells whether a gang is left where it is after a move. The rest doubles with each move, so that gangs can't
// keep moving each other.
func (e *Engine) rests(g *gang) bool {
	if g.moves == 0 {
		return false
	}
	return e.now.Sub(g.moved) <= moveRest<<min(g.moves-1, maxRestDoublings)
}

// movable tells whether a gang may be moved to make room.
func (e *Engine) movable(g *gang) bool {
	return g.phase == phasePlaced && g.grant == nil && g.Checkpointable && !g.Urgent && g.probe == none &&
		!g.started.IsZero() && !e.rests(g) &&
		g.end(e.now).Sub(e.now) > 2*e.config.MoveCost
}

func appendNew(list []*gang, g *gang) []*gang {
	for _, o := range list {
		if o == g {
			return list
		}
	}
	return append(list, g)
}
