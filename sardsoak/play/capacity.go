package play

import (
	"math/rand/v2"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// shrinkGrace is how long starts may still use the former capacity of a worker after its entry shows that it has shrunk.
	shrinkGrace = 3 * time.Second
	// minShrink is the minimum time for which workers shrink, so that it outlasts the time in which starts may still use their
	// former capacity.
	minShrink = shrinkGrace + heartbeatPeriod + 3*time.Second
)

// shrinkWorkers takes a random part of the capacity of some workers for a time. What runs there runs on.
func shrinkWorkers(h *harness, rng *rand.Rand, duration time.Duration) error {
	workers := h.someWorkers(rng)
	for _, w := range workers {
		left := rng.IntN(int(workerCapacity.Accelerators))
		h.fleet.Update(func() { w.capacity = capacityOf(left) })
	}
	clock.Sleep(h.ctx, max(duration, minShrink))
	for _, w := range workers {
		h.fleet.Update(func() { w.capacity = workerCapacity })
	}
	return nil
}

// capacityOf returns the capacity of a worker that is left with some of its accelerators and as large a share of the rest.
func capacityOf(accelerators int) work.Resources {
	total := int(workerCapacity.Accelerators)
	return work.Resources{
		CPU:          workerCapacity.CPU * work.MilliCores(accelerators) / work.MilliCores(total),
		Memory:       workerCapacity.Memory * work.MiB(accelerators) / work.MiB(total),
		Accelerators: ident.Accelerators(accelerators),
	}
}
