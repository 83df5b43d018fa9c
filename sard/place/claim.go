package place

import (
	"fmt"
	"slices"
	"time"
)

// accept runs a gang within a guarantee, at once or when its victims have ended.
func (e *Engine) accept(g *gang, o offer) {
	if o.region != nil {
		e.again = true
		e.memo = memo{}
		if !e.ledger.move(o.grant, o.home, o.region) {
			return
		}
	}
	if o.grant != nil {
		e.dropBorrowers(o.parts)
		e.ledger.join(g, o.grant)
	}
	if err := e.auditClaim(g, o.parts); err != nil {
		e.leave(g)
		e.breached(g, err)
		return
	}
	e.unwait(g)
	if len(o.victims) == 0 {
		e.commit(g, o.parts, g.basis())
		return
	}
	g.parts, g.phase = o.parts, phaseClaiming
	g.last = fmt.Sprintf("claimed %d accelerators: %s", g.size(), g.basis())
	e.ledger.hold(g)
	e.claims = append(e.claims, g)
	if g.grant == nil {
		e.displace(g)
	}
	for _, v := range o.victims {
		if v.phase == phasePlaced {
			e.displace(v)
			e.reclaim(v, g)
		}
	}
}

// basis tells on what ground a gang gets its accelerators.
func (g *gang) basis() string {
	if g.grant == nil {
		return "reserved cell"
	}
	return fmt.Sprintf("guarantee of %d", g.grant.size)
}

// reclaim takes a gang's accelerators back; g is whom for, nil for a move.
func (e *Engine) reclaim(v, g *gang) {
	d := Reclaim{Job: v.ID, Attempt: v.Attempt, Grace: e.grace, Reason: "moved to make room for large gangs"}
	if g != nil {
		d.Claimant = g.ID
		d.WithinGuarantee = g.grant != nil
		d.Grace = e.graceFor(g)
		d.Reason = fmt.Sprintf("claimed by %s of %s: %s", g.ID, g.Account, g.basis())
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
		e.commit(g, g.parts, "claimed "+g.basis())
	}
}

// dropClaim gives up what a gang claims.
func (e *Engine) dropClaim(g *gang) {
	e.claims = without(e.claims, g)
	e.ledger.unhold(g.parts)
	e.leave(g)
	g.parts = nil
}

// dropBorrowers makes gangs wait again that claim some of parts beyond their guarantees.
func (e *Engine) dropBorrowers(parts []share) {
	for _, g := range slices.Clone(e.claims) {
		if g.grant == nil && g.overlaps(parts) {
			e.dropClaim(g)
			e.wait(g)
			e.again = true
		}
	}
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
