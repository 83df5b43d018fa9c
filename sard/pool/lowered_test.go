package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// TestLoweredFailureLimit guards against parts that wait without end, rejected once a second, because their queue allows fewer
// failures since their last one than they have had.
func TestLoweredFailureLimit(t *testing.T) {
	h := newHarness(t, 2)
	failures := 3
	h.engine.config.QueueSettings = func(j *work.Job) work.QueueSettings {
		settings := j.Terms
		settings.Failures = failures
		return settings
	}
	h.addJob("job", 1, work.Step{Parts: 1, Need: smallPart})
	h.endJob("job", Failed)
	failures = 1
	h.advance(time.Second)
	assert.Equal(t, h.engine.HasOpenJob("job"), false)
	assert.Equal(t, len(h.starts), 1)
}

// TestLoweredFailureLimitSparesRunningParts guards against work that is stopped because its queue allows fewer failures.
func TestLoweredFailureLimitSparesRunningParts(t *testing.T) {
	h := newHarness(t, 2)
	failures := 3
	h.engine.config.QueueSettings = func(j *work.Job) work.QueueSettings {
		settings := j.Terms
		settings.Failures = failures
		return settings
	}
	h.addJob("job", 1, work.Step{Parts: 1, Need: smallPart})
	h.endJob("job", Failed)
	h.advance(retryDelay)
	failures = 1
	h.advance(time.Second)
	assert.Equal(t, h.engine.jobs["job"].state, ident.Running)
	assert.Equal(t, len(h.stops), 0)
}
