package speed

import "time"

//go:generate go tool stringer -type=Group -output=group_string.go

// Group is a coarse classification of workers by their speed, for logs and metrics.
type Group int

// Groups of workers.
const (
	// Unknown workers have not been observed enough.
	Unknown Group = iota
	// Slow workers are slower than a typical one by slowBelow or more.
	Slow
	// Typical workers are about as fast as most others.
	Typical
	// Fast workers are faster than a typical one by fastAbove or more.
	Fast
)

const (
	// slowBelow and fastAbove are the limits of Typical.
	slowBelow Log = -0.105
	fastAbove Log = 0.095
)

// Group returns the group of a worker with this estimate.
func (e Estimate) Group() Group {
	switch {
	case !e.Known():
		return Unknown
	case e.Speed < slowBelow:
		return Slow
	case e.Speed >= fastAbove:
		return Fast
	default:
		return Typical
	}
}

// Count returns the number of known workers in each group.
func (m *Model) Count(now time.Time) map[Group]int {
	counts := map[Group]int{}
	for _, h := range m.workers {
		counts[m.estimate(h, now).Group()]++
	}
	return counts
}
