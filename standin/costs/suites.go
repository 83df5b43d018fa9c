package costs

import (
	"context"
	"slices"

	"github.com/hashicorp/go-hclog"

	"github.com/sardineline/sardineline/sard/bench"
)

// Suites lists the suites of this package. Both ends of the calls are counted.
var Suites = []bench.Suite{
	{Name: "table", Run: suite("table", MeasureTable)},
	{Name: "fleet", Run: suite("fleet", MeasureFleet)},
}

// idleCalls are the calls of small items that an idle instance makes.
var idleCalls = []string{"table.put.200B.cpu", "table.get.200B.cpu"}

// callLimit is the processor time in milliseconds with which 10 calls a second take 2% of a core.
const callLimit = 2

// suite measures with the default settings and bounds the calls that an idle instance makes. A failure is a figure
// over its bound.
func suite(name string, measure func(context.Context, Config) ([]bench.Figure, error)) func() []bench.Figure {
	return func() []bench.Figure {
		figures, err := measure(context.Background(), Config{})
		if err != nil {
			hclog.Default().Error("suite failed", "Suite", name, "Error", err)
			return []bench.Figure{{Name: name + ".failed", Value: 1, Unit: "runs", Bound: bench.UpperBound(0)}}
		}
		for i, f := range figures {
			if slices.Contains(idleCalls, f.Name) {
				figures[i].Bound = bench.UpperBound(callLimit)
			}
		}
		return figures
	}
}
