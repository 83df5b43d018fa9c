package pool

import (
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// applySettings brings the settings of a job up to date. If they allow fewer failures than before, a group that waits may have
// no attempt left, so that its job has failed.
func (e *Engine) applySettings(j *job, settings work.QueueSettings) {
	lowered := settings.Failures < j.settings.Failures
	j.settings = settings
	if lowered && !j.state.Terminal() {
		e.failIfExhausted(j)
	}
}

// failIfExhausted ends a job of which a group that waits has no attempt left.
func (e *Engine) failIfExhausted(j *job) {
	exhausted := false
	j.forEachGroup(func(g *group) { exhausted = exhausted || g.phase == waiting && g.attemptsExhausted() })
	if exhausted {
		e.endJob(j, ident.Failed, ReasonFailed)
	}
}
