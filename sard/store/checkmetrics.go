package store

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/reach"
)

// checkMetrics holds the metrics of a Check.
type checkMetrics struct {
	states   *prometheus.GaugeVec
	refusals *prometheus.CounterVec
	probes   prometheus.Counter
}

// newCheckMetrics creates the metrics and registers them, unless registerer is nil. sinceAnswer returns the time since the
// store last answered a call.
func newCheckMetrics(registerer prometheus.Registerer, sinceAnswer func() time.Duration) *checkMetrics {
	const namespace, subsystem = "sardine", "store"
	m := &checkMetrics{
		states: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "partition_state",
			Help: "State of a partition of the store: 0 serving, 1 suspect, 2 closed.",
		}, []string{"partition"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "refusals_total",
			Help: "Calls that were refused at once because their partition of the store is closed.",
		}, []string{"reason"}),
		probes: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "probes_total", Help: "Reads to find out whether a partition of the store serves.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.states, m.refusals, m.probes, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "answer_age_seconds", Help: "Time since the store last answered a call.",
		}, func() float64 { return sinceAnswer().Seconds() }))
	}
	return m
}

// observe records a change of a partition's state.
func (m *checkMetrics) observe(change reach.Change) {
	m.states.WithLabelValues(string(change.Scope)).Set(float64(change.To))
}
