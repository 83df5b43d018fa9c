package place

import (
	"cmp"
	"slices"

	"github.com/sardineline/sardineline/sard/ident"
)

// configure applies the objective, weights and guarantees of a Configure event. Running gangs keep their accelerators;
// those that the new guarantees don't cover become borrowers.
func (e *Engine) configure(ev Configure) {
	e.objective = ev.Objective
	e.grace = ev.CheckpointGrace
	if e.grace <= 0 {
		e.grace = e.config.CheckpointGrace
	}
	guaranteed := e.guaranteedGangs()
	e.releaseAllGrants()
	e.accounts = map[ident.Account]*account{}
	e.grants = nil
	for _, spec := range ev.Accounts {
		e.addAccount(spec)
	}
	slices.SortStableFunc(e.grants, compareGrants)
	for _, g := range e.gangs {
		g.account = e.account(g.Account)
	}
	e.rebuild(e.ledger.topo, guaranteed...)
}

// addAccount adds an account with its weight and guarantees to the engine.
func (e *Engine) addAccount(spec Account) {
	a := e.account(spec.Name)
	a.weight = float64(max(spec.Weight, 1))
	a.grants = spec.grants(a)
	e.grants = append(e.grants, a.grants...)
}

// grants returns one grant for each cell of the account's guarantees, the smallest first.
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

// releaseAllGrants drops all claims and reservations and ends all use of guarantees. Running gangs keep their
// accelerators.
func (e *Engine) releaseAllGrants() {
	for _, g := range slices.Clone(e.claims) {
		e.dropClaim(g)
		e.enqueue(g)
	}
	for _, g := range e.placed {
		e.ledger.removeUser(g)
	}
	e.reserved = nil
	for _, r := range e.grants {
		r.reservedFor = nil
	}
}

// setTopology replaces the workers of the domain. Gangs keep their accelerators on workers that remain.
func (e *Engine) setTopology(ev Topology) {
	if e.ledger.topo.sameWorkers(ev.Workers) {
		e.ledger.topo.workers = slices.Clone(ev.Workers)
		for w := range ev.Workers {
			e.updateService(int32(w))
		}
		return
	}
	guaranteed := e.guaranteedGangs()
	e.releaseAllGrants()
	old, topo := e.ledger.topo, newTopology(slices.Clone(ev.Workers))
	for _, g := range e.gangs {
		g.parts = translateParts(g.parts, old, topo)
		g.failedWorkers = translateWorkers(g.failedWorkers, old, topo)
		if g.probedWorker != none {
			g.probedWorker = topo.workerIndex(old.workers[g.probedWorker].Name)
		}
	}
	e.rebuild(topo, guaranteed...)
}

// guaranteedGangs returns the gangs that run within guarantees.
func (e *Engine) guaranteedGangs() []*gang {
	var list []*gang
	for _, g := range e.placed {
		if g.grant != nil {
			list = append(list, g)
		}
	}
	return list
}

// sameWorkers reports whether workers have the same names, racks and sizes, in the same order.
func (t *topology) sameWorkers(workers []Worker) bool {
	return slices.EqualFunc(t.workers, workers, func(a, b Worker) bool {
		return a.Name == b.Name && a.Rack == b.Rack && a.Accelerators == b.Accelerators
	})
}

// workerIndex returns the index of a worker, or none.
func (t *topology) workerIndex(name ident.Worker) int32 {
	if w, ok := t.byName[name]; ok {
		return w
	}
	return none
}

// translateParts converts parts with worker indexes of one topology to those of another. Parts on workers that are
// missing there are dropped.
func translateParts(parts []workerPart, from, to *topology) []workerPart {
	var found []workerPart
	for _, p := range parts {
		if w := to.workerIndex(from.workers[p.worker].Name); w != none {
			found = append(found, workerPart{worker: w, set: p.set & fullMask(to.workers[w].Accelerators)})
		}
	}
	return found
}

// translateWorkers converts worker indexes of one topology to those of another. Workers that are missing there are
// dropped.
func translateWorkers(list []int32, from, to *topology) []int32 {
	var found []int32
	for _, w := range list {
		if now := to.workerIndex(from.workers[w].Name); now != none {
			found = append(found, now)
		}
	}
	return found
}

// rebuild creates the ledger anew for a topology. It adds the placed gangs first. Then it binds guarantees around those
// that can't be checkpointed and those in guaranteed; repairGuarantees binds the others.
func (e *Engine) rebuild(topo *topology, guaranteed ...*gang) {
	e.ledger = newLedger(topo)
	for _, r := range e.grants {
		r.region = nil
	}
	for w := range topo.workers {
		e.ledger.setInService(int32(w), e.inServiceMask(int32(w)))
	}
	for _, g := range e.placed {
		e.ledger.occupy(g)
	}
	adoptable := slices.DeleteFunc(slices.Clone(e.placed), func(g *gang) bool {
		return g.Checkpointable && !slices.Contains(guaranteed, g)
	})
	slices.SortStableFunc(adoptable, func(a, b *gang) int {
		return cmp.Or(b.adoptionPriority()-a.adoptionPriority(), cmp.Compare(b.size(), a.size()), cmp.Compare(a.ID, b.ID))
	})
	for _, g := range adoptable {
		e.adopt(g, adoptable)
	}
	e.rebindNeeded = true
	e.load.dirty = true
}
