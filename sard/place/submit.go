package place

import (
	"fmt"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

func (e *Engine) submit(job Job) bool {
	if _, known := e.gangs[job.ID]; known {
		return false
	}
	g := &gang{Job: job, account: e.account(job.Account), probe: none}
	e.gangs[job.ID] = g
	e.wait(g)
	return !e.refuseHopeless(g)
}

// wait puts a gang into the queue.
func (e *Engine) wait(g *gang) {
	g.phase = phaseWaiting
	g.estimate = e.runTimes.estimate(g)
	e.waiting = append(e.waiting, g)
	e.load.dirty = true
}

// unwait takes a gang out of the queue.
func (e *Engine) unwait(g *gang) {
	e.waiting = without(e.waiting, g)
	e.dropReservation(g)
}

func (e *Engine) forget(g *gang) {
	delete(e.gangs, g.ID)
}

// refuse fails a waiting gang.
func (e *Engine) refuse(g *gang, reason string, args ...any) {
	e.unwait(g)
	e.forget(g)
	e.decide(Refuse{Job: g.ID, Reason: fmt.Sprintf(reason, args...)})
}

// refuseHopeless fails a gang that no free domain could run, and tells whether it did. Workers that are lost
// for a while count as there; those that left the topology don't.
func (e *Engine) refuseHopeless(g *gang) bool {
	n := g.size()
	topo := e.ledger.topo
	switch {
	case n < 1 || n > int(MaxGangSize):
		e.refuse(g, "a gang has 1 to %d accelerators, this one %d", MaxGangSize, n)
	case topo.root == none:
		return false
	case n > topo.nominal:
		return e.refuseLater(g, "the data centre has %d accelerators, the gang needs %d", topo.nominal, n)
	case !g.Checkpointable && n > g.account.largest():
		return e.refuseLater(g, "a job that can't be checkpointed runs only within a guarantee; the largest of %s is %d, the gang needs %d",
			g.Account, g.account.largest(), n)
	default:
		g.hopeless = time.Time{}
		return false
	}
	return true
}

// refuseLater fails a gang that has been hopeless for the configured time: workers that are missing may come back,
// and a later document may guarantee what it needs.
func (e *Engine) refuseLater(g *gang, reason string, args ...any) bool {
	if g.hopeless.IsZero() {
		g.hopeless = e.now
	}
	g.last = "can't run for now: " + fmt.Sprintf(reason, args...)
	if e.now.Sub(g.hopeless) >= e.config.UnschedulableTimeout {
		e.refuse(g, reason, args...)
	}
	return true
}

// largest is the size of the account's largest guarantee, short or not.
func (a *account) largest() int {
	n := 0
	for _, r := range a.grants {
		n = max(n, r.size)
	}
	return n
}

func (e *Engine) cancel(id ident.Job) bool {
	g, ok := e.gangs[id]
	if !ok {
		return false
	}
	switch g.phase {
	case phaseWaiting:
		held := e.holds(g)
		e.unwait(g)
		e.forget(g)
		return held
	case phaseClaiming:
		e.dropClaim(g)
		e.forget(g)
		return true
	case phasePlaced, phaseReclaiming:
		g.phase = phaseStopping
		g.last = "stopped: cancelled"
		e.decide(Stop{Job: g.ID, Attempt: g.Attempt, Reason: "cancelled"})
	case phaseStopping:
	}
	return false
}

func (e *Engine) start(ev Started) bool {
	g, ok := e.gangs[ev.Job]
	if ok && g.running() && g.Attempt == ev.Attempt && g.started.IsZero() {
		g.started = e.now
	}
	return false
}

// end frees the accelerators of an attempt.
func (e *Engine) end(ev Ended) bool {
	g, ok := e.gangs[ev.Job]
	if !ok || !g.running() || g.Attempt != ev.Attempt {
		return false
	}
	stopped := g.phase == phaseStopping
	e.vacate(g)
	if e.failsAgain(g, ev) {
		g.repeats++
	}
	e.learn(g, ev)
	switch {
	case ev.Result != Requeued || stopped:
		e.forget(g)
	default:
		e.requeue(g, ev)
	}
	e.settleClaims()
	return true
}

// requeue lets a gang wait again.
func (e *Engine) requeue(g *gang, ev Ended) {
	if g.Checkpointable && !g.started.IsZero() && len(ev.FailedWorkers) == 0 {
		g.done += e.now.Sub(g.started)
	}
	g.parts, g.started, g.probe = nil, time.Time{}, none
	e.wait(g)
	if e.failures(g) >= e.config.MaxFailedWorkers {
		e.pardon(g)
		e.refuse(g, "failed on %d different workers that run other jobs", e.failures(g))
		return
	}
	if g.repeats >= e.config.MaxRepeatedFailures {
		e.pardon(g)
		e.refuse(g, "failed %d times again on the same workers", g.repeats)
	}
}

// failsAgain tells whether an attempt failed only on workers on which the gang had failed before.
func (e *Engine) failsAgain(g *gang, ev Ended) bool {
	if len(ev.FailedWorkers) == 0 {
		return false
	}
	for _, name := range ev.FailedWorkers {
		w, ok := e.ledger.topo.byName[name]
		if !ok || !slices.Contains(g.blamed, w) {
			return false
		}
	}
	return true
}
