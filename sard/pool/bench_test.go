package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// BenchmarkDecideFull measures Decide with 350 full workers and 600 waiting parts.
func BenchmarkDecideFull(b *testing.B) {
	now := time.Unix(1000, 0)
	e := New(Config{QueueSettings: func(j *work.Job) work.QueueSettings { return j.Terms }, Guarantee: func(ident.Account) ident.Accelerators { return 72 }})
	for i := range 350 {
		e.SetWorker(Worker{
			WorkerProcess: work.WorkerProcess{Worker: ident.Worker(fmt.Sprintf("w%03d", i)), StartedMs: 1}, Service: "s",
			Rack: ident.Rack(fmt.Sprintf("r%d", i/8)), Capacity: work.Resources{CPU: 128000, Memory: 262144, Accelerators: 8}, Accepting: true,
		})
	}
	for i := range 120 {
		e.AddJob(&work.Job{
			ID: ident.Job(fmt.Sprintf("j%04d", i)), Account: "a", AcceptedMs: now.UnixMilli(),
			Terms: work.QueueSettings{Service: "s", Priority: work.Priority(i % 3), Failures: 3, Stretch: 3, Target: time.Second},
			Steps: []work.Step{{Parts: 13, Need: work.Resources{CPU: 52000, Memory: 140000, Accelerators: 4}, Estimate: 11 * time.Second, Gang: i%3 != 2, SameRack: i%3 == 1}},
		}, nil, now, now.UnixMilli())
	}
	e.Decide(now, now.UnixMilli())
	e.TakeChanges(1000, now)
	b.ResetTimer()
	for range b.N {
		e.Decide(now, now.UnixMilli())
	}
}

// BenchmarkDecideWideJobs measures Decide with 1,100 full workers and 2,400 waiting parts of wide jobs.
func BenchmarkDecideWideJobs(b *testing.B) {
	now := time.Unix(1000, 0)
	e := New(Config{QueueSettings: func(j *work.Job) work.QueueSettings { return j.Terms }, Guarantee: func(ident.Account) ident.Accelerators { return 72 }})
	for i := range 1100 {
		e.SetWorker(Worker{
			WorkerProcess: work.WorkerProcess{Worker: ident.Worker(fmt.Sprintf("w%04d", i)), StartedMs: 1}, Service: "s",
			Rack: ident.Rack(fmt.Sprintf("r%d", i/20)), Capacity: work.Resources{CPU: 128000, Memory: 262144, Accelerators: 8}, Accepting: true,
		})
	}
	for i := range 140 {
		e.AddJob(&work.Job{
			ID: ident.Job(fmt.Sprintf("j%04d", i)), Account: "a", AcceptedMs: now.UnixMilli(),
			Terms: work.QueueSettings{Service: "s", Priority: 2, Failures: 3, Stretch: 3, Target: time.Second},
			Steps: []work.Step{{Parts: 78, Need: work.Resources{CPU: 11000, Memory: 16000, Accelerators: 1}, Estimate: 10 * time.Second}},
		}, nil, now, now.UnixMilli())
	}
	e.Decide(now, now.UnixMilli())
	e.TakeChanges(1000, now)
	b.ResetTimer()
	for range b.N {
		e.Decide(now, now.UnixMilli())
	}
}

// BenchmarkDecideOverloadedFleet measures Decide with 1,100 workers that run parts of many jobs, while gangs of all sizes
// and priorities wait.
func BenchmarkDecideOverloadedFleet(b *testing.B) {
	now := time.Unix(1000, 0)
	e := New(Config{QueueSettings: func(j *work.Job) work.QueueSettings { return j.Terms }, Guarantee: func(ident.Account) ident.Accelerators { return 300 }})
	for i := range 1100 {
		e.SetWorker(Worker{
			WorkerProcess: work.WorkerProcess{Worker: ident.Worker(fmt.Sprintf("w%04d", i)), StartedMs: 1}, Service: "s",
			Rack: ident.Rack(fmt.Sprintf("r%d", i/20)), Capacity: work.Resources{CPU: 128000, Memory: 262144, Accelerators: 8}, Accepting: true,
		})
	}
	add := func(i int, priority work.Priority, step work.Step) {
		e.AddJob(&work.Job{
			ID: ident.Job(fmt.Sprintf("j%04d", i)), Account: ident.Account(fmt.Sprintf("a%d", i%24)), AcceptedMs: now.UnixMilli(),
			Terms: work.QueueSettings{Service: "s", Priority: priority, Failures: 3, Stretch: 3, Target: time.Second}, Steps: []work.Step{step},
		}, nil, now, now.UnixMilli())
	}
	for i := range 110 {
		add(i, 2, work.Step{Parts: 78, Need: work.Resources{CPU: 11000, Memory: 16000, Accelerators: 1}, Estimate: 10 * time.Second})
	}
	e.Decide(now, now.UnixMilli())
	sizes := []ident.Accelerators{1, 2, 4, 8, 8}
	for i := range 300 {
		add(1000+i, work.Priority(i%2), work.Step{
			Parts: 5 + i%40, Need: work.Resources{CPU: 15000, Memory: 22000, Accelerators: sizes[i%5]}, Estimate: 3 * time.Second, Gang: true, SameRack: i%3 == 0,
		})
	}
	e.Decide(now, now.UnixMilli())
	e.TakeChanges(1000, now)
	b.ResetTimer()
	for range b.N {
		e.Decide(now, now.UnixMilli())
	}
}
