package place

import (
	"fmt"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
)

// refusalPause is how long a gang waits after a decision on it was refused.
const refusalPause = time.Minute

// breached counts a decision that a promise forbids and holds its gang back for a while.
func (e *Engine) breached(g *gang, err error) {
	e.breaches++
	e.breach = fmt.Sprintf("%s: %v", g.ID, err)
	g.notBefore = e.now.Add(refusalPause)
	g.last = "refused decision: " + err.Error()
}

func breach(format string, args ...any) error {
	return fault.New(fault.Internal, "audit placement", "", format, args...)
}

// audit checks the promises on a gang's parts against the gangs and guarantees on each worker, apart from the
// indexes that chose the parts.
func (e *Engine) audit(g *gang, parts []share) error {
	if err := e.auditWhole(g, parts); err != nil {
		return err
	}
	for _, p := range parts {
		if err := e.auditVacant(g, p); err != nil {
			return err
		}
	}
	return e.auditGuarantees(g, parts)
}

// auditClaim checks a claim, whose parts need not be free yet.
func (e *Engine) auditClaim(g *gang, parts []share) error {
	if err := e.auditWhole(g, parts); err != nil {
		return err
	}
	return e.auditGuarantees(g, parts)
}

// auditWhole checks that parts are the whole gang on adjacent accelerators in service.
func (e *Engine) auditWhole(g *gang, parts []share) error {
	topo := e.ledger.topo
	n := 0
	for i, p := range parts {
		n += int(ones(p.set))
		if i > 0 && parts[i-1].worker >= p.worker && !ascending(parts) {
			return breach("two parts on worker %s", topo.workers[p.worker].Name)
		}
		if e.inService(p.worker)&p.set != p.set && g.probe != p.worker {
			return breach("worker %s is not in service", topo.workers[p.worker].Name)
		}
	}
	if n != g.size() {
		return breach("%d accelerators for a gang of %d", n, g.size())
	}
	v := topo.common(parts)
	if topo.leaf(v) {
		if _, ok := topo.blockAround(v, parts[0].set, n); !ok {
			return breach("accelerators %x of worker %s are not adjacent", parts[0].set, topo.workers[v].Name)
		}
		return nil
	}
	if !topo.minimal(v, n) {
		return breach("the gang of %d is spread over a cell of %d", n, topo.nodes[v].size)
	}
	return nil
}

// ascending tells whether no worker comes twice.
func ascending(parts []share) bool {
	seen := make(map[int32]bool, len(parts))
	for _, p := range parts {
		if seen[p.worker] {
			return false
		}
		seen[p.worker] = true
	}
	return true
}

// auditVacant checks that nobody uses or claims a part.
func (e *Engine) auditVacant(g *gang, p share) error {
	s := &e.ledger.slots[p.worker]
	for _, o := range s.gangs {
		if o != g && o.on(p.worker)&p.set != 0 {
			return breach("accelerators of %s are used by %s", e.ledger.topo.workers[p.worker].Name, o.ID)
		}
	}
	for _, c := range e.claims {
		if c != g && c.on(p.worker)&p.set != 0 {
			return breach("accelerators of %s are claimed by %s", e.ledger.topo.workers[p.worker].Name, c.ID)
		}
	}
	return nil
}

// auditGuarantees checks that all guarantees on the gang's workers can still be met: regions don't overlap, and
// nothing is in them that neither belongs to their accounts' use nor can be reclaimed.
func (e *Engine) auditGuarantees(g *gang, parts []share) error {
	switch {
	case g.grant == nil && !g.Checkpointable:
		return breach("a gang that can't be reclaimed is placed beyond the guarantee")
	case g.grant != nil && (g.grant.account != g.account || !g.grant.covers(parts)):
		return breach("the gang is placed outside of its guarantee")
	}
	for _, p := range parts {
		if err := e.auditRegions(g, p); err != nil {
			return err
		}
	}
	return nil
}

func (e *Engine) auditRegions(g *gang, p share) error {
	s := &e.ledger.slots[p.worker]
	seen := uint64(0)
	for _, r := range s.grants {
		set := uint64(0)
		for _, q := range r.region {
			if q.worker == p.worker {
				set |= q.set
			}
		}
		if set&seen != 0 {
			return breach("two guarantees overlap on %s", e.ledger.topo.workers[p.worker].Name)
		}
		seen |= set
		if g.grant != nil && g.grant != r && set&p.set != 0 {
			return breach("the gang takes the guarantee of %s on %s", r.account.name, e.ledger.topo.workers[p.worker].Name)
		}
		for _, o := range s.gangs {
			if o.firm() && o.grant != r && o.on(p.worker)&set != 0 {
				return breach("%s stands firm in the guarantee of %s", o.ID, r.account.name)
			}
		}
	}
	return nil
}
