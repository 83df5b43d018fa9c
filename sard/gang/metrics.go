package gang

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/ident"
)

// metrics counts what a domain does.
type metrics struct {
	registerer prometheus.Registerer
	batches    prometheus.Counter
	writes     prometheus.Counter
	states     *prometheus.CounterVec
	breaches   *prometheus.CounterVec
	calls      *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer, dc ident.DataCentre) *metrics {
	labels := prometheus.Labels{"data_centre": string(dc)}
	counter := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "sardine", Subsystem: "domain", Name: name, Help: help, ConstLabels: labels}
	}
	m := &metrics{
		registerer: registerer,
		batches:    prometheus.NewCounter(counter("batches_total", "Batches sent to the table.")),
		writes:     prometheus.NewCounter(counter("writes_total", "Writes sent to the table, without the fences.")),
		states:     prometheus.NewCounterVec(counter("job_transitions_total", "Durable job states reached."), []string{"state"}),
		breaches:   prometheus.NewCounterVec(counter("promise_breaches_total", "Steps refused because they would have broken a promise."), []string{"promise"}),
		calls:      prometheus.NewCounterVec(counter("worker_errors_total", "Failed calls of workers."), []string{"step"}),
	}
	for _, c := range m.collectors() {
		if registerer != nil {
			// A domain that is held again meets no collector of its own: close has removed them.
			_ = registerer.Register(c)
		}
	}
	return m
}

func (m *metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.batches, m.writes, m.states, m.breaches, m.calls}
}

func (m *metrics) close() {
	for _, c := range m.collectors() {
		if m.registerer != nil {
			m.registerer.Unregister(c)
		}
	}
}

func (m *metrics) wrote(writes int) {
	m.batches.Inc()
	m.writes.Add(float64(writes))
}

func (m *metrics) became(state ident.JobState) {
	m.states.WithLabelValues(state.String()).Inc()
}

func (m *metrics) breached(promise string) {
	m.breaches.WithLabelValues(promise).Inc()
}

func (m *metrics) failed(step string) {
	m.calls.WithLabelValues(step).Inc()
}
