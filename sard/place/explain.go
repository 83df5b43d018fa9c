package place

import (
	"fmt"
	"strings"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// Explain describes why a job waits, or where and why it was placed.
func (e *Engine) Explain(id ident.Job) Explanation {
	g, ok := e.gangs[id]
	if !ok {
		return Explanation{Job: id, State: "Unknown"}
	}
	x := Explanation{Job: id, State: g.phase.String(), Last: g.lastDecision}
	switch g.phase {
	case phaseWaiting:
		x.Waits, x.Needs = e.explainWait(g)
	case phaseClaiming:
		x.State = "Waiting"
		x.Waits = "the end of " + strings.Join(e.blockers(g), ", ")
		x.Needs = "their checkpoints, within " + e.graceFor(g).String()
	case phaseStopping:
		x.State = "Reclaiming"
		x.Parts = e.ledger.topo.parts(g.parts)
	default:
		x.Parts = e.ledger.topo.parts(g.parts)
	}
	return x
}

// explainWait describes what a waiting gang waits for and what would let it run.
func (e *Engine) explainWait(g *gang) (waits, needs string) {
	free, fits := e.ledger.freeTotal(), 0
	if e.ledger.topo.root != none {
		fits = int(e.ledger.free.summaries[e.ledger.topo.root].largestFit[sizeClass(max(g.size(), 1))])
	}
	switch {
	case e.ledger.topo.root == none:
		return "workers", "a worker in service"
	case e.now.Before(g.notBefore):
		return "the end of its pause", fmt.Sprintf("nothing; it is tried again in %s", g.notBefore.Sub(e.now).Round(time.Second))
	case !g.Checkpointable:
		return "its account's guarantee, beyond which a job that can't be checkpointed does not run",
			fmt.Sprintf("%d adjacent accelerators of a guarantee of %s; %s", g.size(), g.Account, g.account.describeGuarantees())
	case fits >= g.size():
		return "cells that are kept for other jobs", e.describeReservations()
	case int(free) >= g.size():
		return fmt.Sprintf("%d adjacent accelerators; %d are free, scattered", g.size(), free), e.describeNeed(g)
	default:
		return fmt.Sprintf("%d free accelerators; %d are free", g.size(), free), e.describeNeed(g)
	}
}

// describeNeed describes the free cell that would let a gang run.
func (e *Engine) describeNeed(g *gang) string {
	for _, r := range e.reserved {
		if r.gang == g {
			return fmt.Sprintf("its reserved cell of %d, expected at %s", e.ledger.topo.nodes[r.node].size, r.ready.UTC().Format(time.RFC3339))
		}
	}
	return fmt.Sprintf("a cell of %d accelerators to become free, or an unused guarantee; %s", 1<<sizeClass(g.size()), g.account.describeGuarantees())
}

// describeReservations lists the gangs for which cells are reserved and their expected starts.
func (e *Engine) describeReservations() string {
	var list []string
	for _, r := range e.reserved {
		if r.gang != nil {
			list = append(list, fmt.Sprintf("the start of %s, expected at %s", r.gang.ID, r.ready.UTC().Format(time.RFC3339)))
		}
	}
	if len(list) == 0 {
		return "the next decision"
	}
	return strings.Join(list, ", ")
}

// describeGuarantees describes how much of each of the account's guarantees is in use.
func (a *account) describeGuarantees() string {
	if len(a.grants) == 0 {
		return fmt.Sprintf("%s has no guarantee", a.name)
	}
	var list []string
	for _, r := range a.grants {
		list = append(list, fmt.Sprintf("%d of %d", r.usedSize(), r.size))
	}
	return fmt.Sprintf("%s uses %s", a.name, strings.Join(list, ", "))
}

// blockers returns the IDs of the jobs that still use accelerators claimed by g.
func (e *Engine) blockers(g *gang) []string {
	var ids []string
	for _, v := range e.placed {
		if v.overlaps(g.parts) {
			ids = append(ids, string(v.ID))
		}
	}
	return ids
}
