package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/work"
)

// TestLaterEndsOfAGangChangeNoRecord: the first end of a gang stands for all, so its job is recorded as ended once.
func TestLaterEndsOfAGangChangeNoRecord(t *testing.T) {
	r := newRig(t, 4)
	r.add("gang", work.Guaranteed, work.Step{Parts: 3, Need: large, Gang: true})
	r.engine.AttemptEnded(r.starts[0].Attempt, Done, "", r.now)
	changes := r.engine.TakeChanges(10, r.now)
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].Progress.State.Terminal())
	r.engine.ChangesWritten(changes)
	for _, s := range r.starts[1:] {
		r.engine.AttemptEnded(s.Attempt, Done, "", r.now)
	}
	assert.Equal(t, r.engine.PendingChanges(), 0)
	assert.Assert(t, !r.engine.HasOpenJob("gang"))
}

// repeated is a job of single parts that is due three times, once a second.
func (r *rig) repeated(parts int) *work.Job {
	return &work.Job{
		ID: "j", Account: "a", Terms: work.QueueSettings{Service: "s", Priority: 1, Failures: 3, Stretch: 3, Target: time.Second},
		Steps:  []work.Step{{Parts: parts, Need: small, Estimate: time.Second, Checkpoints: true}},
		Repeat: work.Repeat{Count: 3, StartMs: r.now.UnixMilli(), Interval: time.Second},
	}
}

// TestRecordedOccurrencesOutliveAClockStep: an engine whose clock is behind that of the one before it takes up all
// occurrences that were begun, and starts none of them again.
func TestRecordedOccurrencesOutliveAClockStep(t *testing.T) {
	r := newRig(t, 4)
	spec := r.repeated(1)
	r.engine.AddJob(spec, nil, r.now, r.now.UnixMilli())
	r.decide()
	r.end("j", Done)
	r.pass(time.Second)
	assert.Equal(t, len(r.starts), 2)
	recorded := r.engine.jobs["j"].progress()
	after := newRig(t, 4)
	after.now = after.now.Add(-5 * time.Second)
	after.engine.AddJob(spec, &recorded, after.now, after.now.UnixMilli())
	after.pass(time.Second)
	assert.DeepEqual(t, after.on("j"), r.on("j"))
	assert.Equal(t, len(after.starts), 0)
	after.pass(5 * time.Second)
	assert.Equal(t, len(after.starts), 0)
	after.pass(time.Second)
	assert.Equal(t, len(after.starts), 1)
	assert.Equal(t, after.starts[0].Attempt.Part.Occurrence, 2)
}

// TestOverlappingOccurrencesFitARecord: occurrences that pile up wait until the record of the others is small enough
// for a row, and all run in the end.
func TestOverlappingOccurrencesFitARecord(t *testing.T) {
	const rowBytes = 65536
	r := newRig(t, 400)
	spec := r.repeated(800)
	r.engine.AddJob(spec, nil, r.now, r.now.UnixMilli())
	for range 3 {
		r.pass(20 * time.Second)
		r.engine.ForEachAttempt(func(a work.Attempt, _ work.WorkerProcess) { r.engine.AttemptRunning(a, 10, "0123456789abcdef", r.now) })
		j := r.engine.jobs["j"]
		value, err := work.Encode(j.progress())
		assert.NilError(t, err)
		assert.Assert(t, len(value) < rowBytes, "%d bytes", len(value))
		r.end("j", Done)
	}
	assert.Equal(t, len(r.starts), 3*800)
	assert.Assert(t, !r.engine.HasOpenJob("j"))
}

// TestFailedGangCountsOnceAcrossATakeover: the failures of a gang's parts are one failed attempt, also when a new holder
// sees some of them.
func TestFailedGangCountsOnceAcrossATakeover(t *testing.T) {
	r := newRig(t, 4)
	r.add("gang", work.Guaranteed, work.Step{Parts: 2, Need: large, Gang: true})
	r.engine.AttemptEnded(r.starts[0].Attempt, Failed, "", r.now)
	j := r.engine.jobs["gang"]
	recorded := j.progress()
	after := newRig(t, 4)
	after.engine.AddJob(j.Job, &recorded, after.now, after.now.UnixMilli())
	after.engine.AttemptEnded(r.starts[1].Attempt, Failed, "", after.now)
	for attempt := 2; attempt <= 3; attempt++ {
		assert.Assert(t, after.engine.HasOpenJob("gang"), "failed before attempt %d", attempt)
		after.pass(time.Second)
		after.end("gang", Failed)
	}
	assert.Assert(t, !after.engine.HasOpenJob("gang"))
}
