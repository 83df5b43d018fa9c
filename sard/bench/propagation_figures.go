package bench

import (
	"context"
	"fmt"
	"time"
)

// The bounds of the time in seconds until a document is in force on all instances, and the numbers of instances to
// which they apply.
const (
	maxInForceSmallSeconds = 2
	maxInForceLargeSeconds = 10
	smallFleetInstances    = 9
	largeFleetInstances    = 400
)

// DocumentPropagation measures in real time how documents propagate between instances in one process.
func DocumentPropagation() []Figure {
	var figures []Figure
	for _, n := range []int{smallFleetInstances, largeFleetInstances} {
		cfg := PropagationConfig{Instances: n, Changes: 3, IdlePeriod: 10 * time.Second}
		r, err := MeasurePropagation(context.Background(), cfg)
		figures = append(figures, r.figures(cfg, err)...)
	}
	return figures
}

// figures returns the figures of a measurement. One that failed counts as a change that took propagationTimeout.
func (r PropagationResult) figures(cfg PropagationConfig, err error) []Figure {
	name := fmt.Sprintf("document.%d", cfg.Instances)
	bound := UpperBound(maxInForceLargeSeconds)
	if cfg.Instances <= smallFleetInstances {
		bound = UpperBound(maxInForceSmallSeconds)
	}
	if err != nil {
		return []Figure{{name + ".in_force_max", propagationTimeout.Seconds(), "s", bound}}
	}
	instances := float64(cfg.Instances)
	return []Figure{
		{name + ".in_force_p50", quantile(r.InForce, 0.5).Seconds(), "s", Bound{}},
		{name + ".in_force_p99", quantile(r.InForce, 0.99).Seconds(), "s", Bound{}},
		{name + ".in_force_max", quantile(r.InForce, 1).Seconds(), "s", bound},
		{name + ".told_p50", quantile(r.Acknowledged, 0.5).Seconds(), "s", Bound{}},
		{name + ".rest_reads", r.Idle.TableReads, "reads/s", Bound{}},
		{name + ".rest_bytes_each", r.Idle.Bytes / instances, "B/s", Bound{}},
		{name + ".change_calls_each", r.Change.Calls / instances, "calls", Bound{}},
		{name + ".change_bytes_each", r.Change.Bytes / instances, "B", Bound{}},
	}
}
