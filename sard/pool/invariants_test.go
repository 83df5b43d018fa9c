package pool

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// TestInvariantsRejectInvalidPlacements checks that the invariant checks reject placements that the search itself never
// makes.
func TestInvariantsRejectInvalidPlacements(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob("other", work.Guaranteed, work.Step{Parts: 1, Need: largePart, Gang: true})
	full := h.engine.nodesByID[h.workersOf("other")[0]]
	h.engine.AddJob(&work.Job{
		ID: "job", Account: "a", Terms: work.QueueSettings{Service: "s", Priority: 1, Failures: 1},
		Steps: []work.Step{{Parts: 2, Need: largePart, Gang: true}, {Parts: 1, Need: smallPart, After: []int{0}}},
	}, nil, h.now, h.now.UnixMilli())
	free := h.engine.nodes[1-full.index]
	gang := h.engine.jobs["job"].occurrences[0].steps[0].groups[0]
	later := h.engine.jobs["job"].occurrences[0].steps[1].groups[0]
	tests := []struct {
		name  string
		group *group
		nodes []*node
		setup func()
		want  string
	}{
		{"half of a gang", gang, []*node{free}, nil, invariantWholeGroup},
		{"no room", gang, []*node{free, full}, nil, invariantCapacity},
		{"no room, wrong sum", gang, []*node{free, full}, func() { full.allocated = work.Resources{} }, invariantCapacity},
		{"before its turn", later, []*node{free}, nil, invariantStepOrder},
		{"leaving worker", gang, []*node{free, free}, func() { free.Accepting, free.Capacity = false, multiply(workerCapacity, 2) }, invariantNotLeaving},
		{"other service", gang, []*node{free, free}, func() { free.Accepting, free.Service = true, "x" }, invariantEligible},
		{"after its last failure", gang, []*node{free, free}, func() { gang.failures = 1 }, invariantFailureLimit},
		{"ended job", gang, []*node{free, free}, func() { gang.job.state = ident.Cancelled }, invariantSingleAttempt},
	}
	round := newRound(h.engine, h.now)
	for _, test := range tests {
		if test.setup != nil {
			test.setup()
		}
		assert.Equal(t, round.checkInvariants(test.group, test.nodes), test.want, test.name)
	}
}
