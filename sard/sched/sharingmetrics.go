package sched

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/share"
)

// sharingMetrics tells of workers on which parts fill beside parts with a latency target.
type sharingMetrics struct {
	// shared counts these workers, and exceeded those of them on which a tail exceeds its target; meanShare is their mean share.
	shared, exceeded, meanShare prometheus.Gauge
	throttles                   *prometheus.CounterVec
	ended                       prometheus.Counter
}

// newSharingMetrics creates the metrics and registers them if registerer is not nil.
func newSharingMetrics(registerer prometheus.Registerer) sharingMetrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "sardine", Subsystem: "sched", Name: name, Help: help})
	}
	m := sharingMetrics{
		shared:    gauge("shared_workers", "Workers on which parts fill beside parts with a latency target; meaningful while holding."),
		exceeded:  gauge("exceeded_workers", "Shared workers on which a tail exceeds its target; meaningful while holding."),
		meanShare: gauge("mean_share", "Mean share of the parts that fill on shared workers, from 0 to 1; meaningful while holding."),
		throttles: newCounterVec("throttles_total", "Throttle requests.", "result"),
		ended: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "sardine", Subsystem: "sched", Name: "sharing_ended_total", Help: "Workers on which parts that fill were stopped, as they can't be throttled there.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.shared, m.exceeded, m.meanShare, m.throttles, m.ended)
	}
	return m
}

// reportSharing updates the metrics of shared workers.
func (s *Scheduler) reportSharing() {
	shared, exceeded, total := 0, 0, share.None
	for _, w := range s.sessions {
		if !w.sharing.shared {
			continue
		}
		shared++
		total += w.sharing.regulator.Share()
		if w.sharing.exceeded {
			exceeded++
		}
	}
	m := &s.config.Metrics.sharing
	m.shared.Set(float64(shared))
	m.exceeded.Set(float64(exceeded))
	m.meanShare.Set(float64(total) / float64(max(shared, 1)) / float64(share.Full))
}
