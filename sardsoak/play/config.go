// Package play runs instances as processes against its own store and workers, injects faults from outside, and checks
// the invariants of the scheduler by what clients and workers observe.
package play

import (
	"time"

	"github.com/hashicorp/go-hclog"
)

// Config configures a run.
type Config struct {
	// Seed is the seed of all random choices: jobs, faults and their times.
	Seed uint64
	// Duration is how long jobs are submitted and faults are injected.
	Duration time.Duration
	// Program is the executable of the daemon.
	Program string
	// Dir is an existing directory for settings and logs.
	Dir string
	// Instances and Workers are the numbers of instances and workers.
	Instances, Workers int
	// Features lists flags of the daemon that switch on optional features, such as "--pool.run-times".
	Features []string
	// JobsPerSecond is the mean rate of submissions.
	JobsPerSecond float64
	// FaultInterval is the mean time between the starts of two faults, which may overlap; 0 for no faults.
	FaultInterval time.Duration
	// CheckTiming enables the checks of invariants with a time limit, which need a machine that is not overloaded. Without
	// it, the other timeouts are multiplied by untimedFactor.
	CheckTiming bool
	// Logger logs faults and violations.
	Logger hclog.Logger
}

// Limits in the settings of the instances, and the times that the checks allow.
const (
	maxRevocationDelay = 5 * time.Second
	maxWorkerLease     = 6 * time.Second
	maxStopTime        = 400 * time.Millisecond
	gracePeriod        = 6 * time.Second
	retention          = 2 * time.Minute
	heartbeatPeriod    = 1500 * time.Millisecond
	// maxConfigDelay is the longest time until a configuration is in force everywhere.
	maxConfigDelay = 2 * time.Second
	// maxReclaimDelay is the longest time that a guaranteed job waits for capacity of its account.
	maxReclaimDelay = 2900 * time.Millisecond
	// recoveryTime is the time after the last fault from which invariants with a time limit hold again.
	recoveryTime = 3 * time.Second
	// unreadWindow is the time after a call was sent in which a graceful stop may close its connection before the call
	// is read.
	unreadWindow = 200 * time.Millisecond
	// callTimeout is how long clients wait for a response.
	callTimeout = 3 * time.Second
	// finishTimeout is the time after the last fault in which all accepted jobs must end.
	finishTimeout = 60 * time.Second
	// untimedFactor multiplies timeouts when invariants with a time limit are not checked.
	untimedFactor = 5
)

// scaleTimeout returns the timeout to use instead of d, which is longer if timing is not checked.
func (c *Config) scaleTimeout(d time.Duration) time.Duration {
	if c.CheckTiming {
		return d
	}
	return d * untimedFactor
}

// Host and service of all queues.
const (
	host    = "soak.example"
	service = "pool"
)
