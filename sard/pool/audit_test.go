package pool

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// TestAuditRefusesWhatWouldBreakAPromise hands placements to the audit that the search never makes.
func TestAuditRefusesWhatWouldBreakAPromise(t *testing.T) {
	r := newRig(t, 2)
	r.add("other", work.Guaranteed, work.Step{Parts: 1, Need: large, Gang: true})
	full := r.engine.byID[r.on("other")[0]]
	r.engine.AddJob(&work.Job{
		ID: "job", Account: "a", Terms: work.QueueSettings{Service: "s", Priority: 1, Failures: 1},
		Steps: []work.Step{{Parts: 2, Need: large, Gang: true}, {Parts: 1, Need: small, After: []int{0}}},
	}, nil, r.now, r.now.UnixMilli())
	free := r.engine.nodes[1-full.index]
	gang := r.engine.jobs["job"].occurrences[0].steps[0].groups[0]
	later := r.engine.jobs["job"].occurrences[0].steps[1].groups[0]
	tests := []struct {
		name  string
		group *group
		nodes []*node
		with  func()
		want  string
	}{
		{"half of a gang", gang, []*node{free}, nil, promiseWhole},
		{"no room", gang, []*node{free, full}, nil, promiseRoom},
		{"no room, wrong sum", gang, []*node{free, full}, func() { full.used = work.Resources{} }, promiseRoom},
		{"before its turn", later, []*node{free}, nil, promiseOrder},
		{"leaving worker", gang, []*node{free, free}, func() { free.Accepting, free.Capacity = false, times(whole, 2) }, promiseStaying},
		{"other service", gang, []*node{free, free}, func() { free.Accepting, free.Service = true, "x" }, promiseSuitable},
		{"after its last failure", gang, []*node{free, free}, func() { gang.failures = 1 }, promiseBudget},
		{"ended job", gang, []*node{free, free}, func() { gang.job.state = ident.Cancelled }, promiseOnce},
	}
	round := newRound(r.engine, r.now)
	for _, test := range tests {
		if test.with != nil {
			test.with()
		}
		assert.Equal(t, round.audit(test.group, test.nodes), test.want, test.name)
	}
}
