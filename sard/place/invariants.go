package place

import (
	"fmt"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
)

// violationBackoff is how long a gang is held back after a decision on it violated an invariant.
const violationBackoff = time.Minute

// recordViolation counts a decision that would violate an invariant and holds its gang back for violationBackoff.
func (e *Engine) recordViolation(g *gang, err error) {
	e.violations++
	e.lastViolation = fmt.Sprintf("%s: %v", g.ID, err)
	g.notBefore = e.now.Add(violationBackoff)
	g.lastDecision = "refused decision: " + err.Error()
}

// violationError returns the error for a decision that would violate an invariant.
func violationError(format string, args ...any) error {
	return fault.New(fault.Internal, "audit placement", "", format, args...)
}

// checkPlacement verifies that starting a gang on parts violates no invariant. It looks at the gangs and guarantees of
// each worker and doesn't use the indexes that selected the parts, so it also catches faults in them.
func (e *Engine) checkPlacement(g *gang, parts []workerPart) error {
	if err := e.checkShape(g, parts); err != nil {
		return err
	}
	for _, p := range parts {
		if err := e.checkExclusive(g, p); err != nil {
			return err
		}
	}
	return e.checkGuarantees(g, parts)
}

// checkClaim verifies that claiming parts for a gang violates no invariant. Other gangs may still use the parts.
func (e *Engine) checkClaim(g *gang, parts []workerPart) error {
	if err := e.checkShape(g, parts); err != nil {
		return err
	}
	return e.checkGuarantees(g, parts)
}

// checkShape verifies that parts have as many accelerators as the gang, in service and within one smallest aligned
// cell.
func (e *Engine) checkShape(g *gang, parts []workerPart) error {
	topo := e.ledger.topo
	n := 0
	for i, p := range parts {
		n += int(popCount(p.set))
		if i > 0 && parts[i-1].worker >= p.worker && !distinctWorkers(parts) {
			return violationError("two parts on worker %s", topo.workers[p.worker].Name)
		}
		if e.inServiceMask(p.worker)&p.set != p.set && g.probedWorker != p.worker {
			return violationError("worker %s is not in service", topo.workers[p.worker].Name)
		}
	}
	if n != g.size() {
		return violationError("%d accelerators for a gang of %d", n, g.size())
	}
	v := topo.commonNode(parts)
	if topo.isLeaf(v) {
		if _, ok := topo.blockAround(v, parts[0].set, n); !ok {
			return violationError("accelerators %x of worker %s are not adjacent", parts[0].set, topo.workers[v].Name)
		}
		return nil
	}
	if !topo.isMinimal(v, n) {
		return violationError("the gang of %d is spread over a cell of %d", n, topo.nodes[v].size)
	}
	return nil
}

// distinctWorkers reports whether no two parts are on the same worker.
func distinctWorkers(parts []workerPart) bool {
	seen := make(map[int32]bool, len(parts))
	for _, p := range parts {
		if seen[p.worker] {
			return false
		}
		seen[p.worker] = true
	}
	return true
}

// checkExclusive verifies that no gang other than g uses or claims accelerators of p.
func (e *Engine) checkExclusive(g *gang, p workerPart) error {
	s := &e.ledger.states[p.worker]
	for _, o := range s.gangs {
		if o != g && o.maskOn(p.worker)&p.set != 0 {
			return violationError("accelerators of %s are used by %s", e.ledger.topo.workers[p.worker].Name, o.ID)
		}
	}
	for _, c := range e.claims {
		if c != g && c.maskOn(p.worker)&p.set != 0 {
			return violationError("accelerators of %s are claimed by %s", e.ledger.topo.workers[p.worker].Name, c.ID)
		}
	}
	return nil
}

// checkGuarantees verifies that placing the gang on parts respects all guarantees: a gang within a guarantee lies in
// its region, others can be reclaimed, and the regions on the workers don't overlap and hold, of the gangs that can't
// be reclaimed, only those that use the guarantee.
func (e *Engine) checkGuarantees(g *gang, parts []workerPart) error {
	switch {
	case g.grant == nil && !g.Checkpointable:
		return violationError("a gang that can't be reclaimed is placed beyond the guarantee")
	case g.grant != nil && (g.grant.account != g.account || !g.grant.covers(parts)):
		return violationError("the gang is placed outside of its guarantee")
	}
	for _, p := range parts {
		if err := e.checkRegions(g, p); err != nil {
			return err
		}
	}
	return nil
}

// checkRegions verifies that gang g respects the regions on the worker of its part p, and that these don't overlap.
func (e *Engine) checkRegions(g *gang, p workerPart) error {
	s := &e.ledger.states[p.worker]
	seen := uint64(0)
	for _, r := range s.grants {
		set := uint64(0)
		for _, q := range r.region {
			if q.worker == p.worker {
				set |= q.set
			}
		}
		if set&seen != 0 {
			return violationError("two guarantees overlap on %s", e.ledger.topo.workers[p.worker].Name)
		}
		seen |= set
		if g.grant != nil && g.grant != r && set&p.set != 0 {
			return violationError("the gang takes the guarantee of %s on %s", r.account.name, e.ledger.topo.workers[p.worker].Name)
		}
		for _, o := range s.gangs {
			if o.protected() && o.grant != r && o.maskOn(p.worker)&set != 0 {
				return violationError("%s stands firm in the guarantee of %s", o.ID, r.account.name)
			}
		}
	}
	return nil
}
