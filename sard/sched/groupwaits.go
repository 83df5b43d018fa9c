package sched

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/pool"
)

// groupWaitMetrics holds the metrics of the groups whose turn has come and which are not placed, by reason.
type groupWaitMetrics struct {
	groups, longest *prometheus.GaugeVec
	long            *prometheus.CounterVec
}

// newGroupWaitMetrics creates the metrics and registers them if registerer is not nil.
func newGroupWaitMetrics(registerer prometheus.Registerer) groupWaitMetrics {
	gauge := func(name, help string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "sardine", Subsystem: "sched", Name: name, Help: help}, []string{"reason"})
	}
	m := groupWaitMetrics{
		groups:  gauge("waits", "Groups whose turn has come and which wait; meaningful while holding."),
		longest: gauge("longest_wait_seconds", "Longest wait of a group whose turn has come; meaningful while holding."),
		long:    newCounterVec("long_waits_total", "Groups that waited for long although the pool had room.", "reason"),
	}
	if registerer != nil {
		registerer.MustRegister(m.groups, m.longest, m.long)
	}
	return m
}

// set sets the gauges.
func (m *groupWaitMetrics) set(counts pool.WaitCounts) {
	for reason, c := range counts {
		name := pool.WaitReason(reason).String()
		m.groups.WithLabelValues(name).Set(float64(c.Groups))
		m.longest.WithLabelValues(name).Set(c.Longest.Seconds())
	}
}

// reportLongWaits logs and counts the groups that wait for long although the pool has room, each once.
func (s *Scheduler) reportLongWaits() {
	for _, w := range s.engine.TakeLongWaits() {
		s.config.Metrics.groupWaits.long.WithLabelValues(w.Reason.String()).Inc()
		s.config.Logger.Warn("part waits though the pool has room", "job", w.Part.Job, "part", w.Part, "reason", w.Reason.String(), "waited_ms", w.For.Milliseconds())
	}
}
