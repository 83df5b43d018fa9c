package sched

import "github.com/prometheus/client_golang/prometheus"

// fenceMetrics tells of the workers that may execute a start late, and of the fencing renewals that are sent to them.
type fenceMetrics struct {
	workers  prometheus.Gauge
	renewals *prometheus.CounterVec
}

// newFenceMetrics creates the metrics and registers them if registerer is not nil.
func newFenceMetrics(registerer prometheus.Registerer) fenceMetrics {
	m := fenceMetrics{
		workers: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "sardine", Subsystem: "sched", Name: "workers_with_open_starts",
			Help: "Workers that may execute a start without a response; meaningful while holding.",
		}),
		renewals: newCounterVec("fencing_renewals_total", "Lease renewals that only raise the epoch which a worker accepts.", "outcome"),
	}
	if registerer != nil {
		registerer.MustRegister(m.workers, m.renewals)
	}
	return m
}
