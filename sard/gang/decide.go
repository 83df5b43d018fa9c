package gang

import (
	"context"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// carryOut does what the engine has decided and logs it. The caller holds mu.
func (d *Scheduler) carryOut(decision place.Decision) {
	switch decision := decision.(type) {
	case place.Place:
		d.log.Info("place", "Job", decision.Job, "Attempt", decision.Attempt, "Parts", decision.Parts,
			"Borrowed", decision.Borrowed, "Reason", decision.Reason)
		d.place(decision)
	case place.Reclaim:
		d.log.Info("reclaim", "Job", decision.Job, "Attempt", decision.Attempt, "For", decision.Claimant,
			"Grace", decision.Grace, "Reason", decision.Reason)
		d.ask(decision.Job, decision.Attempt, ending{result: place.Requeued, reason: decision.Reason, grace: decision.Grace})
	case place.Stop:
		d.log.Info("stop", "Job", decision.Job, "Attempt", decision.Attempt, "Reason", decision.Reason)
		d.ask(decision.Job, decision.Attempt, ending{result: place.Requeued, reason: decision.Reason})
	case place.Refuse:
		d.log.Info("refuse", "Job", decision.Job, "Reason", decision.Reason)
		if j, ok := d.jobs[decision.Job]; ok {
			d.finishQueued(j, ident.Failed, decision.Reason)
		}
	case place.Quarantine:
		d.log.Warn("quarantine", "Worker", decision.Worker, "Reason", decision.Reason)
	case place.EndQuarantine:
		d.log.Info("release from quarantine", "Worker", decision.Worker)
	case place.Shortage:
		d.log.Warn("guarantee short", "Account", decision.Account, "Accelerators", decision.Accelerators, "Missing", decision.Missing)
	}
}

// place starts an attempt, unless another may still run. The caller holds mu.
func (d *Scheduler) place(decision place.Place) {
	j, ok := d.jobs[decision.Job]
	if !ok || j.attempt != nil || j.busy || j.record.State != ident.Queued || decision.Attempt <= j.record.Attempt {
		_ = d.breach("OneAttempt", decision.Job, "an attempt was placed for a job that does not wait")
		return
	}
	a := d.newAttempt(j, decision.Attempt, decision.Parts)
	a.borrowed = decision.Borrowed
	d.start(func(ctx context.Context) { a.run(ctx, decision) })
}

// ask asks an attempt to end. The caller holds mu.
func (d *Scheduler) ask(id ident.Job, number ident.Attempt, e ending) {
	j, ok := d.jobs[id]
	if !ok || j.attempt == nil || j.attempt.number != number {
		return
	}
	j.attempt.request(e)
}
