package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/policy"
	"github.com/sardineline/sardineline/sard/work"
)

// placeInDataCentres puts the first half of the workers in data centre north and the rest in south.
func (r *harness) placeInDataCentres(workers int) {
	for i := range workers {
		w := r.fleet.Worker(workerName(i))
		r.updateFleet(func() {
			w.Entry.DataCentre = "south"
			if i < workers/2 {
				w.Entry.DataCentre = "north"
			}
		})
		r.listWorker(w)
	}
}

// startsIn returns the number of attempts that were started, or have ended, on the workers of a data centre.
func (r *harness) startsIn(dc ident.DataCentre) int {
	starts := 0
	r.fleet.ForEachWorker(func(w *fakes.Worker) {
		if w.Entry.DataCentre == dc {
			starts += w.RunningCount() + w.EndedCount()
		}
	})
	return starts
}

// TestEvacuatedDataCentreGetsNoNewParts evacuates data centres while jobs keep arriving, in ways that must not let a
// part start there.
func TestEvacuatedDataCentreGetsNoNewParts(t *testing.T) {
	tests := []struct {
		name string
		// disturb is called after the evacuation of north.
		disturb func(r *harness, killFirst func())
		// south tells whether south is to get parts.
		south bool
	}{
		{"while the holder serves", func(*harness, func()) {}, true},
		{"across a takeover", func(r *harness, killFirst func()) { killFirst() }, true},
		{"with a second data centre", func(r *harness, _ func()) {
			r.evacuations.Store(policy.NewEvacuations("north", "south"))
		}, false},
		{"by an instance that does not know the evacuations yet", func(r *harness, killFirst func()) {
			r.evacuations.Store(nil)
			killFirst()
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 4, func(r *harness) {
				r.placeInDataCentres(4)
				kill := r.startInstance("i1")
				r.sleep(time.Second)
				r.startInstance("i2")
				r.evacuations.Store(policy.NewEvacuations("north"))
				test.disturb(r, kill)
				r.sleep(5 * time.Second)
				for _, id := range []ident.Job{"ja", "jb", "jc", "jd"} {
					r.submit(id, time.Second, work.Step{Parts: 4})
					r.sleep(500 * time.Millisecond)
				}
				assert.Equal(t, r.startsIn("north"), 0)
				assert.Equal(t, r.startsIn("south") > 0, test.south)
			})
		})
	}
}

// TestPartsRunOnInEvacuatedDataCentre checks that an evacuation stops nothing that runs.
func TestPartsRunOnInEvacuatedDataCentre(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		r.placeInDataCentres(2)
		r.startInstance("i1")
		r.sleep(time.Second)
		r.submit("w1", 3*time.Second, work.Step{Parts: 2, Gang: true})
		r.sleep(time.Second)
		r.evacuations.Store(policy.NewEvacuations("north"))
		r.waitForState("w1", ident.Succeeded, 4*time.Second)
		assert.Equal(t, r.fleet.StartCount(), 2)
	})
}

// TestDataCentreTakenBackIsUsedWithinASecond removes an evacuation while a job waits for room.
func TestDataCentreTakenBackIsUsedWithinASecond(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		r.placeInDataCentres(2)
		r.startInstance("i1")
		r.evacuations.Store(policy.NewEvacuations("north"))
		r.sleep(time.Second)
		r.submit("w1", time.Second, work.Step{Parts: 2, Gang: true})
		r.sleep(3 * time.Second)
		assert.Equal(t, r.fleet.StartCount(), 0)
		r.evacuations.Store(policy.NewEvacuations())
		r.sleep(time.Second)
		assert.Equal(t, r.startsIn("north"), 1)
	})
}
