package place

import (
	"fmt"
	"slices"
	"time"
)

// acceptOffer carries out an offer. It starts the gang on the accelerators of the offer, or claims them until the gangs
// that must be reclaimed first have ended.
func (e *Engine) acceptOffer(g *gang, o offer) {
	if o.region != nil {
		e.repeatPass = true
		e.failedSearches = searchCache{}
		if !e.ledger.rebind(o.grant, o.node, o.region) {
			return
		}
	}
	if o.grant != nil {
		e.dropBorrowingClaims(o.parts)
		e.ledger.addUser(g, o.grant)
	}
	if err := e.checkClaim(g, o.parts); err != nil {
		e.releaseGrant(g)
		e.recordViolation(g, err)
		return
	}
	e.dequeue(g)
	if len(o.victims) == 0 {
		e.startAttempt(g, o.parts, g.entitlement())
		return
	}
	g.parts, g.phase = o.parts, phaseClaiming
	g.lastDecision = fmt.Sprintf("claimed %d accelerators: %s", g.size(), g.entitlement())
	e.ledger.claim(g)
	e.claims = append(e.claims, g)
	if g.grant == nil {
		e.recordMove(g)
	}
	for _, v := range o.victims {
		if v.phase == phasePlaced {
			e.recordMove(v)
			e.reclaim(v, g)
		}
	}
}

// entitlement describes what entitles the gang to its accelerators.
func (g *gang) entitlement() string {
	if g.grant == nil {
		return "reserved cell"
	}
	return fmt.Sprintf("guarantee of %d", g.grant.size)
}

// reclaim takes back the accelerators of v on behalf of g. A nil g means a move by compaction.
func (e *Engine) reclaim(v, g *gang) {
	d := Reclaim{Job: v.ID, Attempt: v.Attempt, Grace: e.grace, Reason: "moved to make room for large gangs"}
	if g != nil {
		d.Claimant = g.ID
		d.WithinGuarantee = g.grant != nil
		d.Grace = e.graceFor(g)
		d.Reason = fmt.Sprintf("claimed by %s of %s: %s", g.ID, g.Account, g.entitlement())
	}
	v.phase = phaseReclaiming
	v.lastDecision = "reclaimed: " + d.Reason
	e.emit(d)
}

// graceFor returns the checkpoint grace of gangs that are reclaimed for g.
func (e *Engine) graceFor(g *gang) time.Duration {
	if g.Urgent {
		return min(e.grace, e.config.UrgentGrace)
	}
	return e.grace
}

// startReadyClaims starts the claiming gangs whose claimed accelerators are no longer used by other gangs.
func (e *Engine) startReadyClaims() {
	for _, g := range slices.Clone(e.claims) {
		if !e.ledger.unused(g.parts) {
			continue
		}
		e.claims = remove(e.claims, g)
		e.ledger.releaseClaim(g.parts)
		if err := e.checkPlacement(g, g.parts); err != nil {
			e.releaseGrant(g)
			g.parts = nil
			e.enqueue(g)
			e.recordViolation(g, err)
			continue
		}
		e.startAttempt(g, g.parts, "claimed "+g.entitlement())
	}
}

// dropClaim ends a gang's claim: it releases the claimed accelerators and the gang's use of a guarantee.
func (e *Engine) dropClaim(g *gang) {
	e.claims = remove(e.claims, g)
	e.ledger.releaseClaim(g.parts)
	e.releaseGrant(g)
	g.parts = nil
}

// dropBorrowingClaims drops the claims of gangs outside their guarantees on any accelerators of parts, and returns the
// gangs to the queue.
func (e *Engine) dropBorrowingClaims(parts []workerPart) {
	for _, g := range slices.Clone(e.claims) {
		if g.grant == nil && g.overlaps(parts) {
			e.dropClaim(g)
			e.enqueue(g)
			e.repeatPass = true
		}
	}
}

// dropInvalidClaims drops claims on accelerators that went out of service or no longer lie in a smallest aligned cell,
// and returns their gangs to the queue.
func (e *Engine) dropInvalidClaims() {
	for _, g := range slices.Clone(e.claims) {
		if e.checkShape(g, g.parts) != nil {
			e.dropClaim(g)
			e.enqueue(g)
		}
	}
}
