package place

import (
	"cmp"
	"slices"

	"github.com/sardineline/sardineline/sard/ident"
)

// configure takes new guarantees and weights in. Gangs that run stay where they are, within their guarantees as
// far as the new ones reach, else as borrowers.
func (e *Engine) configure(ev Configure) {
	e.objective = ev.Objective
	e.grace = ev.CheckpointGrace
	if e.grace <= 0 {
		e.grace = e.config.CheckpointGrace
	}
	within := e.users()
	e.leaveAll()
	e.accounts = map[ident.Account]*account{}
	e.grants = nil
	for _, spec := range ev.Accounts {
		e.addAccount(spec)
	}
	slices.SortStableFunc(e.grants, bySize)
	for _, g := range e.gangs {
		g.account = e.account(g.Account)
	}
	e.rebuild(e.ledger.topo, within...)
}

func (e *Engine) addAccount(spec Account) {
	a := e.account(spec.Name)
	a.weight = float64(max(spec.Weight, 1))
	a.grants = spec.grants(a)
	e.grants = append(e.grants, a.grants...)
}

// grants makes the cells of an account's guarantees, the smallest first.
func (spec Account) grants(a *account) []*grant {
	var all []*grant
	for _, gu := range spec.Guarantees {
		for range max(gu.Count, 1) {
			all = append(all, &grant{account: a, size: int(gu.Accelerators)})
		}
	}
	slices.SortStableFunc(all, func(x, y *grant) int { return cmp.Compare(x.size, y.size) })
	for i, r := range all {
		r.number = i
	}
	return all
}

// leaveAll ends all claims and all use of guarantees.
func (e *Engine) leaveAll() {
	for _, g := range slices.Clone(e.claims) {
		e.dropClaim(g)
		e.wait(g)
	}
	for _, g := range e.placed {
		e.ledger.leave(g)
	}
	e.reserved = nil
	for _, r := range e.grants {
		r.kept = nil
	}
}

// rack takes a new topology in.
func (e *Engine) rack(ev Topology) {
	if e.ledger.topo.same(ev.Workers) {
		e.ledger.topo.workers = slices.Clone(ev.Workers)
		for w := range ev.Workers {
			e.serve(int32(w))
		}
		return
	}
	within := e.users()
	e.leaveAll()
	old, topo := e.ledger.topo, newTopology(slices.Clone(ev.Workers))
	for _, g := range e.gangs {
		g.parts = translate(g.parts, old, topo)
		g.blamed = translateWorkers(g.blamed, old, topo)
		if g.probe != none {
			g.probe = topo.find(old.workers[g.probe].Name)
		}
	}
	e.rebuild(topo, within...)
}

// users returns the gangs that run within guarantees.
func (e *Engine) users() []*gang {
	var list []*gang
	for _, g := range e.placed {
		if g.grant != nil {
			list = append(list, g)
		}
	}
	return list
}

// same tells whether the workers stand where they stood.
func (t *topology) same(workers []Worker) bool {
	return slices.EqualFunc(t.workers, workers, func(a, b Worker) bool {
		return a.Name == b.Name && a.Rack == b.Rack && a.Accelerators == b.Accelerators
	})
}

func (t *topology) find(name ident.Worker) int32 {
	if w, ok := t.byName[name]; ok {
		return w
	}
	return none
}

// translate finds parts in another topology. Parts on workers that are gone are left out.
func translate(parts []share, from, to *topology) []share {
	var found []share
	for _, p := range parts {
		if w := to.find(from.workers[p.worker].Name); w != none {
			found = append(found, share{worker: w, set: p.set & fullMask(to.workers[w].Accelerators)})
		}
	}
	return found
}

func translateWorkers(list []int32, from, to *topology) []int32 {
	var found []int32
	for _, w := range list {
		if now := to.find(from.workers[w].Name); now != none {
			found = append(found, now)
		}
	}
	return found
}

// rebuild makes the ledger anew: gangs first, then the guarantees in use, then the others.
func (e *Engine) rebuild(topo *topology, within ...*gang) {
	e.ledger = newLedger(topo)
	for _, r := range e.grants {
		r.region = nil
	}
	for w := range topo.workers {
		e.ledger.setAlive(int32(w), e.inService(int32(w)))
	}
	for _, g := range e.placed {
		e.ledger.occupy(g)
	}
	inside := slices.DeleteFunc(slices.Clone(e.placed), func(g *gang) bool {
		return g.Checkpointable && !slices.Contains(within, g)
	})
	slices.SortStableFunc(inside, func(a, b *gang) int {
		return cmp.Or(b.firmness()-a.firmness(), cmp.Compare(b.size(), a.size()), cmp.Compare(a.ID, b.ID))
	})
	for _, g := range inside {
		e.adopt(g, inside)
	}
	e.resettle = true
	e.load.dirty = true
}
