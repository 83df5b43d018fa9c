package pool

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/speed"
	"github.com/sardineline/sardineline/sard/work"
)

// newKnownHarness returns a harness whose engine knows the speeds of its workers well; 0 stands for an unknown one.
func newKnownHarness(t *testing.T, speeds []float64) *harness {
	h := newSpeedHarness(t, len(speeds))
	snapshot := speed.Snapshot{Spread: 0.1, Noise: 0.05}
	for i, factor := range speeds {
		if factor > 0 {
			snapshot.Entries = append(snapshot.Entries, speed.Entry{
				Worker: workerID(i), Mean: int32(1000 * speed.LogOf(factor)), Squares: 500, Weight: 10_000,
			})
		}
	}
	h.engine.RestoreSpeeds(snapshot, h.now)
	return h
}

// TestPlacementBySpeed checks which workers work gets by its slack, for each pattern of speeds.
func TestPlacementBySpeed(t *testing.T) {
	gang := work.Step{Parts: 2, Need: largePart, Gang: true}
	single := work.Step{Parts: 1, Need: largePart}
	rackGang := work.Step{Parts: 2, Need: largePart, Gang: true, SameRack: true}
	tests := []struct {
		name     string
		speeds   []float64
		priority work.Priority
		step     work.Step
		want     []int
	}{
		{"guaranteed gang, two groups", []float64{1, 2, 1, 2, 1}, work.Guaranteed, gang, []int{1, 3}},
		{"gang with slack, two groups", []float64{1, 2, 1, 2, 1}, 1, gang, []int{0, 2}},
		{"gang with slack that a slow group makes late", []float64{1, 0.2, 1, 0.2, 1}, 1, gang, []int{0, 2}},
		{"guaranteed gang, continuum", []float64{0.8, 1, 1.2, 1.5, 1.9}, work.Guaranteed, gang, []int{3, 4}},
		{"single part with slack, continuum", []float64{1.9, 0.5, 0.9, 1.2, 1.5}, 1, single, []int{1}},
		{"equal workers", []float64{1, 1, 1, 1}, work.Guaranteed, gang, []int{0, 1}},
		{"gang that needs a typical worker leaves a fast one", []float64{1, 2, 1, 1}, work.Guaranteed, gang, []int{0, 2}},
		{"gang of one rack", []float64{2, 1, 1, 1, 1, 1, 1, 1, 2, 1.6, 1}, work.Guaranteed, rackGang, []int{8, 9}},
		{"part with slack explores", []float64{1, 1, 0, 2}, 1, single, []int{2}},
		{"guaranteed gang does not explore", []float64{1, 0, 0, 1}, work.Guaranteed, gang, []int{0, 3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newKnownHarness(t, tt.speeds)
			h.addJob("j", tt.priority, tt.step)
			var want []ident.Worker
			for _, i := range tt.want {
				want = append(want, workerID(i))
			}
			got := h.workersOf("j")
			slices.Sort(got)
			assert.DeepEqual(t, got, want)
		})
	}
}

// TestPreemptionPrefersFastWorkers checks that a guaranteed gang that must have others stopped gets workers on which it
// ends in time.
func TestPreemptionPrefersFastWorkers(t *testing.T) {
	h := newKnownHarness(t, []float64{0.2, 1, 0.2, 1})
	h.addJob("low", 1, work.Step{Parts: 4, Need: largePart, Estimate: time.Minute})
	h.addJob("quote", work.Guaranteed, work.Step{Parts: 2, Need: largePart, Gang: true})
	h.confirmStops()
	got := h.workersOf("quote")
	slices.Sort(got)
	assert.DeepEqual(t, got, []ident.Worker{workerID(1), workerID(3)})
}

// TestGangIsSpreadOnlyIfWaitingIsWorse checks that a gang that fits on no rack now is spread over racks if it ends in time
// there, and waits if a rack is free in time or if it would be late on several.
func TestGangIsSpreadOnlyIfWaitingIsWorse(t *testing.T) {
	tests := []struct {
		name string
		// others is the estimated run time of what occupies all workers of both racks but one, and estimate that of the
		// gang.
		others, estimate time.Duration
		stretch          float64
		racks            int
	}{
		{"a rack is free soon", 20 * time.Second, 20 * time.Second, 4, 0},
		{"no rack is free for long", 10 * time.Minute, 20 * time.Second, 4, 2},
		{"late on several racks", 10 * time.Minute, 20 * time.Second, 2, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newKnownHarness(t, slices.Repeat([]float64{1}, 16))
			wide := work.Resources{CPU: 1000, Memory: largePart.Memory, Accelerators: 1}
			for _, rack := range []ident.Rack{"r0", "r1"} {
				h.addJob(ident.Job(rack), work.Guaranteed, work.Step{Parts: 7, Need: wide, Estimate: tt.others, DataRack: rack})
			}
			h.engine.AddJob(&work.Job{
				ID: "gang", Account: "b", AcceptedMs: h.now.UnixMilli(),
				Terms: work.QueueSettings{Service: "s", Priority: 1, Failures: 3, Stretch: tt.stretch, Target: time.Second},
				Steps: []work.Step{{Parts: 2, Need: wide, Estimate: tt.estimate, Gang: true, SameRack: true}},
			}, nil, h.now, h.now.UnixMilli())
			h.decide()
			assert.Equal(t, h.rackCount("gang"), tt.racks)
		})
	}
}

// TestSmallPoolIsPackedTightly checks that speeds have no effect on placement in a pool with fewer racks than configured.
func TestSmallPoolIsPackedTightly(t *testing.T) {
	for _, test := range []struct {
		name  string
		racks int
		want  bool
	}{{"as many racks as configured", 2, true}, {"fewer", 3, false}} {
		h := newSpeedHarness(t, 16)
		h.engine.config.MinSpeedRacks = test.racks
		assert.Equal(t, h.engine.placesBySpeed(), test.want, test.name)
	}
}
