package costs

import (
	"context"
	"slices"

	"github.com/hashicorp/go-hclog"

	"github.com/sardineline/sardineline/sard/bench"
)

// Suites lists the benchmark suites of this package. Their figures include the client and the server side.
var Suites = []bench.Suite{
	{Name: "table", Run: runSuite("table", MeasureTable)},
	{Name: "fleet", Run: runSuite("fleet", MeasureFleet)},
}

// idleFigures are the figures of the calls that an idle instance makes; their items are small.
var idleFigures = []string{"table.put.200B.cpu", "table.get.200B.cpu"}

// maxIdleCallMillis is the processor time per call, in milliseconds, at which 10 calls a second use 2% of a core.
const maxIdleCallMillis = 2

// runSuite measures with the default settings and bounds the calls that an idle instance makes. A failure is a figure
// over its bound.
func runSuite(name string, measure func(context.Context, Config) ([]bench.Figure, error)) func() []bench.Figure {
	return func() []bench.Figure {
		figures, err := measure(context.Background(), Config{})
		if err != nil {
			hclog.Default().Error("benchmark suite failed", "Suite", name, "Error", err)
			return []bench.Figure{{Name: name + ".failed", Value: 1, Unit: "runs", Bound: bench.UpperBound(0)}}
		}
		for i, f := range figures {
			if slices.Contains(idleFigures, f.Name) {
				figures[i].Bound = bench.UpperBound(maxIdleCallMillis)
			}
		}
		return figures
	}
}
