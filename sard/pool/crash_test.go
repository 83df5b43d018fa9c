package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// crash crashes the worker of the only attempt of a job, which is on probation, then runs decide.
func (h *harness) crash(id ident.Job) {
	h.t.Helper()
	h.engine.ForEachAttempt(func(a work.Attempt, process work.WorkerProcess) {
		if a.Part.Job == id {
			h.engine.CountCrash(a, process, LikelyCrash, h.now)
			h.engine.ProcessLost(process, h.now)
		}
	})
	h.decide()
}

// TestRestoreKeepsCrashes guards against counts of crashes that a new lease holder does not know.
func TestRestoreKeepsCrashes(t *testing.T) {
	h := newHarness(t, 4)
	h.addJob("job", 1, work.Step{Parts: 1, Need: smallPart})
	h.crash("job")
	h.advance(retryDelay)
	h.crash("job")
	j := h.engine.jobs["job"]
	recorded := j.progressRecord()
	restored := newHarness(t, 4)
	restored.engine.AddJob(j.Job, &recorded, restored.now, restored.now.UnixMilli())
	restored.advance(time.Second)
	assert.Equal(t, len(restored.starts), 1)
	restored.crash("job")
	assert.Assert(t, !restored.engine.HasOpenJob("job"))
}

// TestCrashCountsOncePerAttempt guards against members of a gang that are given up because the workers of different members
// have crashed. Each member counts one crash of an attempt, and one more when it was started again in a later process.
func TestCrashCountsOncePerAttempt(t *testing.T) {
	h := newHarness(t, 4)
	h.addJob("gang", 1, work.Step{Parts: 2, Need: largePart, Gang: true})
	first, second := h.starts[0], h.starts[1]
	assert.Equal(t, h.engine.CountCrash(first.Attempt, first.Worker, LikelyCrash, h.now).Crashes, 1)
	assert.Equal(t, h.engine.CountCrash(second.Attempt, second.Worker, LikelyCrash, h.now).Crashes, 1)
	assert.Equal(t, h.engine.CountCrash(first.Attempt, first.Worker, LikelyCrash, h.now).Crashes, 0)
	later := first.Worker
	later.StartedMs++
	assert.Equal(t, h.engine.CountCrash(first.Attempt, later, LikelyCrash, h.now).Crashes, 2)
}

// TestStartsAfterPossibleCrashes guards against parts that start again and again after several workers may have crashed
// under them, because their attempts end otherwise before they have survived the probation.
func TestStartsAfterPossibleCrashes(t *testing.T) {
	h := newHarness(t, 4)
	h.addJob("job", 1, work.Step{Parts: 1, Need: smallPart})
	ends := 0
	for ; h.engine.HasOpenJob("job") && ends < 10; ends++ {
		h.engine.ForEachAttempt(func(a work.Attempt, process work.WorkerProcess) {
			end := Stopped
			if ends < crashLimit {
				h.engine.CountCrash(a, process, PossibleCrash, h.now)
				end = Lost
			}
			h.engine.AttemptEnded(a, end, "", h.now)
		})
		h.advance(retryDelay)
	}
	assert.Equal(t, ends, crashLimitPossible)
}

// TestSurvivedProbationClearsCrashes checks that a part which has run for its probation is no suspect any more.
func TestSurvivedProbationClearsCrashes(t *testing.T) {
	h := newHarness(t, 4)
	h.addJob("job", 1, work.Step{Parts: 1, Need: smallPart})
	for range 2 * crashLimit {
		h.crash("job")
		h.advance(retryDelay)
		h.engine.AttemptSurvived(h.starts[len(h.starts)-1].Attempt)
		h.decide()
	}
	assert.Assert(t, h.engine.HasOpenJob("job"))
}

// TestSuspectsStartInIsolation guards against suspects that wait for ever on a busy pool, and against parts that start
// beside them: if the worker crashes, it is not known by which.
func TestSuspectsStartInIsolation(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob("suspect", 1, work.Step{Parts: 1, Need: smallPart})
	h.crash("suspect")
	for i := range 2 {
		h.engine.nodes[i].lastStart = h.now
	}
	h.advance(retryDelay)
	assert.Equal(t, len(h.starts), 1)
	h.addJob("other", 1, work.Step{Parts: 2, Need: smallPart, Estimate: time.Millisecond})
	h.advance(Probation)
	assert.Equal(t, len(h.workersOf("suspect")), 1)
	h.addJob("third", 1, work.Step{Parts: 2, Need: smallPart, Estimate: time.Millisecond})
	others := append(h.workersOf("other"), h.workersOf("third")...)
	assert.Equal(t, len(others), 4)
	for _, w := range others {
		assert.Assert(t, w != h.workersOf("suspect")[0])
	}
}
