package gang_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
)

// maxFaultyCalls is how many of the holder's calls after a submission are tested with each fault.
const maxFaultyCalls = 32

// TestEachStep injects one fault into one call of the lease holder to the table or a worker: the call is lost before or
// after its effect, repeated or delayed, or the holder crashes before or after it. Every job must still end once.
func TestEachStep(t *testing.T) {
	faults := []struct {
		name  string
		fault callFault
	}{
		{"lost before", requestLost},
		{"lost after", responseLost},
		{"repeated", requestRepeated},
		{"delayed", requestDelayed},
		{"crash before", crashBefore},
		{"crash after", crashAfter},
	}
	for _, test := range faults {
		t.Run(test.name, func(t *testing.T) {
			for n := 1; n <= maxFaultyCalls; n++ {
				for _, notRepeated := range []bool{false, true} {
					found := runWithCallFault(t, test.fault, n, notRepeated)
					assert.Assert(t, len(found) == 0, "call %d, not repeated %v: %v", n, notRepeated, found)
				}
			}
		})
	}
}

// runWithCallFault runs two jobs while the holder's n-th call has the planned fault. It returns the violations found.
func runWithCallFault(t *testing.T, plannedFault callFault, n int, notRepeated bool) []string {
	var found []string
	synctest.Test(t, func(t *testing.T) {
		c := newFailoverCluster(t, 1)
		holder, _ := c.awaitHolder()
		holder.network.mu.Lock()
		holder.network.faultyCall, holder.network.plannedFault = holder.network.callCount+n, plannedFault
		holder.network.mu.Unlock()
		spec := gang.JobSpec{Kind: "often", Accelerators: 24, Command: "40s", Checkpointable: true}
		if notRepeated {
			spec.Kind, spec.NotRepeated = "once", true
		}
		c.submitUntilAccepted("k1", spec)
		c.submitUntilAccepted("k2", spec)
		c.awaitJobsAndCheck()
		found = c.stop()
	})
	return found
}

// submitUntilAccepted repeats a submission until it is accepted.
func (c *failoverCluster) submitUntilAccepted(key ident.IdempotencyKey, spec gang.JobSpec) {
	for c.accepted[key] == "" {
		c.submit(key, spec)
		delete(c.refused, key)
		time.Sleep(time.Second)
	}
}

// TestLateRenewal checks that a part isn't regarded as ended too early: a renewal that timed out at the holder still
// arrives at the worker, shortly before the lease expires, and extends the lease.
func TestLateRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFailoverCluster(t, 2)
		holder, _ := c.awaitHolder()
		c.submit("k", gang.JobSpec{Kind: "often", Accelerators: 16, Command: "10m", Checkpointable: true})
		time.Sleep(time.Second)
		w := c.view(t, holder, "k").Parts[0].Worker
		holder.network.delayNext(w, 25*time.Second)
		time.Sleep(15 * time.Second)
		holder.network.setDisconnected(w, true)
		time.Sleep(5 * time.Minute)
		assert.Equal(t, c.view(t, holder, "k").Attempt, ident.Attempt(2))
		c.awaitJobsAndCheck()
		assert.DeepEqual(t, c.stop(), []string(nil))
	})
}

// TestLateWrite checks that a write sent by an earlier holder has no effect if it reaches the table after a takeover.
func TestLateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFailoverCluster(t, 2)
		oldHolder, newHolder := c.awaitHolder()
		spec := gang.JobSpec{Kind: "often", Accelerators: 16, Command: "1m", Checkpointable: true}
		oldHolder.network.delayNext("", 20*time.Second)
		c.group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := oldHolder.currentScheduler().Submit(ctx, "acme", "k", spec)
			return ignoreError(err)
		})
		time.Sleep(time.Second)
		oldHolder.network.crash()
		time.Sleep(time.Minute)
		assert.Assert(t, newHolder.currentScheduler().Ready())
		c.submitUntilAccepted("k", spec)
		c.awaitJobsAndCheck()
		assert.DeepEqual(t, c.stop(), []string(nil))
	})
}

// TestPartialStart checks that one part of a gang doesn't keep running alone: the holder starts it, can't reach the
// other worker and crashes, and nobody takes over for a while.
func TestPartialStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFailoverCluster(t, 2)
		holder, _ := c.awaitHolder()
		var mu sync.Mutex
		var firstStarted ident.Worker
		intercept := func(w *fakeWorker, step string, after bool) error {
			mu.Lock()
			defer mu.Unlock()
			if step != "start" {
				return nil
			}
			if firstStarted == "" {
				firstStarted = w.name
			}
			if firstStarted != w.name {
				return fault.New(fault.Unavailable, step, string(w.name), "unreachable")
			}
			if after {
				holder.network.crash()
				for _, cand := range c.candidates {
					cand.network.setFaults(false, true)
				}
			}
			return nil
		}
		for _, w := range c.workers {
			w.setIntercept(intercept)
		}
		c.submit("k", gang.JobSpec{Kind: "often", Accelerators: 16, Command: "10m", Checkpointable: true})
		time.Sleep(time.Minute)
		mu.Lock()
		assert.Assert(t, firstStarted != "")
		mu.Unlock()
		for _, w := range c.workers {
			w.setIntercept(nil)
		}
		c.awaitJobsAndCheck()
		assert.DeepEqual(t, c.stop(), []string(nil))
	})
}
