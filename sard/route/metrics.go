package route

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the Prometheus metrics of a Router.
type metrics struct {
	outcomes    *prometheus.CounterVec
	attempts    *prometheus.CounterVec
	retries     prometheus.Counter
	waiting     prometheus.Gauge
	waitSeconds prometheus.Histogram
}

// newMetrics creates the metrics and registers them unless registerer is nil.
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
		waitSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sardine_request_wait_seconds", Help: "Time that requests waited for a slot.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 4, 8),
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.outcomes, m.attempts, m.retries, m.waiting, m.waitSeconds)
	}
	return m
}
