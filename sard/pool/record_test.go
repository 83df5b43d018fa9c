package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/work"
)

// TestGangCompletionIsRecordedOnce checks that the first successful end of a gang's part completes the gang, and that
// the ends of its other parts do not change the job's record again.
func TestGangCompletionIsRecordedOnce(t *testing.T) {
	h := newHarness(t, 4)
	h.addJob("gang", work.Guaranteed, work.Step{Parts: 3, Need: largePart, Gang: true})
	h.engine.AttemptEnded(h.starts[0].Attempt, Done, "", h.now)
	changes := h.engine.TakeChanges(10, h.now)
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].Progress.State.Terminal())
	h.engine.ChangesWritten(changes)
	for _, s := range h.starts[1:] {
		h.engine.AttemptEnded(s.Attempt, Done, "", h.now)
	}
	assert.Equal(t, h.engine.PendingChanges(), 0)
	assert.Assert(t, !h.engine.HasOpenJob("gang"))
}

// repeatingJob returns a job of independent parts with three occurrences, one second apart.
func (h *harness) repeatingJob(parts int) *work.Job {
	return &work.Job{
		ID: "j", Account: "a", Terms: work.QueueSettings{Service: "s", Priority: 1, Failures: 3, Stretch: 3, Target: time.Second},
		Steps:  []work.Step{{Parts: parts, Need: smallPart, Estimate: time.Second, Checkpoints: true}},
		Repeat: work.Repeat{Count: 3, StartMs: h.now.UnixMilli(), Interval: time.Second},
	}
}

// TestRestoreKeepsOccurrencesAfterClockStepsBack checks that an engine whose clock is behind its predecessor's restores
// all started occurrences and starts none of them again.
func TestRestoreKeepsOccurrencesAfterClockStepsBack(t *testing.T) {
	h := newHarness(t, 4)
	spec := h.repeatingJob(1)
	h.engine.AddJob(spec, nil, h.now, h.now.UnixMilli())
	h.decide()
	h.endJob("j", Done)
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 2)
	recorded := h.engine.jobs["j"].progressRecord()
	restored := newHarness(t, 4)
	restored.now = restored.now.Add(-5 * time.Second)
	restored.engine.AddJob(spec, &recorded, restored.now, restored.now.UnixMilli())
	restored.advance(time.Second)
	assert.DeepEqual(t, restored.workersOf("j"), h.workersOf("j"))
	assert.Equal(t, len(restored.starts), 0)
	restored.advance(5 * time.Second)
	assert.Equal(t, len(restored.starts), 0)
	restored.advance(time.Second)
	assert.Equal(t, len(restored.starts), 1)
	assert.Equal(t, restored.starts[0].Attempt.Part.Occurrence, 2)
}

// TestOverlappingOccurrencesFitOneRow checks that overlapping occurrences are delayed until the job's record fits in
// one row, and that all of them run eventually.
func TestOverlappingOccurrencesFitOneRow(t *testing.T) {
	const rowBytes = 65536
	h := newHarness(t, 400)
	spec := h.repeatingJob(800)
	h.engine.AddJob(spec, nil, h.now, h.now.UnixMilli())
	for range 3 {
		h.advance(20 * time.Second)
		h.engine.ForEachAttempt(func(a work.Attempt, _ work.WorkerProcess) { h.engine.AttemptRunning(a, 10, "0123456789abcdef", h.now) })
		j := h.engine.jobs["j"]
		value, err := work.Encode(j.progressRecord())
		assert.NilError(t, err)
		assert.Assert(t, len(value) < rowBytes, "%d bytes", len(value))
		h.endJob("j", Done)
	}
	assert.Equal(t, len(h.starts), 3*800)
	assert.Assert(t, !h.engine.HasOpenJob("j"))
}

// maxRepeatingRecordBytes is the size that the record of a job with single parts never exceeds, however often it repeats.
const maxRepeatingRecordBytes = 1 << 10

// TestRecordOfManyOccurrences guards against the record of a repeating job that grows with each occurrence until the store
// refuses it. A new holder, which reads it now and then, runs each occurrence once.
func TestRecordOfManyOccurrences(t *testing.T) {
	const occurrences, perHolder = 100_000, 9973
	h := newHarness(t, 2)
	spec := h.repeatingJob(1)
	spec.Repeat = work.Repeat{Count: occurrences, StartMs: h.now.UnixMilli(), Interval: 2 * time.Millisecond}
	h.engine.AddJob(spec, nil, h.now, h.now.UnixMilli())
	next := 0
	for next < occurrences {
		h.advance(2 * time.Millisecond)
		h.engine.ForEachAttempt(func(a work.Attempt, _ work.WorkerProcess) {
			assert.Equal(t, a.Part.Occurrence, next)
			next++
			h.engine.AttemptEnded(a, Done, "", h.now)
		})
		j := h.engine.jobs["j"]
		if next%perHolder != 0 || j == nil {
			continue
		}
		recorded := j.progressRecord()
		value, err := work.Encode(recorded)
		assert.NilError(t, err)
		assert.Assert(t, len(value) <= maxRepeatingRecordBytes, "%d bytes after %d occurrences", len(value), next)
		assert.Assert(t, len(j.occurrences) < maxKeptOccurrences)
		restored := newHarness(t, 2)
		restored.now = h.now
		restored.engine.AddJob(spec, &recorded, h.now, h.now.UnixMilli())
		h = restored
	}
	h.decide()
	assert.Equal(t, h.engine.jobs["j"] == nil, true)
}

// TestOccurrencesBehindAnUnfinishedOne checks that a job goes on while one of its occurrences does not end, up to
// maxKeptOccurrences, and that a new holder knows which are complete.
func TestOccurrencesBehindAnUnfinishedOne(t *testing.T) {
	h := newHarness(t, 2)
	spec := h.repeatingJob(1)
	spec.Repeat = work.Repeat{Count: 2 * maxKeptOccurrences, StartMs: h.now.UnixMilli(), Interval: time.Millisecond}
	h.engine.AddJob(spec, nil, h.now, h.now.UnixMilli())
	ended := map[int]bool{}
	endOthers := func() {
		h.engine.ForEachAttempt(func(a work.Attempt, _ work.WorkerProcess) {
			if a.Part.Occurrence > 0 {
				assert.Assert(t, !ended[a.Part.Occurrence])
				ended[a.Part.Occurrence] = true
				h.engine.AttemptEnded(a, Done, "", h.now)
			}
		})
	}
	for range maxKeptOccurrences + 100 {
		h.advance(time.Millisecond)
		endOthers()
	}
	assert.Equal(t, len(ended), maxKeptOccurrences-1)
	recorded := h.engine.jobs["j"].progressRecord()
	puts, err := work.EncodeProgress("j", recorded)
	assert.NilError(t, err)
	assert.Equal(t, len(puts), 1)
	restored := newHarness(t, 2)
	restored.now = h.now
	restored.engine.AddJob(spec, &recorded, h.now, h.now.UnixMilli())
	h = restored
	h.endJob("j", Done)
	for range maxKeptOccurrences + 100 {
		h.advance(time.Millisecond)
		endOthers()
	}
	assert.Equal(t, len(ended), 2*maxKeptOccurrences-1)
}

// TestGangFailureCountsOnceAcrossTakeover checks that failures of several parts of a gang count as one failed attempt,
// even if a new lease holder receives some of them.
func TestGangFailureCountsOnceAcrossTakeover(t *testing.T) {
	h := newHarness(t, 4)
	h.addJob("gang", work.Guaranteed, work.Step{Parts: 2, Need: largePart, Gang: true})
	h.engine.AttemptEnded(h.starts[0].Attempt, Failed, "", h.now)
	j := h.engine.jobs["gang"]
	recorded := j.progressRecord()
	restored := newHarness(t, 4)
	restored.engine.AddJob(j.Job, &recorded, restored.now, restored.now.UnixMilli())
	restored.engine.AttemptEnded(h.starts[1].Attempt, Failed, "", restored.now)
	for attempt := 2; attempt <= 3; attempt++ {
		assert.Assert(t, restored.engine.HasOpenJob("gang"), "failed before attempt %d", attempt)
		restored.advance(time.Second)
		restored.endJob("gang", Failed)
	}
	assert.Assert(t, !restored.engine.HasOpenJob("gang"))
}
