package place

import (
	"fmt"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// provenAfter is how long a probe runs until its worker counts as good.
const provenAfter = 10 * time.Minute

// health is what is known of a worker that is not simply in service.
type health struct {
	lost bool
	// failed are the jobs that failed on the worker since one last succeeded.
	failed []ident.Job
	// quarantined workers get one probe at a time.
	quarantined bool
	pause       time.Duration
	nextProbe   time.Time
	probe       *gang
}

func (e *Engine) healthOf(w ident.Worker) *health {
	h, ok := e.health[w]
	if !ok {
		h = &health{}
		e.health[w] = h
	}
	return h
}

// inService is the mask of a worker's accelerators that may be given out.
func (e *Engine) inService(w int32) uint64 {
	worker := &e.ledger.topo.workers[w]
	h := e.health[worker.Name]
	if worker.Leaving || (h != nil && (h.lost || h.quarantined)) {
		return 0
	}
	return fullMask(worker.Accelerators)
}

// serve brings a worker in or out of service.
func (e *Engine) serve(w int32) {
	e.ledger.setAlive(w, e.inService(w))
	e.resettle, e.nextSettle = true, time.Time{}
	e.load.dirty = true
}

func (e *Engine) lose(name ident.Worker) bool {
	h := e.healthOf(name)
	if h.lost {
		return false
	}
	h.lost = true
	if w, ok := e.ledger.topo.byName[name]; ok {
		e.serve(w)
	}
	return true
}

func (e *Engine) regain(name ident.Worker) bool {
	h := e.health[name]
	if h == nil || !h.lost {
		return false
	}
	h.lost = false
	if w, ok := e.ledger.topo.byName[name]; ok {
		e.serve(w)
	}
	return true
}

// learn takes in how an attempt ended: run times, and failures of workers and of the job.
func (e *Engine) learn(g *gang, ev Ended) {
	e.load.dirty = true
	probed := g.probe
	if probed != none {
		e.endProbe(g, ev)
	}
	if ev.Result == Succeeded {
		if !g.started.IsZero() {
			e.runTimes.add(&g.Job, g.done+e.now.Sub(g.started))
		}
		for _, p := range g.parts {
			if h := e.health[e.ledger.topo.workers[p.worker].Name]; h != nil {
				h.failed = nil
			}
		}
		return
	}
	for _, name := range ev.FailedWorkers {
		w, ok := e.ledger.topo.byName[name]
		if !ok || w == probed {
			continue
		}
		if !slices.Contains(g.blamed, w) {
			g.blamed = append(g.blamed, w)
		}
		e.blame(w, g)
	}
}

// blame counts a failure of a worker. A job that fails over and over on it counts once.
func (e *Engine) blame(w int32, g *gang) {
	h := e.healthOf(e.ledger.topo.workers[w].Name)
	if h.quarantined || h.lost {
		return
	}
	if !slices.Contains(h.failed, g.ID) {
		h.failed = append(h.failed, g.ID)
	}
	if e.config.QuarantineThreshold > 0 && len(h.failed) >= e.config.QuarantineThreshold {
		e.quarantine(w, h)
	}
}

func (e *Engine) quarantine(w int32, h *health) {
	h.quarantined = true
	e.quarantined = append(e.quarantined, e.ledger.topo.workers[w].Name)
	h.pause = e.config.InitialProbeBackoff
	h.nextProbe = e.now.Add(h.pause)
	e.serve(w)
	e.decide(Quarantine{
		Worker: e.ledger.topo.workers[w].Name,
		Reason: fmt.Sprintf("%d different jobs in a row failed on it", len(h.failed)),
	})
}

// failures counts the workers in good standing on which the gang failed.
func (e *Engine) failures(g *gang) int {
	n := 0
	for _, w := range g.blamed {
		if h := e.health[e.ledger.topo.workers[w].Name]; h == nil || !h.quarantined {
			n++
		}
	}
	return n
}

// pardon takes a hopeless job's failures off its workers' records.
func (e *Engine) pardon(g *gang) {
	for _, w := range g.blamed {
		if h := e.health[e.ledger.topo.workers[w].Name]; h != nil {
			h.failed = without(h.failed, g.ID)
		}
	}
}

// probe sends one gang to each quarantined worker whose pause has passed.
func (e *Engine) probe() {
	for _, name := range e.quarantined {
		w, ok := e.ledger.topo.byName[name]
		h := e.health[name]
		if !ok || h.lost || e.ledger.topo.workers[w].Leaving || h.probe != nil || e.now.Before(h.nextProbe) {
			continue
		}
		e.probeWorker(w, h)
	}
}

func (e *Engine) probeWorker(w int32, h *health) {
	s := &e.ledger.slots[w]
	spare := fullMask(e.ledger.topo.workers[w].Accelerators) &^ s.used &^ s.held
	for _, g := range e.waiting {
		if !g.Checkpointable || g.Urgent || slices.Contains(g.blamed, w) || e.now.Before(g.notBefore) {
			continue
		}
		var at *spot
		e.ledger.topo.workerSpots(w, g.size(), spare, func(s spot) { at = &s })
		if at == nil {
			continue
		}
		h.probe, g.probe = g, w
		set := takeBits(spare&at.block, g.size())
		if !e.place(g, []share{{worker: w, set: set}}, "probe of a quarantined worker") {
			h.probe, g.probe = nil, none
		}
		return
	}
}

// endProbe ends a worker's quarantine or lengthens the pause.
func (e *Engine) endProbe(g *gang, ev Ended) {
	h := e.healthOf(e.ledger.topo.workers[g.probe].Name)
	h.probe = nil
	switch {
	case !h.quarantined:
	case ev.Result == Succeeded:
		e.release(g.probe, h)
	default:
		if len(ev.FailedWorkers) > 0 {
			h.pause = min(2*h.pause, e.config.MaxProbeBackoff)
		}
		h.nextProbe = e.now.Add(h.pause)
	}
}

// releaseProven ends the quarantine of workers whose probe has run for long.
func (e *Engine) releaseProven() {
	for _, g := range e.placed {
		if g.probe == none || g.started.IsZero() || e.now.Sub(g.started) < provenAfter {
			continue
		}
		h := e.healthOf(e.ledger.topo.workers[g.probe].Name)
		h.probe = nil
		e.release(g.probe, h)
		g.probe = none
	}
}

func (e *Engine) release(w int32, h *health) {
	h.quarantined = false
	h.failed = nil
	e.quarantined = without(e.quarantined, e.ledger.topo.workers[w].Name)
	e.serve(w)
	e.decide(EndQuarantine{Worker: e.ledger.topo.workers[w].Name})
}
