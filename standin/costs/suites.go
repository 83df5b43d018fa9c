package costs

import (
	"context"
	"slices"

	"github.com/hashicorp/go-hclog"

	"github.com/sardineline/sardineline/sard/bench"
)

// Suites lists the benchmark suites of this package. Their figures include the processor time of both the client and
// the server, which run in one process.
var Suites = []bench.Suite{
	{Name: "table", Run: runSuite("table", MeasureTable)},
	{Name: "fleet", Run: runSuite("fleet", MeasureFleet)},
}

// idleFigures are the names of the figures of the calls that an idle instance makes. Those calls read and write small
// items.
var idleFigures = []string{"table.put.200B.cpu", "table.get.200B.cpu"}

// maxIdleCallMillis is the upper bound of the processor time of a call that an idle instance makes, in milliseconds. At
// this value, 10 calls a second use 2% of a core.
const maxIdleCallMillis = 2

// runSuite returns a function that measures with the default settings and sets the bound of idleFigures. If the
// measurement fails, the function returns a figure over its bound.
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
