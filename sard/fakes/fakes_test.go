package fakes_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/work"
)

// scene is a fleet of two workers with a job of two steps, the second after the first.
type scene struct {
	fleet *fakes.Fleet
	job   *fakes.Job
	w, v  *fakes.Worker
}

func newScene() *scene {
	s := &scene{fleet: fakes.NewFleet(nil)}
	s.job = &fakes.Job{RunTime: time.Second, Spec: &work.Job{
		ID: "j", Payload: "run", Terms: work.QueueSettings{Failures: 1},
		Steps: []work.Step{
			{Parts: 2, Need: work.Resources{Accelerators: 5}, Checkpoints: true},
			{Parts: 1, After: []int{0}, Label: "big"},
		},
	}}
	s.fleet.AddJob(s.job)
	s.w, s.v = s.worker("w"), s.worker("v")
	return s
}

func (s *scene) worker(id ident.Worker) *fakes.Worker {
	return s.fleet.AddWorker(sched.ListedWorker{Worker: pool.Worker{
		WorkerProcess: work.WorkerProcess{Worker: id, StartedMs: 1}, Capacity: work.Resources{Accelerators: 8},
	}})
}

// start sends a start of a part; change may change the order.
func (s *scene) start(w *fakes.Worker, part work.Part, attempt ident.Attempt, change func(*sched.StartRequest)) {
	o := sched.StartRequest{
		Worker: w.Entry.WorkerProcess, Attempt: work.Attempt{Part: part, Number: attempt}, Payload: s.job.Spec.Payload, Epoch: 1,
	}
	if change != nil {
		change(&o)
	}
	// Refusals are part of what is tested.
	_, _ = w.Start(context.Background(), o)
}

func (s *scene) hold(w *fakes.Worker, seen sched.EndSequence) sched.WorkerReport {
	report, err := w.RenewLease(context.Background(), sched.RenewLeaseRequest{Worker: w.Entry.WorkerProcess, Epoch: 1, AckedEnd: seen})
	if err != nil {
		panic(err)
	}
	return report
}

// TestBreaches breaks each promise once.
func TestBreaches(t *testing.T) {
	first, second, last := work.Part{Job: "j"}, work.Part{Job: "j", Index: 1}, work.Part{Job: "j", Step: 1}
	tests := []struct {
		name string
		play func(*scene)
		want string
	}{
		{"nothing", func(s *scene) { s.start(s.w, first, 1, nil); s.start(s.v, second, 1, nil) }, ""},
		{"two runs", func(s *scene) { s.start(s.w, first, 1, nil); s.start(s.v, first, 2, nil) }, "two runs at once"},
		{"room", func(s *scene) { s.start(s.w, first, 1, nil); s.start(s.w, second, 1, nil) }, "runs {"},
		{"unknown job", func(s *scene) { s.start(s.w, work.Part{Job: "other"}, 1, nil) }, "nobody has handed it in"},
		{"unknown part", func(s *scene) { s.start(s.w, work.Part{Job: "j", Index: 2}, 1, nil) }, "nobody has handed it in"},
		{"payload", func(s *scene) { s.start(s.w, first, 1, func(o *sched.StartRequest) { o.Payload = "other" }) }, "payload of another"},
		{"checkpoint", func(s *scene) {
			s.start(s.w, first, 1, func(o *sched.StartRequest) { o.Checkpoint = "j.0.0.1 1000" })
		}, "checkpoint"},
		{"refused job", func(s *scene) { s.job.Refused = true; s.start(s.w, first, 1, nil) }, "was refused"},
		{"order of steps", func(s *scene) { s.start(s.w, last, 1, nil) }, "before step 0"},
		{"label", func(s *scene) { s.start(s.w, last, 1, nil) }, "lacks"},
		{"cancelled job", func(s *scene) {
			s.job.Cancelled = time.Now()
			time.Sleep(4 * time.Second)
			s.start(s.w, first, 1, nil)
		}, "after its cancellation"},
		{"before its time", func(s *scene) {
			s.job.Spec.Repeat = work.Repeat{Count: 2, StartMs: time.Now().UnixMilli(), Interval: time.Second}
			second := first
			second.Occurrence = 1
			s.start(s.w, second, 1, nil)
		}, "before its time"},
		{"leaving worker", func(s *scene) {
			s.w.DrainingSince = time.Now()
			time.Sleep(3 * time.Second)
			s.start(s.w, first, 1, nil)
		}, "after it reported to leave"},
		{"gang without a part", func(s *scene) {
			s.job.Spec.Steps[0].Gang = true
			s.start(s.w, first, 1, nil)
			time.Sleep(4 * time.Second)
			s.hold(s.w, 0)
		}, "waited alone"},
		{"after an acknowledged end", func(s *scene) {
			s.start(s.w, first, 1, nil)
			time.Sleep(2 * time.Second)
			s.hold(s.w, 0)
			s.hold(s.w, 1)
			s.start(s.v, first, 2, nil)
		}, "after an acknowledged end"},
		{"after an end that was not acknowledged", func(s *scene) {
			s.start(s.w, first, 1, nil)
			time.Sleep(2 * time.Second)
			s.hold(s.w, 0)
			s.start(s.v, first, 2, nil)
		}, ""},
		{"too many failures", func(s *scene) {
			s.job.AlwaysFails = true
			s.start(s.w, first, 1, nil)
			s.hold(s.w, 0)
			s.hold(s.w, 1)
			s.start(s.v, first, 2, nil)
		}, "after 1 failures"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScene()
				test.play(s)
				all := strings.Join(s.fleet.Violations(), "\n")
				if test.want == "" {
					assert.Equal(t, all, "")
					return
				}
				assert.Assert(t, strings.Contains(all, test.want), "%q does not tell %q", all, test.want)
			})
		})
	}
}

// TestExhaustedBeforeTheEndIsAcknowledged: a job may be told as failed as soon as its last failure was listed.
func TestExhaustedBeforeTheEndIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene()
		s.job.AlwaysFails = true
		s.start(s.w, work.Part{Job: "j"}, 1, nil)
		assert.Equal(t, s.hold(s.w, 0).Ended[0].Outcome, pool.Failed)
		assert.Assert(t, s.fleet.FailuresExhausted("j"))
	})
}

// TestGangWorksTogether starts the parts of a gang one after the other: the work begins with the last.
func TestGangWorksTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene()
		s.job.Spec.Steps = []work.Step{{Parts: 2, Gang: true, Need: work.Resources{Accelerators: 5}}}
		s.start(s.w, work.Part{Job: "j"}, 1, nil)
		time.Sleep(1500 * time.Millisecond)
		s.start(s.v, work.Part{Job: "j", Index: 1}, 1, nil)
		time.Sleep(900 * time.Millisecond)
		assert.Assert(t, !s.fleet.Completed("j"))
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, s.fleet.Completed("j"))
		assert.Equal(t, s.hold(s.v, 0).Ended[0].Outcome, pool.Done)
	})
}

// TestGangWithoutAPartEndsAlone leaves a part of a gang out.
func TestGangWithoutAPartEndsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene()
		s.job.Spec.Steps = []work.Step{{Parts: 2, Gang: true}}
		s.start(s.w, work.Part{Job: "j"}, 1, nil)
		time.Sleep(4 * time.Second)
		assert.Equal(t, s.hold(s.w, 0).Ended[0].Outcome, pool.Alone)
	})
}
