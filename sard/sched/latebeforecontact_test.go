package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// TestLateStartBeforeLaterProcessIsReached guards against parts that run twice, because a late start is executed by a later
// process of the worker before that has got a request with a higher epoch, while the part runs elsewhere.
func TestLateStartBeforeLaterProcessIsReached(t *testing.T) {
	for _, lateness := range []time.Duration{3 * time.Second, 5 * time.Second, 7 * time.Second, 9 * time.Second} {
		t.Run(fmt.Sprintf("late by %v", lateness), func(t *testing.T) {
			runTest(t, 2, func(r *harness) {
				r.disturbed.Store(true)
				wa := r.fleet.Worker("wa")
				r.updateFleet(func() { wa.IgnoresOrders, wa.OrderLateness, wa.LaterProcessExecutes = true, lateness, true })
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				r.submit("wj1", 20*time.Second, work.Step{Parts: 1})
				r.sleep(lateness - 20*time.Millisecond)
				r.updateFleet(func() {
					wa.IgnoresOrders = false
					wa.Crash()
				})
				r.sleep(200 * time.Millisecond)
				r.listWorker(wa)
				r.waitForState("wj1", ident.Succeeded, time.Minute)
			})
		})
	}
}

// TestLateStartAfterEndBeforeLaterProcessIsReached is like TestLateStartAfterEndAndRestart, but the worker crashes so shortly
// before the late start that this precedes all that is sent to the later process.
func TestLateStartAfterEndBeforeLaterProcessIsReached(t *testing.T) {
	for _, up := range []time.Duration{300 * time.Millisecond, 40 * time.Millisecond} {
		t.Run(fmt.Sprintf("%v before", up), func(t *testing.T) {
			runTest(t, 2, func(r *harness) {
				r.disturbed.Store(true)
				wa := r.fleet.Worker("wa")
				r.updateFleet(func() { wa.IgnoresOrders, wa.OrderLateness, wa.LaterProcessExecutes = true, 2*time.Second, true })
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				r.submit("wj1", 10*time.Second, work.Step{Parts: 1})
				r.sleep(2100 * time.Millisecond)
				// The first request has been executed, the second is under way and executed 2.6 s after the job came.
				r.updateFleet(func() { wa.Failing = true })
				r.sleep(500*time.Millisecond - up)
				r.updateFleet(func() {
					wa.Failing, wa.IgnoresOrders = false, false
					wa.Crash()
				})
				r.sleep(up)
				r.listWorker(wa)
				r.waitForState("wj1", ident.Succeeded, 30*time.Second)
			})
		})
	}
}
