// Package play runs instances as processes against a store and workers of its own, disturbs them from outside, and
// checks the promises of the scheduler from what its callers and workers see.
package play

import (
	"time"

	"github.com/hashicorp/go-hclog"
)

// Config describes a run.
type Config struct {
	// Seed decides what is drawn: jobs, troubles and their times.
	Seed uint64
	// Duration is how long jobs and troubles come.
	Duration time.Duration
	// Program is the daemon's executable.
	Program string
	// Dir takes settings and logs; it must exist.
	Dir string
	// Instances and Workers are how many of each are played.
	Instances, Workers int
	// JobsPerSecond is the mean rate at which jobs come.
	JobsPerSecond float64
	// FaultInterval is the mean time between the beginnings of two troubles, which overlap; 0 for no troubles.
	FaultInterval time.Duration
	// CheckTiming has the promises that name a time checked too. They need a machine that is not overloaded; without them all
	// other times are stretched by untimedStretch.
	CheckTiming bool
	Logger      hclog.Logger
}

// The figures of the platform that is played.
const (
	revocation      = 5 * time.Second
	workerLeaseMax  = 6 * time.Second
	stopTime        = 400 * time.Millisecond
	grace           = 6 * time.Second
	retention       = 2 * time.Minute
	heartbeatPeriod = 1500 * time.Millisecond
	// configTime is the most that a configuration takes to be in force everywhere.
	configTime = 2 * time.Second
	// reclaimTime is the most that a guaranteed job waits for capacity of its account.
	reclaimTime = 2900 * time.Millisecond
	// stableTime is how long after the last disturbance promises that name a time hold again.
	stableTime = 3 * time.Second
	// lossSlack is how long after a call was sent a planned stop may still end its connection unread.
	lossSlack = 200 * time.Millisecond
	// callTime is how long clients wait for an answer.
	callTime = 3 * time.Second
	// finishTime is how long after the last trouble all accepted jobs must have ended.
	finishTime = 60 * time.Second
	// untimedStretch is by how much times are longer where promises that name a time are not checked.
	untimedStretch = 5
)

// stretch returns a time as it counts on this machine.
func (c *Config) stretch(d time.Duration) time.Duration {
	if c.CheckTiming {
		return d
	}
	return d * untimedStretch
}

// What is played has one host and one service.
const (
	host    = "soak.example"
	service = "pool"
)
