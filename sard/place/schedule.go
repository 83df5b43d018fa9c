package place

import (
	"fmt"
	"slices"

	"github.com/sardineline/sardineline/sard/ident"
)

// searchCache records which searches for an offer within guarantees failed during a pass over the queue, so that
// equivalent gangs don't repeat them.
type searchCache map[searchKey]struct{}

// searchKey holds everything on which the result of a search for an offer within guarantees depends.
type searchKey struct {
	account      *account
	size         int
	urgent, aged bool
	// nonCheckpointable is set for gangs that can't be checkpointed.
	nonCheckpointable bool
	// reservedGrant is set for gangs for which a guarantee is reserved.
	reservedGrant bool
	// excludesReserved is set for searches that skip what is reserved for other gangs.
	excludesReserved bool
}

// searchKey returns the key under which failed searches for offers for the gang are recorded.
func (e *Engine) searchKey(g *gang, excludesReserved bool) searchKey {
	return searchKey{
		account: g.account, size: g.size(), urgent: g.Urgent, aged: g.aged,
		nonCheckpointable: !g.Checkpointable, reservedGrant: e.hasReservedGrant(g), excludesReserved: excludesReserved,
	}
}

// maxPasses caps the passes over the queue for one event.
const maxPasses = 10

// schedule tries to place the waiting gangs. It runs passes over the queue until none asks for another, then probes
// quarantined workers.
func (e *Engine) schedule() {
	for range maxPasses {
		e.sortQueue()
		e.updateReservations()
		e.runPass()
		if !e.repeatPass {
			break
		}
	}
	e.startProbes()
}

// runPass tries to place each waiting gang once. repeatPass is set meanwhile when a guarantee was rebound or a claim
// was dropped, since gangs that were tried earlier in the pass may fit then.
func (e *Engine) runPass() {
	e.failedSearches = searchCache{}
	e.repeatPass = false
	for _, g := range slices.Clone(e.waiting) {
		e.scheduleGang(g)
	}
}

// scheduleGang places a waiting gang, claims accelerators for it, or leaves it in the queue. A cell or guarantee may be
// reserved for a critical, aged or urgent gang that stays there.
func (e *Engine) scheduleGang(g *gang) {
	if e.now.Before(g.notBefore) || e.refuseUnschedulable(g) {
		return
	}
	excluded := e.excludedNodes(g, false)
	o, ok := e.findOffer(g, excluded)
	if ok && len(o.victims) == 0 {
		e.acceptOffer(g, o)
		return
	}
	if g.Checkpointable && e.borrow(g) {
		return
	}
	if excluded != nil && !ok {
		o, ok = e.findOffer(g, nil)
	}
	if ok {
		e.acceptOffer(g, o)
		return
	}
	if g.Urgent && g.Checkpointable {
		e.claimUrgent(g)
	}
	if g.phase == phaseWaiting && g.tier() > tierNormal {
		e.reserve(g)
		e.claimReserved(g)
	}
}

// borrow places a gang on free accelerators outside its account's guarantees.
func (e *Engine) borrow(g *gang) bool {
	s, ok := e.bestFreeCell(g, e.excludedNodes(g, true))
	if !ok {
		return false
	}
	parts := e.ledger.topo.pick(s, g.size(), e.ledger.free.available)
	return e.place(g, parts, "free cell")
}

// bestFreeCell selects the free cell for a gang that fragments the domain least: not part of a larger free cell, little
// left over, and few free accelerators around it. Cells with the fewest workers on which the gang failed go first.
func (e *Engine) bestFreeCell(g *gang, excluded func(v int32) bool) (candidate, bool) {
	var found candidate
	best, ok := cost{}, false
	consider := func(s candidate) {
		c := cost{e.countFailedWorkersIn(g, s), int64(s.freeAround), int64(s.leftover), int64(e.ledger.freeNearby(s))}
		if !ok || c.less(best) {
			found, best, ok = s, c, true
		}
	}
	if excluded != nil || len(g.failedWorkers) > 0 {
		e.ledger.free.visit(g.size(), excluded, consider)
	} else {
		e.ledger.free.visitDistinct(g.size(), consider)
	}
	return found, ok
}

// countFailedWorkersIn counts the workers of a candidate on which the gang failed before.
func (e *Engine) countFailedWorkersIn(g *gang, s candidate) int64 {
	n := int64(0)
	nd := &e.ledger.topo.nodes[s.node]
	for _, w := range g.failedWorkers {
		if w >= nd.first && w < nd.last {
			n++
		}
	}
	return n
}

// place starts an attempt of a waiting gang on parts unless that violates an invariant, and reports whether it did. The
// basis says in a few words what entitles the gang to the accelerators.
func (e *Engine) place(g *gang, parts []workerPart, basis string) bool {
	if err := e.checkPlacement(g, parts); err != nil {
		e.recordViolation(g, err)
		return false
	}
	e.dequeue(g)
	e.startAttempt(g, parts, basis)
	return true
}

// startAttempt starts an attempt of a gang on parts: it emits the Place decision and records the use of the
// accelerators.
func (e *Engine) startAttempt(g *gang, parts []workerPart, basis string) {
	g.parts, g.phase, g.placed = parts, phasePlaced, e.now
	g.Attempt++
	e.ledger.occupy(g)
	e.placed = append(e.placed, g)
	reason := fmt.Sprintf("%s; %d accelerators on %d workers, expected to take %s", basis, g.size(), len(parts), g.estimate.Round(1e9))
	g.lastDecision = "placed: " + reason
	e.emit(Place{Job: g.ID, Attempt: g.Attempt, Parts: e.ledger.topo.parts(parts), Borrowed: g.grant == nil, Reason: reason})
}

// parts converts parts with worker indexes to the exported form with worker names.
func (t *topology) parts(workerParts []workerPart) []Part {
	parts := make([]Part, 0, len(workerParts))
	for _, p := range workerParts {
		parts = append(parts, Part{Worker: t.workers[p.worker].Name, Accelerators: ident.AcceleratorSet(p.set)})
	}
	return parts
}

// vacate releases a gang's accelerators and its use of a guarantee.
func (e *Engine) vacate(g *gang) {
	e.ledger.vacate(g)
	e.releaseGrant(g)
	e.placed = remove(e.placed, g)
	if len(e.shortages) > 0 {
		e.rebindNeeded = true
	}
}

// releaseGrant ends a gang's use of its guarantee. If the guarantee has no usable region, it requests that guarantees
// are rebound.
func (e *Engine) releaseGrant(g *gang) {
	if r := g.grant; r != nil && (e.isShort(r) || !e.ledger.regionUsable(r)) {
		e.rebindNeeded = true
	}
	e.ledger.removeUser(g)
}
