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

// fixture is a fleet of two workers with a job of two steps, the second of which depends on the first.
type fixture struct {
	fleet            *fakes.Fleet
	job              *fakes.Job
	worker1, worker2 *fakes.Worker
}

// newFixture returns a fixture with the workers w and v.
func newFixture() *fixture {
	s := &fixture{fleet: fakes.NewFleet(nil)}
	s.job = &fakes.Job{RunTime: time.Second, Spec: &work.Job{
		ID: "j", Payload: "run", Terms: work.QueueSettings{Failures: 1},
		Steps: []work.Step{
			{Parts: 2, Need: work.Resources{Accelerators: 5}, Checkpoints: true},
			{Parts: 1, After: []int{0}, Label: "big"},
		},
	}}
	s.fleet.AddJob(s.job)
	s.worker1, s.worker2 = s.addWorker("w"), s.addWorker("v")
	return s
}

func (s *fixture) addWorker(id ident.Worker) *fakes.Worker {
	return s.fleet.AddWorker(sched.ListedWorker{Worker: pool.Worker{
		WorkerProcess: work.WorkerProcess{Worker: id, StartedMs: 1}, Capacity: work.Resources{Accelerators: 8},
	}})
}

// start sends a start request for a part, after applying modify to it if it is not nil.
func (s *fixture) start(worker *fakes.Worker, part work.Part, attempt ident.Attempt, modify func(*sched.StartRequest)) {
	var process work.WorkerProcess
	s.fleet.Update(func() { process = worker.Entry.WorkerProcess })
	req := sched.StartRequest{
		Worker: process, Attempt: work.Attempt{Part: part, Number: attempt}, Payload: s.job.Spec.Payload, Epoch: 1,
	}
	if modify != nil {
		modify(&req)
	}
	// Some tests expect the request to be refused.
	_, _ = worker.Start(context.Background(), req)
}

// startCrashing starts a part that crashes its worker a number of times.
func (s *fixture) startCrashing(times int) {
	s.job.CrashingParts = map[int]bool{0: true}
	for attempt := range times {
		s.start(s.worker1, work.Part{Job: "j"}, ident.Attempt(attempt+1), nil)
		time.Sleep(fakes.CrashDowntime + time.Second)
	}
}

func (s *fixture) renewLease(w *fakes.Worker, ackedEnd sched.EndSequence) sched.WorkerReport {
	report, err := w.RenewLease(context.Background(), sched.RenewLeaseRequest{Worker: w.Entry.WorkerProcess, Epoch: 1, AckedEnd: ackedEnd})
	if err != nil {
		panic(err)
	}
	return report
}

// TestFleetReportsViolations violates each invariant once and checks the reported violation.
func TestFleetReportsViolations(t *testing.T) {
	first, second, last := work.Part{Job: "j"}, work.Part{Job: "j", Index: 1}, work.Part{Job: "j", Step: 1}
	tests := []struct {
		name string
		run  func(*fixture)
		want string
	}{
		{"no violation", func(s *fixture) { s.start(s.worker1, first, 1, nil); s.start(s.worker2, second, 1, nil) }, ""},
		{"concurrent runs of a part", func(s *fixture) { s.start(s.worker1, first, 1, nil); s.start(s.worker2, first, 2, nil) }, "two concurrent runs"},
		{"capacity", func(s *fixture) { s.start(s.worker1, first, 1, nil); s.start(s.worker1, second, 1, nil) }, "exceed the capacity"},
		{"capacity that has shrunk", func(s *fixture) {
			s.start(s.worker1, first, 1, nil)
			s.worker1.SetCapacity(work.Resources{Accelerators: 9})
			s.worker1.SetCapacity(work.Resources{Accelerators: 4})
			time.Sleep(fakes.DefaultShrinkGrace + time.Millisecond)
			s.start(s.worker1, second, 1, nil)
		}, "exceed the capacity"},
		{"capacity that shrinks under a run", func(s *fixture) {
			s.start(s.worker1, first, 1, nil)
			s.worker1.SetCapacity(work.Resources{Accelerators: 4})
			time.Sleep(fakes.DefaultShrinkGrace + time.Millisecond)
			s.renewLease(s.worker1, 0)
		}, ""},
		{"capacity that has just shrunk", func(s *fixture) {
			s.worker1.SetCapacity(work.Resources{Accelerators: 4})
			time.Sleep(fakes.DefaultShrinkGrace)
			s.start(s.worker1, first, 1, nil)
		}, ""},
		{"capacity that has grown", func(s *fixture) {
			s.worker1.SetCapacity(work.Resources{Accelerators: 10})
			s.start(s.worker1, first, 1, nil)
			s.start(s.worker1, second, 1, nil)
		}, ""},
		{"stop in progress on a worker that has shrunk", func(s *fixture) {
			s.worker1.StopDelay = time.Minute
			s.start(s.worker1, first, 1, nil)
			s.worker1.SetCapacity(work.Resources{Accelerators: 5})
			time.Sleep(fakes.DefaultShrinkGrace / 2)
			s.job.RunTime = time.Minute
			_, _ = s.worker1.Stop(context.Background(), sched.StopRequest{Worker: s.worker1.Entry.WorkerProcess, Attempt: work.Attempt{Part: first, Number: 1}, Epoch: 1})
			time.Sleep(fakes.DefaultShrinkGrace)
			s.start(s.worker1, second, 1, nil)
		}, "exceed the capacity"},
		{"unknown job", func(s *fixture) { s.start(s.worker1, work.Part{Job: "other"}, 1, nil) }, "was never submitted"},
		{"unknown part", func(s *fixture) { s.start(s.worker1, work.Part{Job: "j", Index: 2}, 1, nil) }, "was never submitted"},
		{"payload", func(s *fixture) { s.start(s.worker1, first, 1, func(o *sched.StartRequest) { o.Payload = "other" }) }, "payload of another"},
		{"checkpoint", func(s *fixture) {
			s.start(s.worker1, first, 1, func(o *sched.StartRequest) { o.Checkpoint = "j.0.0.1 1000" })
		}, "checkpoint"},
		{"refused job", func(s *fixture) { s.job.Refused = true; s.start(s.worker1, first, 1, nil) }, "was refused"},
		{"step dependency", func(s *fixture) { s.start(s.worker1, last, 1, nil) }, "before step 0"},
		{"label", func(s *fixture) { s.start(s.worker1, last, 1, nil) }, "which lacks"},
		{"cancelled job", func(s *fixture) {
			s.job.Cancelled = time.Now()
			time.Sleep(4 * time.Second)
			s.start(s.worker1, first, 1, nil)
		}, "after its cancellation"},
		{"occurrence before its due time", func(s *fixture) {
			s.job.Spec.Repeat = work.Repeat{Count: 2, StartMs: time.Now().UnixMilli(), Interval: time.Second}
			second := first
			second.Occurrence = 1
			s.start(s.worker1, second, 1, nil)
		}, "before its due time"},
		{"draining worker", func(s *fixture) {
			s.worker1.DrainingSince = time.Now()
			time.Sleep(3 * time.Second)
			s.start(s.worker1, first, 1, nil)
		}, "after it started draining"},
		{"evacuated data centre", func(s *fixture) {
			s.worker1.EvacuatedSince = time.Now()
			time.Sleep(6 * time.Second)
			s.start(s.worker1, first, 1, nil)
		}, "after the evacuation of its data centre"},
		{"gang that lost a part", func(s *fixture) {
			s.job.RunTime, s.job.Spec.Steps[0].Gang = time.Minute, true
			s.start(s.worker1, first, 1, nil)
			s.start(s.worker2, second, 1, nil)
			time.Sleep(4 * time.Second)
			s.renewLease(s.worker1, 0)
			s.worker2.Crash()
			s.renewLease(s.worker1, 0)
		}, ""},
		{"incomplete gang", func(s *fixture) {
			s.job.Spec.Steps[0].Gang = true
			s.start(s.worker1, first, 1, nil)
			time.Sleep(4 * time.Second)
			s.renewLease(s.worker1, 0)
		}, "waiting for its gang"},
		{"start after an acknowledged end", func(s *fixture) {
			s.start(s.worker1, first, 1, nil)
			time.Sleep(2 * time.Second)
			s.renewLease(s.worker1, 0)
			s.renewLease(s.worker1, 1)
			s.start(s.worker2, first, 2, nil)
		}, "after an acknowledged end"},
		{"start after an unacknowledged end", func(s *fixture) {
			s.start(s.worker1, first, 1, nil)
			time.Sleep(2 * time.Second)
			s.renewLease(s.worker1, 0)
			s.start(s.worker2, first, 2, nil)
		}, ""},
		{"too many starts after crashes", func(s *fixture) { s.startCrashing(6) }, "the start 3 after 5 crashes"},
		{"starts after crashes", func(s *fixture) { s.startCrashing(5) }, ""},
		{"too many failures", func(s *fixture) {
			s.job.AlwaysFails = true
			s.start(s.worker1, first, 1, nil)
			s.renewLease(s.worker1, 0)
			s.renewLease(s.worker1, 1)
			s.start(s.worker2, first, 2, nil)
		}, "after 1 failures"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFixture()
				test.run(s)
				all := strings.Join(s.fleet.Violations(), "\n")
				if test.want == "" {
					assert.Equal(t, all, "")
					return
				}
				assert.Assert(t, strings.Contains(all, test.want), "%q does not contain %q", all, test.want)
			})
		})
	}
}

// TestFailuresExhaustedBeforeAcknowledgement checks that a job counts as failed as soon as its last failure was reported.
// The scheduler may report the job as failed before it acknowledges that end.
func TestFailuresExhaustedBeforeAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture()
		s.job.AlwaysFails = true
		s.start(s.worker1, work.Part{Job: "j"}, 1, nil)
		assert.Equal(t, s.renewLease(s.worker1, 0).Ended[0].Outcome, pool.Failed)
		assert.Assert(t, s.fleet.FailuresExhausted("j"))
	})
}

// TestGangStartsWorkWhenComplete starts the parts of a gang one after the other and checks that their run time counts from
// the start of the last one.
func TestGangStartsWorkWhenComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture()
		s.job.Spec.Steps = []work.Step{{Parts: 2, Gang: true, Need: work.Resources{Accelerators: 5}}}
		s.start(s.worker1, work.Part{Job: "j"}, 1, nil)
		time.Sleep(1500 * time.Millisecond)
		s.start(s.worker2, work.Part{Job: "j", Index: 1}, 1, nil)
		time.Sleep(900 * time.Millisecond)
		assert.Assert(t, !s.fleet.Completed("j"))
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, s.fleet.Completed("j"))
		assert.Equal(t, s.renewLease(s.worker2, 0).Ended[0].Outcome, pool.Done)
	})
}

// TestIncompleteGangEndsAlone starts only one part of a gang and checks that it times out with outcome Alone.
func TestIncompleteGangEndsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture()
		s.job.Spec.Steps = []work.Step{{Parts: 2, Gang: true}}
		s.start(s.worker1, work.Part{Job: "j"}, 1, nil)
		time.Sleep(4 * time.Second)
		assert.Equal(t, s.renewLease(s.worker1, 0).Ended[0].Outcome, pool.Alone)
	})
}
