package policy

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the metrics of a Source.
type metrics struct {
	size        prometheus.Gauge
	readSeconds *prometheus.HistogramVec
}

// newMetrics creates the metrics of a Source and registers them, unless registerer is nil. The age of the configuration is
// read from staleness.
func newMetrics(registerer prometheus.Registerer, staleness func() time.Duration) *metrics {
	m := &metrics{
		size: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "sardine", Subsystem: "policy", Name: "bytes", Help: "Size of the row of the configuration in force.",
		}),
		readSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "sardine", Subsystem: "policy", Name: "read_seconds", Help: "Time of a read that confirms the configuration; NextChange waits for a change.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 14),
		}, []string{"read", "result"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.size, m.readSeconds, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "sardine", Subsystem: "policy", Name: "age_seconds", Help: "Time since the configuration in force was confirmed.",
		}, func() float64 { return staleness().Seconds() }))
	}
	return m
}

// observeRead records the kind and duration of a read, and whether it failed.
func (m *metrics) observeRead(kind readKind, elapsed time.Duration, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.readSeconds.WithLabelValues(kind.String(), result).Observe(elapsed.Seconds())
}
