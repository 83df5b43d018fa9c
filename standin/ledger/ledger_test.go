package ledger_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/worker"
	"github.com/sardineline/sardineline/standin/ledger"
)

// lease is the duration of the leases of parts in the tests.
const lease = 5 * time.Second

// event is the start or end of a part on a worker, at a number of seconds after the start of the test.
type event struct {
	second  int
	worker  ident.Worker
	attempt ident.Attempt
	// state is the state of the part after the event; PartRunning means that the part starts.
	state ident.PartState
}

func TestJobs(t *testing.T) {
	const (
		run  = ident.PartRunning
		done = ident.PartDone
		stop = ident.PartStopped
	)
	tests := []struct {
		name string
		acts []event
		want ledger.Totals
	}{
		{
			"complete",
			[]event{{0, "a", 1, run}, {1, "b", 1, run}, {9, "a", 1, done}, {10, "b", 1, done}},
			ledger.Totals{JobsStarted: 1, JobsCompleted: 1},
		},
		{
			"one part starts late",
			[]event{{0, "a", 1, run}, {6, "b", 1, run}, {9, "a", 1, done}, {9, "b", 1, done}},
			ledger.Totals{JobsStarted: 1, JobsCompleted: 1, Partly: 1},
		},
		{
			"one part continues alone",
			[]event{{0, "a", 1, run}, {0, "b", 1, run}, {1, "b", 1, stop}, {8, "a", 1, stop}},
			ledger.Totals{JobsStarted: 1, Partly: 1, Lost: 1},
		},
		{
			"second attempt completes",
			[]event{
				{0, "a", 1, run},
				{0, "b", 1, run},
				{1, "a", 1, stop},
				{1, "b", 1, stop},
				{2, "a", 2, run},
				{2, "b", 2, run},
				{4, "a", 2, done},
				{4, "b", 2, done},
			},
			ledger.Totals{JobsStarted: 1, JobsCompleted: 1},
		},
		{
			"runs again after completion",
			[]event{
				{0, "a", 1, run},
				{0, "b", 1, run},
				{1, "a", 1, done},
				{1, "b", 1, done},
				{2, "a", 2, run},
				{2, "b", 2, run},
				{4, "a", 2, stop},
				{4, "b", 2, stop},
			},
			ledger.Totals{JobsStarted: 1, JobsCompleted: 1, Doubled: 1},
		},
		{
			"attempts overlap",
			[]event{
				{0, "a", 1, run},
				{0, "b", 1, run},
				{2, "a", 2, run},
				{2, "b", 2, run},
				{3, "a", 1, stop},
				{3, "b", 1, stop},
				{4, "a", 2, done},
				{4, "b", 2, done},
			},
			ledger.Totals{JobsStarted: 1, JobsCompleted: 1, Overlapping: 1},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := ledger.New(nil)
				started := time.Now()
				for _, a := range tt.acts {
					time.Sleep(time.Until(started.Add(time.Duration(a.second) * time.Second)))
					part := worker.Part{Job: "j", Attempt: a.attempt}
					if a.state == run {
						l.RecordReservation(a.worker, part, 2, lease)
						l.RecordStart(a.worker, part)
						continue
					}
					l.RecordEnd(a.worker, part, a.state, time.Now())
				}
				l.AddExpected(ledger.Expected{Succeeded: []ident.Job{"j"}})
				assert.DeepEqual(t, l.Report().Totals, tt.want)
			})
		})
	}
}

func TestRequests(t *testing.T) {
	l := ledger.New([]string{"/claims"})
	l.RecordRequest("s0", "r1", "", "/quotes/1")
	l.RecordRequest("s1", "r1", "", "/quotes/1")
	l.RecordRequest("s0", "r2", "k", "/claims/1")
	l.RecordRequest("s1", "r3", "k", "/claims/1")
	l.RecordRequest("s0", "r4", "", "/claims/2")
	l.RecordRequest("s0", "r4", "", "/claims/2")
	l.AddExpected(ledger.Expected{Answered: []ident.Request{"r1", "r5"}, NotRun: []ident.Request{"r4", "r6"}})
	want := ledger.Totals{RequestsRun: 4, Runs: 6, Doubled: 2, Lost: 1, NotRunButRan: 1}
	assert.DeepEqual(t, l.Report().Totals, want)
	assert.Equal(t, len(l.Report().Repeated), 3)
}
