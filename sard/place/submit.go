package place

import (
	"fmt"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// submit adds a job to the queue and reports whether the engine must try to place it: not if the job is known already,
// is refused or can't run for now.
func (e *Engine) submit(job Job) bool {
	if _, known := e.gangs[job.ID]; known {
		return false
	}
	g := &gang{Job: job, account: e.account(job.Account), probedWorker: none}
	e.gangs[job.ID] = g
	e.enqueue(g)
	return !e.refuseUnschedulable(g)
}

// enqueue adds a gang to the queue.
func (e *Engine) enqueue(g *gang) {
	g.phase = phaseWaiting
	g.estimate = e.runTimes.estimate(g)
	e.waiting = append(e.waiting, g)
	e.load.dirty = true
}

// dequeue removes a gang from the queue and drops its reservations.
func (e *Engine) dequeue(g *gang) {
	e.waiting = remove(e.waiting, g)
	e.dropReservation(g)
}

// forget removes a gang from the engine.
func (e *Engine) forget(g *gang) {
	delete(e.gangs, g.ID)
}

// refuse fails a waiting gang.
func (e *Engine) refuse(g *gang, reason string, args ...any) {
	e.dequeue(g)
	e.forget(g)
	e.emit(Refuse{Job: g.ID, Reason: fmt.Sprintf(reason, args...)})
}

// refuseUnschedulable reports whether a gang would not fit even if no other gang ran. It refuses the gang if it never
// will, or if the timeout has passed. Workers that are lost but still in the topology count as available.
func (e *Engine) refuseUnschedulable(g *gang) bool {
	n := g.size()
	topo := e.ledger.topo
	switch {
	case n < 1 || n > int(MaxGangSize):
		e.refuse(g, "a gang has 1 to %d accelerators, this one %d", MaxGangSize, n)
	case topo.root == none:
		return false
	case n > topo.totalAccelerators:
		return e.refuseAfterTimeout(g, "the data centre has %d accelerators, the gang needs %d", topo.totalAccelerators, n)
	case !g.Checkpointable && n > g.account.largestGuarantee():
		return e.refuseAfterTimeout(g, "a job that can't be checkpointed runs only within a guarantee; the largest of %s is %d, the gang needs %d",
			g.Account, g.account.largestGuarantee(), n)
	default:
		g.unschedulableSince = time.Time{}
		return false
	}
	return true
}

// refuseAfterTimeout refuses a gang that has been unschedulable for UnschedulableTimeout: until then missing
// workers may return, or a new document may guarantee what it needs.
func (e *Engine) refuseAfterTimeout(g *gang, reason string, args ...any) bool {
	if g.unschedulableSince.IsZero() {
		g.unschedulableSince = e.now
	}
	g.lastDecision = "can't run for now: " + fmt.Sprintf(reason, args...)
	if e.now.Sub(g.unschedulableSince) >= e.config.UnschedulableTimeout {
		e.refuse(g, reason, args...)
	}
	return true
}

// largestGuarantee returns the size of the account's largest guarantee, short or not.
func (a *account) largestGuarantee() int {
	n := 0
	for _, r := range a.grants {
		n = max(n, r.size)
	}
	return n
}

// cancel ends a job and reports whether that freed anything for other gangs.
func (e *Engine) cancel(id ident.Job) bool {
	g, ok := e.gangs[id]
	if !ok {
		return false
	}
	switch g.phase {
	case phaseWaiting:
		hadReservation := e.hasReservation(g)
		e.dequeue(g)
		e.forget(g)
		return hadReservation
	case phaseClaiming:
		e.dropClaim(g)
		e.forget(g)
		return true
	case phasePlaced, phaseReclaiming:
		g.phase = phaseStopping
		g.lastDecision = "stopped: cancelled"
		e.emit(Stop{Job: g.ID, Attempt: g.Attempt, Reason: "cancelled"})
	case phaseStopping:
	}
	return false
}

// attemptStarted records the start of an attempt.
func (e *Engine) attemptStarted(ev Started) bool {
	g, ok := e.gangs[ev.Job]
	if ok && g.hasAccelerators() && g.Attempt == ev.Attempt && g.started.IsZero() {
		g.started = e.now
	}
	return false
}

// attemptEnded releases the accelerators of an attempt, then removes its gang or returns it to the queue. It reports
// whether the attempt was known.
func (e *Engine) attemptEnded(ev Ended) bool {
	g, ok := e.gangs[ev.Job]
	if !ok || !g.hasAccelerators() || g.Attempt != ev.Attempt {
		return false
	}
	stopped := g.phase == phaseStopping
	e.vacate(g)
	if e.isRepeatedFailure(g, ev) {
		g.repeatedFailures++
	}
	e.recordOutcome(g, ev)
	switch {
	case ev.Result != Requeued || stopped:
		e.forget(g)
	default:
		e.requeue(g, ev)
	}
	e.startReadyClaims()
	return true
}

// requeue puts a gang back in the queue, or refuses it after too many failures.
func (e *Engine) requeue(g *gang, ev Ended) {
	if g.Checkpointable && !g.started.IsZero() && len(ev.FailedWorkers) == 0 {
		g.savedRunTime += e.now.Sub(g.started)
	}
	g.parts, g.started, g.probedWorker = nil, time.Time{}, none
	e.enqueue(g)
	if e.countFailedWorkers(g) >= e.config.MaxFailedWorkers {
		e.clearFailures(g)
		e.refuse(g, "failed on %d different workers that run other jobs", e.countFailedWorkers(g))
		return
	}
	if g.repeatedFailures >= e.config.MaxRepeatedFailures {
		e.clearFailures(g)
		e.refuse(g, "failed %d times again on the same workers", g.repeatedFailures)
	}
}

// isRepeatedFailure reports whether an attempt failed only on workers on which the gang had failed before.
func (e *Engine) isRepeatedFailure(g *gang, ev Ended) bool {
	if len(ev.FailedWorkers) == 0 {
		return false
	}
	for _, name := range ev.FailedWorkers {
		w, ok := e.ledger.topo.byName[name]
		if !ok || !slices.Contains(g.failedWorkers, w) {
			return false
		}
	}
	return true
}
