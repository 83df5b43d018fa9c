package place

import (
	"fmt"
	"slices"
	"time"
)

// accept runs a gang within a guarantee, at once or when its victims have ended.
func (e *Engine) accept(g *gang, o offer) {
	if o.region != nil && !e.ledger.move(o.grant, o.home, o.region) {
		return
	}
	e.ledger.join(g, o.grant)
	if err := e.auditClaim(g, o.parts); err != nil {
		e.leave(g)
		e.breached(g, err)
		return
	}
	e.unwait(g)
	if len(o.victims) == 0 {
		e.commit(g, o.parts, fmt.Sprintf("guarantee of %d", o.grant.size))
		return
	}
	g.parts, g.phase = o.parts, phaseClaiming
	g.last = fmt.Sprintf("claimed %d accelerators of its guarantee of %d", g.size(), o.grant.size)
	e.ledger.hold(g.parts)
	e.claims = append(e.claims, g)
	for _, v := range o.victims {
		if v.phase == phasePlaced {
			e.reclaim(v, g)
		}
	}
}

// reclaim takes a gang's accelerators back; g is whom for, nil for a move.
func (e *Engine) reclaim(v, g *gang) {
	d := Reclaim{Job: v.ID, Attempt: v.Attempt, Grace: e.grace, Reason: "moved to make room for large gangs"}
	if g != nil {
		d.For = g.ID
		d.Grace = e.graceFor(g)
		d.Reason = fmt.Sprintf("%s claims its guarantee of %d for %s", g.Account, g.grant.size, g.ID)
	}
	v.phase = phaseReclaiming
	v.last = "reclaimed: " + d.Reason
	e.decide(d)
}

func (e *Engine) graceFor(g *gang) time.Duration {
	if g.Urgent {
		return min(e.grace, e.config.UrgentGrace)
	}
	return e.grace
}

// settleClaims starts the gangs whose claimed accelerators are all free.
func (e *Engine) settleClaims() {
	for _, g := range slices.Clone(e.claims) {
		if !e.ledger.vacant(g.parts) {
			continue
		}
		e.claims = without(e.claims, g)
		e.ledger.unhold(g.parts)
		if err := e.audit(g, g.parts); err != nil {
			e.leave(g)
			g.parts = nil
			e.wait(g)
			e.breached(g, err)
			continue
		}
		e.commit(g, g.parts, fmt.Sprintf("reclaimed guarantee of %d", g.grant.size))
	}
}

// dropClaim gives up what a gang claims.
func (e *Engine) dropClaim(g *gang) {
	e.claims = without(e.claims, g)
	e.ledger.unhold(g.parts)
	e.leave(g)
	g.parts = nil
}

// dropBrokenClaims makes gangs wait again whose claimed accelerators went out of service or are no longer in a
// smallest cell in service.
func (e *Engine) dropBrokenClaims() {
	for _, g := range slices.Clone(e.claims) {
		if e.auditWhole(g, g.parts) != nil {
			e.dropClaim(g)
			e.wait(g)
		}
	}
}
