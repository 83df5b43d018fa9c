package domain

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/roster"
)

func TestRankDomains(t *testing.T) {
	load := func(dc ident.DataCentre, total, largestFree ident.Accelerators, waiting int) roster.DomainLoad {
		return roster.DomainLoad{DataCentre: dc, Total: total, LargestFree: largestFree, Waiting: waiting}
	}
	tests := []struct {
		name       string
		size       ident.Accelerators
		candidates []candidate
		want       []ident.DataCentre
	}{
		{"free before guaranteed", 16, []candidate{{load("a", 64, 8, 0), true}, {load("b", 64, 32, 0), false}}, []ident.DataCentre{"b", "a"}},
		{"guaranteed before others", 16, []candidate{{load("a", 64, 8, 0), false}, {load("b", 64, 8, 0), true}}, []ident.DataCentre{"b", "a"}},
		{"least waiting", 16, []candidate{{load("a", 64, 8, 4), false}, {load("b", 64, 8, 2), false}}, []ident.DataCentre{"b", "a"}},
		{"too small is left out", 128, []candidate{{load("a", 64, 64, 0), false}, {load("b", 256, 8, 9), false}}, []ident.DataCentre{"b"}},
		{"none fits", 256, []candidate{{load("a", 64, 64, 0), false}}, []ident.DataCentre{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.DeepEqual(t, rankDomains(tt.size, tt.candidates), tt.want)
		})
	}
}
