package sched

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/pool"
)

// Metrics counts what the scheduler of an instance does. It outlives the times in which the instance holds the lease.
type Metrics struct {
	holding  prometheus.Gauge
	jobs     *prometheus.CounterVec
	parts    *prometheus.CounterVec
	stops    *prometheus.CounterVec
	breaches *prometheus.CounterVec
	lost     prometheus.Counter
	waits    prometheus.Histogram
	records  prometheus.Histogram
	decides  prometheus.Histogram
	pool     *prometheus.GaugeVec
}

// NewMetrics registers the scheduler's metrics; registerer may be nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		holding: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "sardine", Subsystem: "sched", Name: "holding", Help: "1 while the instance holds the scheduler lease.",
		}),
		jobs:     counters("jobs_ended_total", "Jobs whose end was recorded.", "state"),
		parts:    counters("attempts_ended_total", "Ends of attempts, as workers listed them.", "how"),
		stops:    counters("attempts_stopped_total", "Stops that were ordered.", "reason"),
		breaches: counters("promise_breaches_total", "Decisions refused because they would have broken a promise.", "promise"),
		lost: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "sardine", Subsystem: "sched", Name: "workers_lost_total", Help: "Workers whose leases lapsed with parts on them.",
		}),
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "sardine", Subsystem: "sched", Name: "job_seconds", Help: "Time from the acceptance of a job to its recorded end.",
			Buckets: prometheus.ExponentialBuckets(0.25, 2, 10),
		}),
		records: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "sardine", Subsystem: "sched", Name: "record_seconds", Help: "Time to record a batch of decisions.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
		}),
		decides: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "sardine", Subsystem: "sched", Name: "decide_seconds", Help: "Time that a decision takes.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 4, 8),
		}),
		pool: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "sardine", Subsystem: "sched", Name: "pool", Help: "What the pool holds; meaningful while holding.",
		}, []string{"of"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.holding, m.jobs, m.parts, m.stops, m.breaches, m.lost, m.waits, m.records, m.decides, m.pool)
	}
	return m
}

func counters(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "sardine", Subsystem: "sched", Name: name, Help: help}, []string{label})
}

// held notes that the lease was won or lost.
func (m *Metrics) held(holding bool) {
	if holding {
		m.holding.Set(1)
		return
	}
	m.holding.Set(0)
}

// jobEnded notes the recorded end of a job.
func (m *Metrics) jobEnded(c pool.Change) {
	m.jobs.WithLabelValues(c.Progress.State.String()).Inc()
	m.waits.Observe(c.Elapsed.Seconds())
}

// observe notes how long something took.
func observe(h prometheus.Histogram, since time.Time) {
	h.Observe(time.Since(since).Seconds())
}

// show sets what the pool holds.
func (m *Metrics) show(s pool.Summary) {
	m.pool.WithLabelValues("jobs").Set(float64(s.Jobs))
	m.pool.WithLabelValues("waiting_parts").Set(float64(s.Waiting))
	m.pool.WithLabelValues("placed_parts").Set(float64(s.Placed))
	m.pool.WithLabelValues("workers").Set(float64(s.Workers))
	m.pool.WithLabelValues("accelerators").Set(float64(s.Total))
	m.pool.WithLabelValues("accelerators_used").Set(float64(s.Used))
}
