package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// TestDoneGangStartsNoMember guards against members of a gang that run again after the gang is done, because the response
// to their start was lost and their worker has started again.
func TestDoneGangStartsNoMember(t *testing.T) {
	tests := []struct {
		name   string
		listed bool
	}{
		{"the list names the former process", false},
		{"the list names the later process", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 2, func(r *harness) {
				r.disturbed.Store(true)
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				wa := r.fleet.Worker("wa")
				r.updateFleet(func() { wa.DropReplies = true })
				r.submit("wj1", 300*time.Millisecond, work.Step{Parts: 2, Gang: true})
				r.waitForState("wj1", ident.Succeeded, 5*time.Second)
				r.updateFleet(func() {
					wa.Crash()
					wa.DropReplies = false
				})
				if test.listed {
					r.listWorker(wa)
				}
				r.sleep(8 * time.Second)
				assert.Equal(t, r.fleet.StartCount(), 2)
			})
		})
	}
}
