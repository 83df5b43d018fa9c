package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// teach lets jobs of two parts run for the given time, though their estimates differ from it by factors either way.
func (h *harness) teach(runTime time.Duration) {
	h.t.Helper()
	for i := range 24 {
		id := ident.Job(fmt.Sprint("taught", i))
		h.addJob(id, 1, work.Step{Parts: 2, Need: smallPart, Estimate: runTime * time.Duration(1+i%19) / 10})
		h.advance(runTime)
		h.endJob(id, Done)
	}
}

// TestForecastReplacesWrongEstimates checks that forecasts, and what is derived from them, follow the run times of the queue
// once they are known, however far off the estimates are, and that the estimates are used as they are without the setting.
func TestForecastReplacesWrongEstimates(t *testing.T) {
	const usual = 4 * time.Second
	tests := []struct {
		estimate time.Duration
		runTimes bool
	}{{usual / 10, true}, {usual * 19 / 10, true}, {usual, true}, {usual / 10, false}, {usual * 19 / 10, false}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			h := newHarness(t, 2)
			if test.runTimes {
				h = newRunTimesHarness(t, 2)
			}
			h.teach(usual)
			h.addJob("job", 1, work.Step{Parts: 2, Need: smallPart, Estimate: test.estimate})
			j := h.engine.jobs["job"]
			g := j.occurrences[0].steps[0].groups[0]
			expected, tolerance := test.estimate, time.Duration(0)
			if test.runTimes {
				expected, tolerance = usual, usual*3/10
			}
			near := func(d time.Duration) bool { return (d - expected).Abs() <= tolerance }
			assert.Assert(t, near(h.engine.forecast(g).Typical), "%v", h.engine.forecast(g))
			assert.Assert(t, near(j.expectedPath()), "%v", j.expectedPath())
			assert.Assert(t, near(h.engine.expectedEnd(g).Sub(h.now)))
			assert.Assert(t, near((j.objective()-time.Second)/3), "%v", j.objective())
		})
	}
}

// TestRateReplacesForecast checks that a job whose own progress shows how long it takes is judged by that, with slack for
// its objective.
func TestRateReplacesForecast(t *testing.T) {
	h := newRunTimesHarness(t, 2)
	h.teach(2 * time.Second)
	h.addJob("long", 1, work.Step{Parts: 4, Need: smallPart, Estimate: 2 * time.Second})
	h.progressOn(6*time.Second, func(ident.Job, ident.Worker) float64 { return 5 })
	j := h.engine.jobs["long"]
	// The speed that is learned of the two workers from so little work may be off by a seventh.
	assert.Assert(t, (j.expectedPath()-20*time.Second).Abs() < 3*time.Second, "%v", j.expectedPath())
	assert.Equal(t, j.urgency(h.now).class, onTimeClass)
}

// TestDoneStepsLeaveSlack checks that a step that is done counts against a job's slack by the time that it took: what is
// left is the target less the time for which the next step waited.
func TestDoneStepsLeaveSlack(t *testing.T) {
	h := newRunTimesHarness(t, 2)
	step := work.Step{Parts: 1, Need: smallPart, Estimate: 10 * time.Second}
	second := step
	second.After = []int{0}
	h.engine.AddJob(&work.Job{
		ID: "chain", Account: "a", Steps: []work.Step{step, second}, AcceptedMs: h.now.UnixMilli(),
		Terms: work.QueueSettings{Service: "s", Priority: 1, Failures: 3, Stretch: 1, Target: time.Second},
	}, nil, h.now, h.now.UnixMilli())
	h.decide()
	assert.Equal(t, h.engine.jobs["chain"].urgency(h.now).slack, time.Second)
	h.advance(5 * time.Second)
	h.endJob("chain", Done)
	h.advance(time.Second)
	slack := h.engine.jobs["chain"].urgency(h.now).slack
	assert.Equal(t, slack, time.Duration(0))
}

// TestNextHolderForecastsTheSame checks that an engine that takes over what another one has learned forecasts the same.
func TestNextHolderForecastsTheSame(t *testing.T) {
	h, next := newRunTimesHarness(t, 2), newRunTimesHarness(t, 2)
	h.teach(4 * time.Second)
	next.engine.RestoreLearned(h.engine.Learned(h.now), next.now)
	step := work.Step{Parts: 2, Need: smallPart, Estimate: 400 * time.Millisecond}
	h.addJob("job", 1, step)
	next.addJob("job", 1, step)
	forecasts := [2]time.Duration{}
	for i, e := range []*Engine{h.engine, next.engine} {
		forecasts[i] = e.forecast(e.jobs["job"].occurrences[0].steps[0].groups[0]).Typical
	}
	assert.Assert(t, (forecasts[0]-forecasts[1]).Abs() < 10*time.Millisecond, "%v", forecasts)
}
