package bench

import (
	"context"
	"fmt"
	"time"
)

// The bounds of the time in which a document is in force everywhere, in seconds.
const (
	maxInForceSmall = 2
	maxInForceLarge = 10
	smallFleet      = 9
	largeFleet      = 400
)

// DocumentPropagation are the spread of documents over instances in one process, in real time.
func DocumentPropagation() []Figure {
	var figures []Figure
	for _, n := range []int{smallFleet, largeFleet} {
		cfg := PropagationConfig{Instances: n, Changes: 3, IdlePeriod: 10 * time.Second}
		r, err := MeasurePropagation(context.Background(), cfg)
		figures = append(figures, r.figures(cfg, err)...)
	}
	return figures
}

// figures lists what was measured. A run that failed counts as a change that was never in force.
func (r PropagationResult) figures(cfg PropagationConfig, err error) []Figure {
	name := fmt.Sprintf("document.%d", cfg.Instances)
	bound := UpperBound(maxInForceLarge)
	if cfg.Instances <= smallFleet {
		bound = UpperBound(maxInForceSmall)
	}
	if err != nil {
		return []Figure{{name + ".in_force_max", spreadLimit.Seconds(), "s", bound}}
	}
	n := float64(cfg.Instances)
	return []Figure{
		{name + ".in_force_p50", quantile(r.InForce, 0.5).Seconds(), "s", Bound{}},
		{name + ".in_force_p99", quantile(r.InForce, 0.99).Seconds(), "s", Bound{}},
		{name + ".in_force_max", quantile(r.InForce, 1).Seconds(), "s", bound},
		{name + ".told_p50", quantile(r.Acknowledged, 0.5).Seconds(), "s", Bound{}},
		{name + ".rest_reads", r.Idle.TableReads, "reads/s", Bound{}},
		{name + ".rest_bytes_each", r.Idle.Bytes / n, "B/s", Bound{}},
		{name + ".change_calls_each", r.Change.Calls / n, "calls", Bound{}},
		{name + ".change_bytes_each", r.Change.Bytes / n, "B", Bound{}},
	}
}
