package place

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// MaxGangSize is the largest number of accelerators of a gang and of a guaranteed cell.
const MaxGangSize ident.Accelerators = 256

// Config sets the engine's limits. The zero value selects the defaults.
type Config struct {
	// CheckpointGrace is how long a reclaimed gang may take to write its checkpoint, until a Configure event sets
	// another value; 0 means 5 s.
	CheckpointGrace time.Duration
	// UrgentGrace caps the checkpoint grace of gangs that are reclaimed for urgent jobs; 0 means 5 s.
	UrgentGrace time.Duration
	// DefaultRunTime is the estimated run time of a job that declares none, until a job of its account and kind has
	// succeeded; 0 means 1 h.
	DefaultRunTime time.Duration
	// ReserveAfter is the shortest wait after which a job can be aged, that is go ahead of others and have a cell
	// reserved for it; 0 means 10 min.
	ReserveAfter time.Duration
	// UnschedulableTimeout is how long a job that would not fit even if no other job ran waits for the topology or
	// the guarantees to change before it is refused; 0 refuses it at once.
	UnschedulableTimeout time.Duration
	// MaxAgingDelay is the longest wait after which a job is aged (see ReserveAfter), at any load; 0 means 12 h.
	MaxAgingDelay time.Duration
	// MoveCost is the run time that a gang loses by a checkpoint and a restart; 0 means 1 min.
	MoveCost time.Duration
	// MaxFailedWorkers is the number of different workers on which a job must fail to be refused, not counting
	// workers in quarantine; 0 means 3.
	MaxFailedWorkers int
	// MaxRepeatedFailures is how often a job must fail again, only on workers on which it had failed before, to be
	// refused. It ends the retries of a job that can run on no others; 0 means 9.
	MaxRepeatedFailures int
	// QuarantineThreshold is how many different jobs must fail on a worker, without a success in between, for it to
	// be quarantined; 0 means 3. A negative value disables quarantine.
	QuarantineThreshold int
	// InitialProbeBackoff is the pause before a quarantined worker is probed for the first time. It doubles with
	// each failed probe up to MaxProbeBackoff; 0 means 1 min.
	InitialProbeBackoff time.Duration
	// MaxProbeBackoff caps the pause between probes of a quarantined worker; 0 means 10 min.
	MaxProbeBackoff time.Duration
}

// withDefaults returns c with its zero fields replaced by the defaults.
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

// orDuration sets a zero duration to def.
func orDuration(d *time.Duration, def time.Duration) {
	if *d == 0 {
		*d = def
	}
}
