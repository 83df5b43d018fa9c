package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/work"
)

// A stray is a run of an attempt that the engine does not account for on its worker: one that has ended as far as it knows, or that
// a later attempt has replaced. It comes from a start request that was executed late. The scheduler stops it, and tells the engine of
// it, so that the part does not run twice meanwhile and that its work is not done again.

// StrayBegan records that a stray runs. Its part is not placed until StrayEnded. It returns false if the attempt is not known.
func (e *Engine) StrayBegan(a work.Attempt) bool {
	g := e.attemptGroup(a)
	if g == nil {
		return false
	}
	g.strays++
	return true
}

// StrayEnded records that a stray of which StrayBegan knew does not run any more.
func (e *Engine) StrayEnded(a work.Attempt) {
	if g := e.attemptGroup(a); g != nil {
		g.strays--
	}
}

// StrayDone records that a stray has ended with success, which completes its part. It returns false if the part was complete, or if
// it lasts and so is never complete.
func (e *Engine) StrayDone(a work.Attempt) bool {
	g := e.attemptGroup(a)
	if g == nil || g.phase == done || g.job.state.Terminal() || g.spec().Lasting {
		return false
	}
	g.job.begun = true
	e.markDirty(g.job)
	e.stopGroup(g, ReasonStrayDone)
	e.completeGroup(g)
	return true
}

// attemptGroup returns the group that made an attempt, or nil if it is not known.
func (e *Engine) attemptGroup(a work.Attempt) *group {
	j := e.jobs[a.Part.Job]
	if j == nil {
		return nil
	}
	p := j.findPart(a.Part)
	if p == nil || a.Number > p.group.attempt {
		return nil
	}
	return p.group
}

// due reports whether the group waits to be placed.
func (g *group) due(now time.Time) bool {
	return g.phase == waiting && !now.Before(g.retryAt) && g.strays == 0
}
