package sched_test

import (
	"context"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// malformedRecord is a job's row and its progress record, of which at least one is malformed.
type malformedRecord struct {
	name     string
	job      work.Job
	progress *work.Progress
}

var oneStep = []work.Step{{Parts: 2}}

var malformedRecords = []malformedRecord{
	{name: "job without steps"},
	{name: "step without parts", job: work.Job{Steps: []work.Step{{}}}},
	{name: "negative number of parts", job: work.Job{Steps: []work.Step{{Parts: -4}}}},
	{name: "step after an unknown one", job: work.Job{Steps: []work.Step{{Parts: 1, After: []int{7}}}}},
	{name: "step after a negative one", job: work.Job{Steps: []work.Step{{Parts: 1, After: []int{-1}}}}},
	{name: "step after itself", job: work.Job{Steps: []work.Step{{Parts: 1, After: []int{0}}}}},
	{name: "negative demand", job: work.Job{Steps: []work.Step{{Parts: 1, Need: work.Resources{Accelerators: -8}}}}},
	{name: "unknown worker process", job: work.Job{Steps: oneStep}, progress: &work.Progress{
		Groups: []work.Group{{Attempt: 1, Placed: true, Workers: []int{5}}},
	}},
	{name: "more workers than parts", job: work.Job{Steps: oneStep}, progress: &work.Progress{
		Lives: []work.WorkerProcess{{Worker: "wa"}}, Groups: []work.Group{{Attempt: 1, Placed: true, Workers: []int{0, 0, 0}}},
	}},
	{name: "negative occurrence", job: work.Job{Steps: oneStep}, progress: &work.Progress{Complete: []int{-1}}},
	{name: "crash of an unknown group", job: work.Job{Steps: oneStep}, progress: &work.Progress{
		Lives: []work.WorkerProcess{{Worker: "wa"}}, CrashCounts: []work.PartCrashes{{Group: -1, Likely: 1}},
	}},
	{name: "crash of an unknown worker process", job: work.Job{Steps: oneStep}, progress: &work.Progress{
		Groups: []work.Group{{Attempt: 1}}, CrashCounts: []work.PartCrashes{{Likely: 1}},
	}},
	{name: "crash on an unknown host", job: work.Job{Steps: oneStep}, progress: &work.Progress{
		Lives: []work.WorkerProcess{{Worker: "wa"}}, Groups: []work.Group{{Attempt: 1}}, CrashCounts: []work.PartCrashes{{Hosts: []int{0}}},
	}},
}

// TestMalformedRecordsStopNoScheduler guards against one malformed job or progress record that ends the process of each
// lease holder in turn.
func TestMalformedRecordsStopNoScheduler(t *testing.T) {
	for _, record := range malformedRecords {
		t.Run(record.name, func(t *testing.T) {
			runTest(t, 1, func(r *harness) {
				job := record.job
				job.ID, job.Account, job.Queue, job.Terms = "bad", "a", "q", testSettings(1)
				r.putRecord(work.JobKey("bad"), work.JobRow{Job: &job})
				if record.progress != nil {
					record.progress.State = ident.Running
					r.putRecord(work.ProgressKey("bad"), record.progress)
				}
				r.startInstance("i1")
				r.submit("j1", time.Second, work.Step{Parts: 1})
				r.waitForState("j1", ident.Succeeded, 10*time.Second)
			})
		})
	}
}

// putRecord writes a record to the store.
func (r *harness) putRecord(key store.Key, record any) {
	r.t.Helper()
	value, err := work.Encode(record)
	assert.NilError(r.t, err)
	_, err = r.store.Apply(r.ctx, store.Tx{Put: []store.Put{{Key: key, Value: value}}})
	assert.NilError(r.t, err)
}

// TestAbsurdWorkerEntriesStopNoScheduler guards against a list entry with absurd values that ends the process of the lease
// holder, or keeps other workers from getting work.
func TestAbsurdWorkerEntriesStopNoScheduler(t *testing.T) {
	const huge = 1 << 62
	tests := []struct {
		name   string
		change func(*sched.ListedWorker)
	}{
		{"negative capacity", func(w *sched.ListedWorker) { w.Capacity = work.Resources{CPU: -1, Memory: -1, Accelerators: -8} }},
		{"huge capacity", func(w *sched.ListedWorker) {
			w.Capacity = work.Resources{CPU: huge, Memory: huge, Accelerators: 1 << 30}
		}},
		{"huge clock and start time", func(w *sched.ListedWorker) { w.Clock, w.StartedMs = huge, huge }},
		{"negative clock and start time", func(w *sched.ListedWorker) { w.Clock, w.StartedMs = -huge, -huge }},
		{"leaves in the past", func(w *sched.ListedWorker) { w.Leaving, w.LeavesAfter = true, -huge }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 1, func(r *harness) {
				r.disturbed.Store(true)
				strange := newListedWorker("strange", "r0")
				test.change(&strange)
				r.fleet.AddWorker(strange)
				r.updateFleet(func() {})
				r.fleet.Worker("strange").Unreachable = true
				r.listEntry(strange)
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				r.submit("j1", time.Second, work.Step{Parts: 3})
				r.waitForState("j1", ident.Succeeded, 30*time.Second)
			})
		})
	}
}

// strangeClient is a client of a worker whose reports are changed.
type strangeClient struct {
	sched.WorkerClient
	change func(*sched.WorkerReport)
}

// RenewLease sends a lease renewal.
func (c *strangeClient) RenewLease(ctx context.Context, o sched.RenewLeaseRequest) (sched.WorkerReport, error) {
	report, err := c.WorkerClient.RenewLease(ctx, o)
	if err == nil && o.Worker.Worker == "wa" {
		c.change(&report)
	}
	return report, err
}

// TestAbsurdReportsStopNoScheduler guards against a worker whose reports end the process of the lease holder, or keep other
// workers from getting work.
func TestAbsurdReportsStopNoScheduler(t *testing.T) {
	unknown := work.Attempt{Part: work.Part{Job: "j9", Occurrence: -1, Step: -1, Index: -1}, Number: math.MaxInt32}
	tests := []struct {
		name   string
		change func(*sched.WorkerReport)
	}{
		{"huge clock", func(w *sched.WorkerReport) { w.Clock = math.MaxInt64 }},
		{"negative clock", func(w *sched.WorkerReport) { w.Clock = math.MinInt64 }},
		{"start time changes", func(w *sched.WorkerReport) { w.StartedMs = time.Now().UnixMilli() }},
		{"huge percent", func(w *sched.WorkerReport) {
			for i := range w.Running {
				w.Running[i].Percent = math.MaxInt64
			}
		}},
		{"negative percent", func(w *sched.WorkerReport) {
			for i := range w.Running {
				w.Running[i].Percent = math.MinInt64
			}
		}},
		{"unknown attempts run", func(w *sched.WorkerReport) {
			w.Running = append(w.Running, sched.RunningAttempt{Attempt: unknown})
		}},
		{"unknown attempts ended", func(w *sched.WorkerReport) {
			for i := range w.Ended {
				w.Ended = append(w.Ended, sched.EndedAttempt{Sequence: w.Ended[i].Sequence, Attempt: unknown, Outcome: 99})
			}
		}},
		{"huge number of an unknown end", func(w *sched.WorkerReport) {
			for range w.Ended {
				w.Ended = append(w.Ended, sched.EndedAttempt{Sequence: math.MaxUint64, Attempt: unknown})
			}
		}},
		{"huge numbers of all ends", func(w *sched.WorkerReport) {
			for i := range w.Ended {
				w.Ended[i].Sequence = math.MaxUint64
			}
		}},
		{"ends go back", func(w *sched.WorkerReport) {
			slices.Reverse(w.Ended)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 2, func(r *harness) {
				r.disturbed.Store(true)
				r.wrapClient = func(c sched.WorkerClient) sched.WorkerClient { return &strangeClient{c, test.change} }
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				r.submit("j1", 3*time.Second, work.Step{Parts: 8})
				r.waitForState("j1", ident.Succeeded, time.Minute)
			})
		})
	}
}
