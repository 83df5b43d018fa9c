package place

import (
	"fmt"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// probeSuccessAfter is how long a gang must run on a quarantined worker until the worker counts as healthy.
const probeSuccessAfter = 10 * time.Minute

// workerHealth is the state of a worker that was lost or on which jobs failed.
type workerHealth struct {
	lost bool
	// failedJobs are the jobs that failed on the worker since the last success there.
	failedJobs []ident.Job
	// quarantined workers run one probe at a time.
	quarantined bool
	// backoff is the pause before the next probe.
	backoff   time.Duration
	nextProbe time.Time
	probe     *gang
}

// healthRecord returns the health of a worker, which it creates if there is none.
func (e *Engine) healthRecord(w ident.Worker) *workerHealth {
	h, ok := e.health[w]
	if !ok {
		h = &workerHealth{}
		e.health[w] = h
	}
	return h
}

// inServiceMask returns the accelerators of a worker that are in service: all, or none if it is leaving, lost or
// quarantined.
func (e *Engine) inServiceMask(w int32) uint64 {
	worker := &e.ledger.topo.workers[w]
	h := e.health[worker.Name]
	if worker.Leaving || (h != nil && (h.lost || h.quarantined)) {
		return 0
	}
	return fullMask(worker.Accelerators)
}

// updateService updates the ledger after a worker went in or out of service.
func (e *Engine) updateService(w int32) {
	e.ledger.setInService(w, e.inServiceMask(w))
	e.rebindNeeded, e.nextRebind = true, time.Time{}
	e.load.dirty = true
}

// workerLost takes a worker out of service and reports whether anything changed.
func (e *Engine) workerLost(name ident.Worker) bool {
	h := e.healthRecord(name)
	if h.lost {
		return false
	}
	h.lost = true
	if w, ok := e.ledger.topo.byName[name]; ok {
		e.updateService(w)
	}
	return true
}

// workerRecovered puts a lost worker back in service and reports whether anything changed.
func (e *Engine) workerRecovered(name ident.Worker) bool {
	h := e.health[name]
	if h == nil || !h.lost {
		return false
	}
	h.lost = false
	if w, ok := e.ledger.topo.byName[name]; ok {
		e.updateService(w)
	}
	return true
}

// recordOutcome records what an ended attempt shows: the run time of its job, and success or failure on its workers.
func (e *Engine) recordOutcome(g *gang, ev Ended) {
	e.load.dirty = true
	probedWorker := g.probedWorker
	if probedWorker != none {
		e.endProbe(g, ev)
	}
	if ev.Result == Succeeded {
		if !g.started.IsZero() {
			e.runTimes.observe(&g.Job, g.savedRunTime+e.now.Sub(g.started))
		}
		for _, p := range g.parts {
			if h := e.health[e.ledger.topo.workers[p.worker].Name]; h != nil {
				h.failedJobs = nil
			}
		}
		return
	}
	isolated := e.isIsolatedFailure(g, ev)
	if isolated {
		g.isolatedFailures++
		g.repeatedFailures = 0
	}
	for _, name := range ev.FailedWorkers {
		w, ok := e.ledger.topo.byName[name]
		if !ok || w == probedWorker {
			continue
		}
		if !slices.Contains(g.failedWorkers, w) {
			g.failedWorkers = append(g.failedWorkers, w)
		}
		e.recordFailure(w, g, isolated)
	}
}

// isIsolatedFailure reports whether a gang has failed so often, each time on the same few of its workers, that these workers
// are suspected in place of the gang. A gang that other workers have been suspected for is at fault itself.
func (e *Engine) isIsolatedFailure(g *gang, ev Ended) bool {
	if e.config.QuarantineThreshold <= 0 || g.repeatedFailures < e.config.MaxRepeatedFailures || g.isolatedFailures >= e.config.MaxFailedWorkers-1 {
		return false
	}
	failed := 0
	for _, p := range g.parts {
		if slices.Contains(g.failedWorkers, p.worker) {
			failed++
		}
	}
	return failed < len(g.parts) && failed == len(ev.FailedWorkers)
}

// recordFailure records a failure of a gang on worker w. It quarantines the worker if the failure is isolated, or when
// enough different jobs in a row have failed there. Repeated failures of one job count once.
func (e *Engine) recordFailure(w int32, g *gang, isolated bool) {
	h := e.healthRecord(e.ledger.topo.workers[w].Name)
	if h.quarantined || h.lost {
		return
	}
	if !slices.Contains(h.failedJobs, g.ID) {
		h.failedJobs = append(h.failedJobs, g.ID)
	}
	switch {
	case isolated:
		e.quarantine(w, h, fmt.Sprintf("job %s failed again and again only on it", g.ID))
	case e.config.QuarantineThreshold > 0 && len(h.failedJobs) >= e.config.QuarantineThreshold:
		e.quarantine(w, h, fmt.Sprintf("%d different jobs in a row failed on it", len(h.failedJobs)))
	}
}

// quarantine takes a worker out of service until a probe succeeds on it.
func (e *Engine) quarantine(w int32, h *workerHealth, reason string) {
	h.quarantined = true
	e.quarantined = append(e.quarantined, e.ledger.topo.workers[w].Name)
	h.backoff = e.config.InitialProbeBackoff
	h.nextProbe = e.now.Add(h.backoff)
	e.updateService(w)
	e.emit(Quarantine{Worker: e.ledger.topo.workers[w].Name, Reason: reason})
}

// countFailedWorkers counts the workers outside quarantine on which the gang failed.
func (e *Engine) countFailedWorkers(g *gang) int {
	n := 0
	for _, w := range g.failedWorkers {
		if h := e.health[e.ledger.topo.workers[w].Name]; h == nil || !h.quarantined {
			n++
		}
	}
	return n
}

// clearFailures removes a refused job from the failure records of its workers.
func (e *Engine) clearFailures(g *gang) {
	for _, w := range g.failedWorkers {
		if h := e.health[e.ledger.topo.workers[w].Name]; h != nil {
			h.failedJobs = remove(h.failedJobs, g.ID)
		}
	}
}

// startProbes places a gang as a probe on each quarantined worker whose pause between probes has passed.
func (e *Engine) startProbes() {
	for _, name := range e.quarantined {
		w, ok := e.ledger.topo.byName[name]
		h := e.health[name]
		if !ok || h.lost || e.ledger.topo.workers[w].Leaving || h.probe != nil || e.now.Before(h.nextProbe) {
			continue
		}
		e.probeWorker(w, h)
	}
}

// probeWorker places the first suitable waiting gang on a quarantined worker.
func (e *Engine) probeWorker(w int32, h *workerHealth) {
	s := &e.ledger.states[w]
	unused := fullMask(e.ledger.topo.workers[w].Accelerators) &^ s.used &^ s.claimed
	for _, g := range e.waiting {
		if !g.Checkpointable || g.Urgent || slices.Contains(g.failedWorkers, w) || e.now.Before(g.notBefore) {
			continue
		}
		var found *candidate
		e.ledger.topo.visitBlocks(w, g.size(), unused, func(s candidate) { found = &s })
		if found == nil {
			continue
		}
		h.probe, g.probedWorker = g, w
		set := pickBits(unused&found.block, g.size())
		if !e.place(g, []workerPart{{worker: w, set: set}}, "probe of a quarantined worker") {
			h.probe, g.probedWorker = nil, none
		}
		return
	}
}

// endProbe processes the end of a gang that probed a worker. It ends the worker's quarantine after a success, else it
// schedules the next probe.
func (e *Engine) endProbe(g *gang, ev Ended) {
	h := e.healthRecord(e.ledger.topo.workers[g.probedWorker].Name)
	h.probe = nil
	switch {
	case !h.quarantined:
	case ev.Result == Succeeded:
		e.endQuarantine(g.probedWorker, h)
	default:
		if len(ev.FailedWorkers) > 0 {
			h.backoff = min(2*h.backoff, e.config.MaxProbeBackoff)
		}
		h.nextProbe = e.now.Add(h.backoff)
	}
}

// releaseProbedWorkers ends the quarantine of workers whose probe has run for probeSuccessAfter.
func (e *Engine) releaseProbedWorkers() {
	for _, g := range e.placed {
		if g.probedWorker == none || g.started.IsZero() || e.now.Sub(g.started) < probeSuccessAfter {
			continue
		}
		h := e.healthRecord(e.ledger.topo.workers[g.probedWorker].Name)
		h.probe = nil
		e.endQuarantine(g.probedWorker, h)
		g.probedWorker = none
	}
}

// endQuarantine puts a quarantined worker back in service.
func (e *Engine) endQuarantine(w int32, h *workerHealth) {
	h.quarantined = false
	h.failedJobs = nil
	e.quarantined = remove(e.quarantined, e.ledger.topo.workers[w].Name)
	e.updateService(w)
	e.emit(EndQuarantine{Worker: e.ledger.topo.workers[w].Name})
}
