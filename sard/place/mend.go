package place

import (
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// settlePause is the least time between two attempts to bind all unused guarantees anew.
const settlePause = 5 * time.Second

// mend binds guarantees that are short or stand on workers out of service, when something changed.
func (e *Engine) mend() {
	if !e.resettle {
		return
	}
	e.resettle = false
	e.dropBrokenClaims()
	short := false
	for _, r := range e.grants {
		if r.inUse() || (!e.short(r) && e.ledger.usable(r)) {
			continue
		}
		e.ledger.unbind(r)
		short = !e.ledger.settle(r) || short
	}
	if short && !e.now.Before(e.nextSettle) {
		e.nextSettle = e.now.Add(settlePause)
		e.settleAll()
	}
}

// settleAll binds all unused guarantees anew, the largest first, so that as few as possible are short.
func (e *Engine) settleAll() {
	var unused []*grant
	before := 0
	var old []binding
	for _, r := range e.grants {
		if !r.inUse() {
			unused = append(unused, r)
			old = append(old, binding{grant: r, home: r.home, region: r.region})
			if r.bound() {
				before += r.size
			}
			e.ledger.unbind(r)
		}
	}
	after := 0
	for _, r := range unused {
		if e.ledger.settle(r) {
			after += r.size
		}
	}
	if after < before {
		e.ledger.undo(old)
	}
}

// usable tells whether an unused grant's region lies within a smallest aligned cell in service and holds no gang
// that can't be reclaimed.
func (l *ledger) usable(r *grant) bool {
	for _, p := range r.region {
		if l.slots[p.worker].firm&p.set != 0 {
			return false
		}
	}
	return l.topo.minimal(r.home, r.size)
}

// short tells whether the account can't have the cell of a guarantee as a whole.
func (e *Engine) short(r *grant) bool {
	return !r.bound() || !e.ledger.alive(r.region)
}

// reportShortages tells of guarantees that became short, or are no longer.
func (e *Engine) reportShortages() {
	now := e.countShortages()
	if slices.Equal(now, e.shortages) {
		return
	}
	for _, s := range now {
		if i := indexShortage(e.shortages, s); i < 0 || e.shortages[i].Missing != s.Missing {
			e.decide(s)
		}
	}
	for _, s := range e.shortages {
		if indexShortage(now, s) < 0 {
			e.decide(Shortage{Account: s.Account, Accelerators: s.Accelerators})
		}
	}
	e.shortages = now
}

func indexShortage(list []Shortage, s Shortage) int {
	return slices.IndexFunc(list, func(o Shortage) bool { return o.Account == s.Account && o.Accelerators == s.Accelerators })
}

func (e *Engine) countShortages() []Shortage {
	var list []Shortage
	if len(e.ledger.topo.workers) == 0 {
		return nil
	}
	for _, r := range e.grants {
		if !e.short(r) {
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
