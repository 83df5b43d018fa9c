package costs_test

import (
	"context"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/bench"
	"github.com/sardineline/sardineline/standin/costs"
)

// config returns the configuration of the tests. By default it is small and only checks that each figure can be
// measured. TABLE_CALLS=all selects the default Config, and then TABLE_ENDPOINT the URL of the table service of a
// stand-in in another process. With -v, the figures are printed.
func config() costs.Config {
	if os.Getenv("TABLE_CALLS") == "all" {
		return costs.Config{Endpoint: os.Getenv("TABLE_ENDPOINT")}
	}
	return costs.Config{Calls: 4, ListSizes: []int{10}, FleetSizes: []int{8}, LostAnswers: 1}
}

func TestFigures(t *testing.T) {
	tests := []struct {
		name    string
		measure func(context.Context, costs.Config) ([]bench.Figure, error)
	}{
		{"table", costs.MeasureTable},
		{"fleet", costs.MeasureFleet},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			figures, err := tt.measure(t.Context(), config())
			assert.NilError(t, err)
			assert.Assert(t, len(figures) > 0)
			for _, f := range figures {
				assert.Assert(t, f.Value >= 0, f.Name)
				t.Log(f)
			}
		})
	}
}
