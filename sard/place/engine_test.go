package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

var epoch = time.Date(2026, 12, 31, 20, 0, 0, 0, time.UTC)

// workers makes racks of 8 workers.
func workers(n int, size ident.Accelerators) []place.Worker {
	list := make([]place.Worker, 0, n)
	for i := range n {
		list = append(list, place.Worker{
			Name:         ident.Worker(fmt.Sprintf("r%d-w%d", i/8, i%8)),
			Rack:         ident.Rack(fmt.Sprintf("r%d", i/8)),
			Accelerators: size,
		})
	}
	return list
}

func job(id string, account ident.Account, n ident.Accelerators) place.Job {
	return place.Job{
		ID: ident.Job(id), Account: account, Kind: "pricing", Accelerators: n,
		RunTime: time.Hour, Checkpointable: true, Submitted: epoch,
	}
}

// script applies events a second apart and returns all decisions.
func script(e *place.Engine, events ...place.Event) []place.Decision {
	var all []place.Decision
	for i, ev := range events {
		all = append(all, e.Apply(epoch.Add(time.Duration(i)*time.Second), ev)...)
	}
	return all
}

func find[D place.Decision](decisions []place.Decision, match func(D) bool) (D, bool) {
	for _, d := range decisions {
		if d, ok := d.(D); ok && match(d) {
			return d, true
		}
	}
	var none D
	return none, false
}

func TestPlaceWholeGangs(t *testing.T) {
	tests := []struct {
		name  string
		size  ident.Accelerators
		parts int
	}{
		{"one accelerator", 1, 1},
		{"one worker", 8, 1},
		{"part of two workers", 12, 2},
		{"rack", 64, 8},
		{"four racks", 256, 32},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := place.New(place.Config{})
			out := script(e, place.Topology{Workers: workers(50, 8)}, place.Submit{Job: job("a", "kowhai", tt.size)})
			p, ok := find(out, func(p place.Place) bool { return p.Job == "a" })
			assert.Assert(t, ok)
			assert.Equal(t, len(p.Parts), tt.parts)
			assert.Equal(t, p.Attempt, ident.Attempt(1))
			assert.Assert(t, p.Borrowed)
		})
	}
}

func TestReclaimGuarantee(t *testing.T) {
	e := place.New(place.Config{})
	out := script(e,
		place.Configure{
			CheckpointGrace: 20 * time.Second,
			Accounts: []place.Account{
				{Name: "north", Guarantees: []place.Guarantee{{Accelerators: 64, Count: 1}}},
				{Name: "south"},
			},
		},
		place.Topology{Workers: workers(8, 8)},
		place.Submit{Job: job("small", "south", 8)},
		place.Submit{Job: job("large", "north", 64)},
	)
	r, ok := find(out, func(r place.Reclaim) bool { return r.Job == "small" })
	assert.Assert(t, ok)
	assert.Equal(t, r.For, ident.Job("large"))
	assert.Equal(t, r.Grace, 20*time.Second)
	out = e.Apply(epoch.Add(time.Minute), place.Ended{Job: "small", Attempt: 1, Result: place.Requeued})
	p, ok := find(out, func(p place.Place) bool { return p.Job == "large" })
	assert.Assert(t, ok)
	assert.Assert(t, !p.Borrowed)
}
