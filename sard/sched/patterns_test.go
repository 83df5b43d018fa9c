package sched_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// TestAllInstancesKilledRightAfterAcceptance kills every instance at various times after a job was accepted and starts new
// ones. The job must succeed, and each of its parts must run exactly once.
func TestAllInstancesKilledRightAfterAcceptance(t *testing.T) {
	for _, kill := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond, time.Second} {
		t.Run(kill.String(), func(t *testing.T) {
			runTest(t, 4, func(r *harness) {
				killAll := []context.CancelFunc{r.startInstance("i1"), r.startInstance("i2"), r.startInstance("i3")}
				r.sleep(time.Second)
				r.submit("j1", 4*time.Second, work.Step{Parts: 4, Gang: true})
				r.sleep(kill)
				for _, kill := range killAll {
					kill()
				}
				r.sleep(500 * time.Millisecond)
				r.startInstance("i4")
				r.startInstance("i5")
				r.waitForState("j1", ident.Succeeded, 12*time.Second)
				assert.Equal(t, r.fleet.StartCount(), 4)
			})
		})
	}
}

// TestWorkersCarryOutRequestsWithoutResponses lets half of the workers carry out requests without responses for three
// seconds while jobs are started and stopped. All jobs must succeed, and the fleet checks that no part runs twice.
func TestWorkersCarryOutRequestsWithoutResponses(t *testing.T) {
	runTest(t, 8, func(r *harness) {
		r.startInstance("i1")
		r.sleep(time.Second)
		r.disturbed.Store(true)
		r.dropReplies(4)
		jobs := []ident.Job{"ja", "jb", "w1!", "jc", "w2!"}
		for _, id := range jobs {
			r.submit(id, 2*time.Second, work.Step{Parts: 2, Gang: id[0] == 'w'})
			r.sleep(600 * time.Millisecond)
		}
		r.dropReplies(0)
		for _, id := range jobs {
			r.waitForState(id, ident.Succeeded, 25*time.Second)
		}
	})
}

// TestStartsWithoutResponsesKeepTheirGang loses the responses to start requests, while the workers respond to lease renewals.
// The gang must not be stopped and started again.
func TestStartsWithoutResponsesKeepTheirGang(t *testing.T) {
	tests := []struct {
		name string
		lost int
	}{
		{name: "one response", lost: 1},
		{name: "several responses", lost: 3},
		{name: "all responses", lost: 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 2, func(r *harness) {
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				r.fleet.ForEachWorker(func(w *fakes.Worker) { w.LostStartReplies = test.lost })
				r.submit("w1", 10*time.Second, work.Step{Parts: 2, Gang: true})
				r.waitForState("w1", ident.Succeeded, 11*time.Second)
				assert.Equal(t, r.fleet.HighestAttempt("w1"), ident.Attempt(1))
			})
		})
	}
}

// dropReplies lets the given number of workers carry out requests without responses, and the others respond.
func (r *harness) dropReplies(workers int) {
	left := workers
	r.fleet.ForEachWorker(func(w *fakes.Worker) {
		w.DropReplies = left > 0
		left--
	})
}
