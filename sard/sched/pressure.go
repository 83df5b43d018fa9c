package sched

import (
	"time"

	"github.com/sardineline/sardineline/sard/admit"
	"github.com/sardineline/sardineline/sard/clock"
)

// loadPeriod is the time between two summaries of the pool's load.
const loadPeriod = time.Second

// pressure tells other instances of the pool's load while work has to wait.
type pressure struct {
	// next is when the load is summed up next.
	next clock.Instant
	// announced is set while the last summary that was announced says that work has to wait.
	announced bool
}

// announceLoad announces a summary of the load if one is due. When no work has to wait any more, one more summary says so.
func (s *Scheduler) announceLoad() {
	if !s.config.Admission || s.config.Announce == nil || clock.Now().Before(s.pressure.next) {
		return
	}
	s.pressure.next = clock.Now().Add(loadPeriod)
	summary := s.engine.Load(time.Now())
	s.config.Metrics.setLoad(summary)
	current := summary.Pressure()
	if !current && !s.pressure.announced {
		return
	}
	if !current {
		summary = admit.Summary{Over: true}
	}
	summary.Epoch = s.lease.Epoch()
	value, err := summary.Encode()
	if err != nil {
		s.config.Logger.Error("load summary not encoded", "error", err)
		return
	}
	if current != s.pressure.announced {
		s.config.Logger.Info("pressure changed", "work_waits", current, "epoch", s.lease.Epoch(), "bytes", len(value))
	}
	s.pressure.announced = current
	s.config.Announce(value)
}
