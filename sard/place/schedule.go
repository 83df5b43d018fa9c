package place

import (
	"fmt"
	"slices"

	"github.com/sardineline/sardineline/sard/ident"
)

// memo remembers within a pass what found no guarantee, so that like gangs are not tried again.
type memo map[memoKey]struct{}

type memoKey struct {
	account      *account
	size         int
	urgent, aged bool
	// fixed gangs can't be checkpointed.
	fixed bool
	// kept gangs have a guarantee kept for them.
	kept bool
	// open searches leave out what is reserved for others.
	open bool
}

func (e *Engine) memoKey(g *gang, open bool) memoKey {
	return memoKey{
		account: g.account, size: g.size(), urgent: g.Urgent, aged: g.aged,
		fixed: !g.Checkpointable, kept: e.keeps(g), open: open,
	}
}

// maxPasses bounds how often the queue is gone through for one event.
const maxPasses = 10

// schedule gives every waiting gang its turn.
func (e *Engine) schedule() {
	for range maxPasses {
		e.order()
		e.renewReservations()
		e.pass()
		if !e.again {
			break
		}
	}
	e.probe()
}

// pass gives every waiting gang one turn. It sets again when something moved for which earlier turns may have failed.
func (e *Engine) pass() {
	e.memo = memo{}
	e.again = false
	for _, g := range slices.Clone(e.waiting) {
		e.turn(g)
	}
}

// turn places a gang, claims accelerators for it, or leaves it waiting.
func (e *Engine) turn(g *gang) {
	if e.now.Before(g.notBefore) || e.refuseHopeless(g) {
		return
	}
	closed := e.closedTo(g, false)
	o, ok := e.offer(g, closed)
	if ok && len(o.victims) == 0 {
		e.accept(g, o)
		return
	}
	if g.Checkpointable && e.borrow(g) {
		return
	}
	if closed != nil && !ok {
		o, ok = e.offer(g, nil)
	}
	if ok {
		e.accept(g, o)
		return
	}
	if g.Urgent && g.Checkpointable {
		e.claimUrgent(g)
	}
	if g.phase == phaseWaiting && g.tier() > tierPlain {
		e.reserve(g)
		e.claimReserved(g)
	}
}

// borrow places a gang on free accelerators beyond its account's guarantees.
func (e *Engine) borrow(g *gang) bool {
	s, ok := e.freeSpot(g, e.closedTo(g, true))
	if !ok {
		return false
	}
	parts := e.ledger.topo.take(s, g.size(), e.ledger.free.at)
	return e.place(g, parts, "free cell")
}

// freeSpot chooses the free cell that breaks the least: none that is whole, little left over, a crowded
// neighbourhood.
func (e *Engine) freeSpot(g *gang, closed func(v int32) bool) (spot, bool) {
	var found spot
	best, ok := cost{}, false
	see := func(s spot) {
		c := cost{e.avoidance(g, s), int64(s.whole), int64(s.rest), int64(e.ledger.around(s))}
		if !ok || c.less(best) {
			found, best, ok = s, c, true
		}
	}
	if closed != nil || len(g.blamed) > 0 {
		e.ledger.free.visit(g.size(), closed, see)
	} else {
		e.ledger.free.visitKinds(g.size(), see)
	}
	return found, ok
}

// avoidance counts the workers of a spot on which the gang failed before.
func (e *Engine) avoidance(g *gang, s spot) int64 {
	n := int64(0)
	nd := &e.ledger.topo.nodes[s.node]
	for _, w := range g.blamed {
		if w >= nd.first && w < nd.last {
			n++
		}
	}
	return n
}

// place gives a waiting gang its parts when no promise forbids it, and tells whether it did.
func (e *Engine) place(g *gang, parts []share, why string) bool {
	if err := e.audit(g, parts); err != nil {
		e.breached(g, err)
		return false
	}
	e.unwait(g)
	e.commit(g, parts, why)
	return true
}

// commit starts an attempt.
func (e *Engine) commit(g *gang, parts []share, why string) {
	g.parts, g.phase, g.placed = parts, phasePlaced, e.now
	g.Attempt++
	e.ledger.occupy(g)
	e.placed = append(e.placed, g)
	reason := fmt.Sprintf("%s; %d accelerators on %d workers, expected to take %s", why, g.size(), len(parts), g.estimate.Round(1e9))
	g.last = "placed: " + reason
	e.decide(Place{Job: g.ID, Attempt: g.Attempt, Parts: e.ledger.topo.parts(parts), Borrowed: g.grant == nil, Reason: reason})
}

func (t *topology) parts(shares []share) []Part {
	parts := make([]Part, 0, len(shares))
	for _, p := range shares {
		parts = append(parts, Part{Worker: t.workers[p.worker].Name, Accelerators: ident.AcceleratorSet(p.set)})
	}
	return parts
}

// vacate takes a gang's accelerators back.
func (e *Engine) vacate(g *gang) {
	e.ledger.vacate(g)
	e.leave(g)
	e.placed = without(e.placed, g)
	if len(e.shortages) > 0 {
		e.resettle = true
	}
}

// leave ends a gang's use of its guarantee, which is bound anew when its region is not whole any more.
func (e *Engine) leave(g *gang) {
	if r := g.grant; r != nil && (e.short(r) || !e.ledger.usable(r)) {
		e.resettle = true
	}
	e.ledger.leave(g)
}
