package place

import (
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// minRebindInterval is the minimum time between two attempts to rebind all unused guarantees while some are short.
const minRebindInterval = 5 * time.Second

// repairGuarantees rebinds unused guarantees that are short or no longer usable, if a change has requested it.
func (e *Engine) repairGuarantees() {
	if !e.rebindNeeded {
		return
	}
	e.rebindNeeded = false
	e.dropInvalidClaims()
	short := false
	for _, r := range e.grants {
		if r.inUse() || (!e.isShort(r) && e.ledger.regionUsable(r)) {
			continue
		}
		e.ledger.unbind(r)
		short = !e.ledger.bindCheapest(r) || short
	}
	if short && !e.now.Before(e.nextRebind) {
		e.nextRebind = e.now.Add(minRebindInterval)
		e.rebindUnused()
	}
}

// rebindUnused binds all unused guarantees anew, the largest first, so that fewer are short. It restores the previous
// bindings if they covered more accelerators.
func (e *Engine) rebindUnused() {
	var unused []*grant
	boundBefore := 0
	var previous []binding
	for _, r := range e.grants {
		if !r.inUse() {
			unused = append(unused, r)
			previous = append(previous, binding{grant: r, node: r.node, region: r.region})
			if r.bound() {
				boundBefore += r.size
			}
			e.ledger.unbind(r)
		}
	}
	boundAfter := 0
	for _, r := range unused {
		if e.ledger.bindCheapest(r) {
			boundAfter += r.size
		}
	}
	if boundAfter < boundBefore {
		e.ledger.restoreBindings(previous)
	}
}

// regionUsable reports whether a grant that is not in use can keep its region: the region still lies in a smallest
// aligned cell, and contains no gang that is protected from reclaims.
func (l *ledger) regionUsable(r *grant) bool {
	for _, p := range r.region {
		if l.states[p.worker].protected&p.set != 0 {
			return false
		}
	}
	return l.topo.isMinimal(r.node, r.size)
}

// isShort reports whether a grant has no region, or one that is not completely in service.
func (e *Engine) isShort(r *grant) bool {
	return !r.bound() || !e.ledger.allInService(r.region)
}

// reportShortages emits the shortages that began, changed or ended.
func (e *Engine) reportShortages() {
	current := e.currentShortages()
	if slices.Equal(current, e.shortages) {
		return
	}
	for _, s := range current {
		if i := indexShortage(e.shortages, s); i < 0 || e.shortages[i].Missing != s.Missing {
			e.emit(s)
		}
	}
	for _, s := range e.shortages {
		if indexShortage(current, s) < 0 {
			e.emit(Shortage{Account: s.Account, Accelerators: s.Accelerators})
		}
	}
	e.shortages = current
}

// indexShortage returns the index of the shortage of the same account and cell size, or -1.
func indexShortage(list []Shortage, s Shortage) int {
	return slices.IndexFunc(list, func(o Shortage) bool { return o.Account == s.Account && o.Accelerators == s.Accelerators })
}

// currentShortages returns the shortages of all guarantees, by account and cell size.
func (e *Engine) currentShortages() []Shortage {
	var list []Shortage
	if len(e.ledger.topo.workers) == 0 {
		return nil
	}
	for _, r := range e.grants {
		if !e.isShort(r) {
			continue
		}
		s := Shortage{Account: r.account.name, Accelerators: ident.Accelerators(r.size), Missing: 1}
		if i := indexShortage(list, s); i >= 0 {
			list[i].Missing++
		} else {
			list = append(list, s)
		}
	}
	return list
}
