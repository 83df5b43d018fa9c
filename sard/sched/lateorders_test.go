package sched_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// orderLateness is how late the first start of a part is executed in the tests of late starts.
	orderLateness = 9 * time.Second
	// workerDown is how long the worker is down before the late start, and upBeforeLateStart how long its later process is up
	// by then. The platform's list names that process unlistedTime after its start.
	workerDown, upBeforeLateStart, unlistedTime = time.Second, 500 * time.Millisecond, 1200 * time.Millisecond
)

// lateStart is a start without a response, which a later process of its worker executes when its part is done.
type lateStart struct {
	*harness
	sentAt time.Time
}

// completeWithLateStart runs a part to its end on a repeated start, while the first one is still to be executed.
func (r *harness) completeWithLateStart() lateStart {
	r.t.Helper()
	r.disturbed.Store(true)
	wa := r.fleet.Worker("wa")
	r.updateFleet(func() { wa.IgnoresOrders, wa.OrderLateness, wa.LaterProcessExecutes = true, orderLateness, true })
	late := lateStart{harness: r, sentAt: time.Now()}
	r.submit("j1", 500*time.Millisecond, work.Step{Parts: 1})
	r.sleep(300 * time.Millisecond)
	r.updateFleet(func() { wa.IgnoresOrders = false })
	r.waitForState("j1", ident.Succeeded, 5*time.Second)
	return late
}

// sleepUntilBefore waits until a time before the late start is executed.
func (l lateStart) sleepUntilBefore(d time.Duration) {
	l.sleep(time.Until(l.sentAt.Add(orderLateness - d)))
}

// crashWorker makes the worker crash and its later process be up upBeforeLateStart before the late start.
func (l lateStart) crashWorker() {
	wa := l.fleet.Worker("wa")
	l.sleepUntilBefore(upBeforeLateStart + workerDown)
	l.updateFleet(func() { wa.Unreachable = true })
	l.sleepUntilBefore(upBeforeLateStart)
	l.updateFleet(func() {
		wa.Crash()
		wa.Unreachable = false
	})
}

// listLaterProcess names the worker's later process in the platform's list.
func (l lateStart) listLaterProcess() {
	l.listWorker(l.fleet.Worker("wa"))
	l.sleep(5 * time.Second)
}

// TestLateStartAfterHandOver guards against parts that run again after they are done, because their first start is executed late,
// by a later process of the worker, under another lease holder than the one that sent it.
func TestLateStartAfterHandOver(t *testing.T) {
	tests := []struct {
		name     string
		handOver func(late lateStart, kill, stop context.CancelFunc)
	}{
		{"the holder is stopped", func(_ lateStart, _, stop context.CancelFunc) { stop() }},
		{"the holder is killed", func(_ lateStart, kill, _ context.CancelFunc) { kill() }},
		{"two holders are killed", func(late lateStart, kill, _ context.CancelFunc) {
			kill()
			killNext := late.startInstance("i3")
			late.sleep(2 * time.Second)
			killNext()
		}},
		{"the list lacks the worker by then", func(late lateStart, kill, _ context.CancelFunc) {
			late.unlistWorker(late.fleet.Worker("wa"))
			late.sleep(time.Second)
			kill()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 1, func(r *harness) {
				kill := r.startInstance("i1")
				stop := r.stopInstances[0]
				r.sleep(2 * time.Second)
				late := r.completeWithLateStart()
				test.handOver(late, kill, stop)
				r.startInstance("i2")
				late.crashWorker()
				late.sleep(unlistedTime)
				late.listLaterProcess()
				assert.Check(t, is.Equal(r.fleet.StartCount(), 1))
			})
		})
	}
}
