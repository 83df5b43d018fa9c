package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// TestLaterProcessOfOtherKindGetsNoPart guards against parts that are started on a worker by the labels of its former process,
// while the list does not name the later one yet, which is of another kind.
func TestLaterProcessOfOtherKindGetsNoPart(t *testing.T) {
	for _, relist := range []bool{false, true} {
		name := "the list is not changed"
		if relist {
			name = "the former entry is listed again"
		}
		t.Run(name, func(t *testing.T) {
			runTest(t, 2, func(r *harness) {
				r.disturbed.Store(true)
				wa := r.fleet.Worker("wa")
				r.updateFleet(func() { wa.Entry.Labels = []string{"fast"} })
				r.listWorker(wa)
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				r.submit("w1", 8*time.Second, work.Step{Parts: 1, Label: "fast"})
				r.sleep(2 * time.Second)
				former := wa.Entry
				r.updateFleet(func() {
					wa.Crash()
					wa.Entry.Labels = []string{"slow"}
				})
				for range 8 {
					r.sleep(100 * time.Millisecond)
					if relist {
						r.listEntry(former)
					}
				}
				r.listWorker(wa)
				r.sleep(2 * time.Second)
				assert.Equal(t, r.fleet.StartCount(), 1)
				wb := r.fleet.Worker("wb")
				r.updateFleet(func() { wb.Entry.Labels = []string{"fast"} })
				r.listWorker(wb)
				r.waitForState("w1", ident.Succeeded, 15*time.Second)
			})
		})
	}
}
