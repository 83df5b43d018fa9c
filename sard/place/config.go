package place

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// MaxGangSize is the largest gang and the largest shape of a guarantee.
const MaxGangSize ident.Accelerators = 256

// Config sets the engine's limits. Its zero value works.
type Config struct {
	// CheckpointGrace is used until a Configure event sets another; 0 means 5 s.
	CheckpointGrace time.Duration
	// UrgentGrace bounds the grace of gangs reclaimed for urgent jobs; 0 means 5 s.
	UrgentGrace time.Duration
	// DefaultRunTime is the estimate for kinds that were never seen and declare nothing; 0 means 1 h.
	DefaultRunTime time.Duration
	// ReserveAfter is how long a job waits before it may hold a reservation by age; 0 means 10 min.
	ReserveAfter time.Duration
	// UnschedulableTimeout is how long a job that could not run even in a free domain waits for the topology or the
	// guarantees to change before it is refused; 0 means not at all.
	UnschedulableTimeout time.Duration
	// MaxAgingDelay is how long a job waits before it goes first whatever the load; 0 means 12 h.
	MaxAgingDelay time.Duration
	// MoveCost is the accelerator time that a checkpoint and a restart cost; 0 means 1 min.
	MoveCost time.Duration
	// MaxFailedWorkers is how many different good workers a job fails on before it is refused; 0 means 3.
	MaxFailedWorkers int
	// MaxRepeatedFailures is how often a job may fail again on the same workers, when it can run on no others, before it is
	// refused; 0 means 9.
	MaxRepeatedFailures int
	// QuarantineThreshold is how many different jobs in a row fail on a worker before its quarantine; 0 means 3.
	// Below 0 there is no quarantine.
	QuarantineThreshold int
	// InitialProbeBackoff is the first pause before a quarantined worker is probed; it doubles with each failed probe up
	// to MaxProbePause. 0 means 1 min.
	InitialProbeBackoff time.Duration
	// MaxProbeBackoff bounds the pause between probes; 0 means 10 min.
	MaxProbeBackoff time.Duration
}

func (c Config) withDefaults() Config {
	orDuration(&c.CheckpointGrace, 5*time.Second)
	orDuration(&c.UrgentGrace, 5*time.Second)
	orDuration(&c.DefaultRunTime, time.Hour)
	orDuration(&c.ReserveAfter, 10*time.Minute)
	orDuration(&c.MaxAgingDelay, 12*time.Hour)
	orDuration(&c.MoveCost, time.Minute)
	orDuration(&c.InitialProbeBackoff, time.Minute)
	orDuration(&c.MaxProbeBackoff, 10*time.Minute)
	if c.MaxFailedWorkers == 0 {
		c.MaxFailedWorkers = 3
	}
	if c.MaxRepeatedFailures == 0 {
		c.MaxRepeatedFailures = 9
	}
	if c.QuarantineThreshold == 0 {
		c.QuarantineThreshold = 3
	}
	return c
}

func orDuration(d *time.Duration, def time.Duration) {
	if *d == 0 {
		*d = def
	}
}
