package gate

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/admit"
)

// metrics holds the metrics of a Gate.
type metrics struct {
	decided *prometheus.CounterVec
	waits   *prometheus.HistogramVec
}

// newMetrics creates the metrics and registers them, unless registerer is nil. The function age returns the age of the last
// summary in seconds.
func newMetrics(registerer prometheus.Registerer, age func() float64) *metrics {
	m := &metrics{
		decided: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "sardine", Subsystem: "gate", Name: "submissions_total", Help: "Submissions by the reason of their acceptance or refusal.",
		}, []string{"priority", "reason"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "sardine", Subsystem: "gate", Name: "wait_seconds", Help: "Least wait that a submission was judged by.",
			Buckets: prometheus.ExponentialBuckets(0.25, 2, 12),
		}, []string{"priority"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.decided, m.waits, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "sardine", Subsystem: "gate", Name: "summary_age_seconds", Help: "Age of the last load summary; -1 for none.",
		}, age))
	}
	return m
}

// observe counts a decision.
func (m *metrics) observe(r admit.Request, v admit.Verdict) {
	priority := strconv.Itoa(int(r.Priority))
	m.decided.WithLabelValues(priority, v.Reason.String()).Inc()
	if v.Reason == admit.InTime || v.Refused() {
		m.waits.WithLabelValues(priority).Observe(v.Wait.Seconds())
	}
}
