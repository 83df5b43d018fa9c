package pool

import (
	"fmt"
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
		h.advance(Probation)
	}
	assert.Equal(t, ends, crashLimitPossible)
}

// TestCrashesOfOneHost guards against a job that is given up because the worker of one host crashes again and again before it
// has told of a start. Nothing shows that a part of the job has ever begun.
func TestCrashesOfOneHost(t *testing.T) {
	for _, renamed := range []bool{false, true} {
		t.Run(fmt.Sprintf("renamed %v", renamed), func(t *testing.T) {
			h := newHarness(t, 1)
			worker := h.engine.nodes[0].Worker
			worker.Host = "host"
			h.engine.SetWorker(worker)
			h.addJob("job", 1, work.Step{Parts: 1, Need: smallPart})
			for range 3 * crashLimitPossible {
				h.crashPossibly("job")
				worker.StartedMs++
				if renamed {
					h.engine.DropWorker(worker.Worker)
					worker.Worker += "x"
				}
				h.engine.SetWorker(worker)
				h.advance(isolationLimit)
			}
			assert.Assert(t, !h.engine.jobs["job"].state.Terminal())
		})
	}
}

// crashPossibly counts a possible crash of the worker of the only attempt of a job, and ends the attempt with it.
func (h *harness) crashPossibly(id ident.Job) {
	h.t.Helper()
	found := 0
	h.engine.ForEachAttempt(func(a work.Attempt, process work.WorkerProcess) {
		if a.Part.Job == id {
			found++
			h.engine.CountCrash(a, process, PossibleCrash, h.now)
			h.engine.ProcessLost(process, h.now)
		}
	})
	assert.Equal(h.t, found, 1)
}

// TestCrashesOfOneHostAcrossRecords checks that a new lease holder knows on which hosts workers may have crashed.
func TestCrashesOfOneHostAcrossRecords(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob("job", 1, work.Step{Parts: 1, Need: smallPart})
	for range 2 * crashLimitPossible {
		h.crashPossibly("job")
		j := h.engine.jobs["job"]
		recorded := j.progressRecord()
		assert.NilError(t, j.ValidateProgress(&recorded))
		h = newHarness(t, 1)
		h.engine.AddJob(j.Job, &recorded, h.now, h.now.UnixMilli())
		h.advance(isolationLimit)
	}
	assert.Assert(t, !h.engine.jobs["job"].state.Terminal())
}

// TestFailureAfterPossibleCrashes guards against a job that is given up by its first failure, because the workers that its former
// starts were sent to had gone.
func TestFailureAfterPossibleCrashes(t *testing.T) {
	h := newHarness(t, crashLimitPossible)
	h.addJob("job", 1, work.Step{Parts: 1, Need: smallPart})
	for range crashLimitPossible - 1 {
		h.crashPossibly("job")
		h.advance(isolationLimit)
	}
	ended := 0
	h.engine.ForEachAttempt(func(a work.Attempt, _ work.WorkerProcess) {
		ended++
		h.engine.AttemptEnded(a, Failed, "", h.now)
	})
	assert.Equal(t, ended, 1)
	assert.Assert(t, !h.engine.jobs["job"].state.Terminal())
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
