package sched

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/admit"
	"github.com/sardineline/sardineline/sard/pool"
)

// Metrics holds the metrics of the scheduler of an instance. They persist while the instance does not hold the lease.
type Metrics struct {
	holding         prometheus.Gauge
	jobsEnded       *prometheus.CounterVec
	attemptsEnded   *prometheus.CounterVec
	attemptsStopped *prometheus.CounterVec
	violations      *prometheus.CounterVec
	workersLost     prometheus.Counter
	crashesCounted  prometheus.Counter
	partsGivenUp    prometheus.Counter
	recordsRejected prometheus.Counter
	jobSeconds      prometheus.Histogram
	recordSeconds   prometheus.Histogram
	decideSeconds   prometheus.Histogram
	longestRound    prometheus.Gauge
	roundShare      prometheus.Gauge
	pool            *prometheus.GaugeVec
	speeds          *prometheus.GaugeVec
	expectedWait    *prometheus.GaugeVec
	learned         learnedMetrics
	waits           waitMetrics
	groupWaits      groupWaitMetrics
	fences          fenceMetrics
	sharing         sharingMetrics
	choices         *prometheus.CounterVec
}

// NewMetrics creates the scheduler metrics and registers them if registerer is not nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		learned:    newLearnedMetrics(registerer),
		waits:      newWaitMetrics(registerer),
		groupWaits: newGroupWaitMetrics(registerer),
		fences:     newFenceMetrics(registerer),
		sharing:    newSharingMetrics(registerer),
		holding: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "sardine", Subsystem: "sched", Name: "holding", Help: "1 while the instance holds the scheduler lease.",
		}),
		jobsEnded:       newCounterVec("jobs_ended_total", "Jobs whose end was recorded.", "state"),
		attemptsEnded:   newCounterVec("attempts_ended_total", "Ends of attempts, as workers listed them.", "how"),
		attemptsStopped: newCounterVec("attempts_stopped_total", "Stops that were ordered.", "reason"),
		violations:      newCounterVec("promise_breaches_total", "Decisions refused because they would have broken a promise.", "promise"),
		workersLost: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "sardine", Subsystem: "sched", Name: "workers_lost_total", Help: "Workers whose leases lapsed with parts on them.",
		}),
		crashesCounted: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "sardine", Subsystem: "sched", Name: "crashes_counted_total",
			Help: "Crashes of workers that were counted against a part that had just started, once for each part.",
		}),
		recordsRejected: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "sardine", Subsystem: "sched", Name: "records_rejected_total", Help: "Progress records that the store refused for good.",
		}),
		partsGivenUp: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "sardine", Subsystem: "sched", Name: "parts_given_up_total", Help: "Parts whose job failed because their workers crash.",
		}),
		pool: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "sardine", Subsystem: "sched", Name: "pool", Help: "What the pool holds; meaningful while holding.",
		}, []string{"of"}),
		speeds:  newSpeedsGauge(),
		choices: newCounterVec("placements_total", "Groups placed by the learned speeds of workers.", "choice"),
		expectedWait: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "sardine", Subsystem: "sched", Name: "expected_wait_seconds",
			Help: "Least wait of work without a deadline; meaningful while holding.",
		}, []string{"service"}),
	}
	m.addHistograms()
	m.addRoundGauges()
	if registerer != nil {
		registerer.MustRegister(
			m.holding, m.jobsEnded, m.attemptsEnded, m.attemptsStopped, m.violations, m.workersLost, m.crashesCounted,
			m.partsGivenUp, m.recordsRejected, m.jobSeconds, m.recordSeconds, m.decideSeconds, m.longestRound, m.roundShare, m.pool, m.speeds, m.choices, m.expectedWait,
		)
	}
	return m
}

// addHistograms creates the histograms of durations.
func (m *Metrics) addHistograms() {
	m.jobSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: "sardine", Subsystem: "sched", Name: "job_seconds", Help: "Time from the acceptance of a job to its recorded end.",
		Buckets: prometheus.ExponentialBuckets(0.25, 2, 10),
	})
	m.recordSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: "sardine", Subsystem: "sched", Name: "record_seconds", Help: "Time to record a batch of decisions.",
		Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
	})
	m.decideSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: "sardine", Subsystem: "sched", Name: "decide_seconds", Help: "Time that a decision takes.",
		Buckets: prometheus.ExponentialBuckets(0.0001, 4, 8),
	})
}

// addRoundGauges creates the gauges of the rounds of decisions.
func (m *Metrics) addRoundGauges() {
	m.longestRound = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "sardine", Subsystem: "sched", Name: "longest_round_seconds", Help: "Longest round of decisions in the last 5 s; meaningful while holding.",
	})
	m.roundShare = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "sardine", Subsystem: "sched", Name: "round_share", Help: "Share of the last 5 s in which a round of decisions was running; meaningful while holding.",
	})
}

// setRounds sets the gauges of the rounds of decisions.
func (m *Metrics) setRounds(stats roundStats) {
	m.longestRound.Set(stats.longest.Seconds())
	m.roundShare.Set(stats.share)
}

// newCounterVec returns a counter of the scheduler with a single label.
func newCounterVec(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "sardine", Subsystem: "sched", Name: name, Help: help}, []string{label})
}

// setHolding records whether the instance holds the scheduler lease.
func (m *Metrics) setHolding(holding bool) {
	if holding {
		m.holding.Set(1)
		return
	}
	m.holding.Set(0)
}

// jobEnded records the end of a job.
func (m *Metrics) jobEnded(c pool.Change) {
	m.jobsEnded.WithLabelValues(c.Progress.State.String()).Inc()
	m.jobSeconds.Observe(c.Elapsed.Seconds())
}

// observeSince adds the time elapsed since a start time to a histogram, in seconds.
func observeSince(h prometheus.Histogram, since time.Time) {
	h.Observe(time.Since(since).Seconds())
}

// setSummary sets the metrics of the pool from a summary of its jobs, parts and workers.
func (m *Metrics) setSummary(s pool.Summary) {
	m.pool.WithLabelValues("jobs").Set(float64(s.Jobs))
	m.pool.WithLabelValues("waiting_parts").Set(float64(s.Waiting))
	m.pool.WithLabelValues("placed_parts").Set(float64(s.Placed))
	m.pool.WithLabelValues("workers").Set(float64(s.Workers))
	m.pool.WithLabelValues("accelerators").Set(float64(s.Total))
	m.pool.WithLabelValues("accelerators_used").Set(float64(s.Used))
}

// setLoad sets the expected waits from a summary of the pool's load.
func (m *Metrics) setLoad(s admit.Summary) {
	for i := range s.Services {
		m.expectedWait.WithLabelValues(string(s.Services[i].Service)).Set(s.Services[i].LongestWait().Seconds())
	}
}
