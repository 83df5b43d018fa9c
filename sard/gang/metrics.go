package gang

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/ident"
)

// metrics holds the Prometheus counters of a domain: table writes, job states reached, invariant violations and failed
// worker calls.
type metrics struct {
	registerer  prometheus.Registerer
	batches     prometheus.Counter
	writes      prometheus.Counter
	transitions *prometheus.CounterVec
	violations  *prometheus.CounterVec
	callErrors  *prometheus.CounterVec
}

// newMetrics creates a domain's collectors and registers them unless registerer is nil.
func newMetrics(registerer prometheus.Registerer, dc ident.DataCentre) *metrics {
	labels := prometheus.Labels{"data_centre": string(dc)}
	counter := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "sardine", Subsystem: "domain", Name: name, Help: help, ConstLabels: labels}
	}
	m := &metrics{
		registerer:  registerer,
		batches:     prometheus.NewCounter(counter("batches_total", "Batches sent to the table.")),
		writes:      prometheus.NewCounter(counter("writes_total", "Writes sent to the table, without the fences.")),
		transitions: prometheus.NewCounterVec(counter("job_transitions_total", "Durable job states reached."), []string{"state"}),
		violations:  prometheus.NewCounterVec(counter("promise_breaches_total", "Steps refused because they would have broken a promise."), []string{"promise"}),
		callErrors:  prometheus.NewCounterVec(counter("worker_errors_total", "Failed calls of workers."), []string{"step"}),
	}
	for _, c := range m.collectors() {
		if registerer != nil {
			// Registration can't conflict when the domain is acquired again, since close has removed its collectors.
			_ = registerer.Register(c)
		}
	}
	return m
}

// collectors returns all Prometheus collectors of the domain.
func (m *metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.batches, m.writes, m.transitions, m.violations, m.callErrors}
}

// close unregisters the Prometheus collectors of the domain.
func (m *metrics) close() {
	for _, c := range m.collectors() {
		if m.registerer != nil {
			m.registerer.Unregister(c)
		}
	}
}

// batchSent counts a batch sent to the table and its writes.
func (m *metrics) batchSent(writes int) {
	m.batches.Inc()
	m.writes.Add(float64(writes))
}

// stateReached counts a durable transition to a job state.
func (m *metrics) stateReached(state ident.JobState) {
	m.transitions.WithLabelValues(state.String()).Inc()
}

// violationFound counts a step that would violate an invariant.
func (m *metrics) violationFound(invariant string) {
	m.violations.WithLabelValues(invariant).Inc()
}

// callFailed counts a failed worker call.
func (m *metrics) callFailed(step string) {
	m.callErrors.WithLabelValues(step).Inc()
}
