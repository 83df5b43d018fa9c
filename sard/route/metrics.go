package route

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the figures of the request path.
type metrics struct {
	outcomes *prometheus.CounterVec
	attempts *prometheus.CounterVec
	retries  prometheus.Counter
	waiting  prometheus.Gauge
	waits    prometheus.Histogram
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sardine_requests_total", Help: "Requests by route and outcome.",
		}, []string{"Route", "Outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sardine_request_attempts_total", Help: "Attempts at backend servers by how they ended.",
		}, []string{"End"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sardine_request_retries_total", Help: "Requests sent again after an attempt that failed.",
		}),
		waiting: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sardine_requests_waiting", Help: "Requests that wait for a slot.",
		}),
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sardine_request_wait_seconds", Help: "Time that requests waited for a slot.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 4, 8),
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.outcomes, m.attempts, m.retries, m.waiting, m.waits)
	}
	return m
}
