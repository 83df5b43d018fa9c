package table

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/fault"
)

// operation is the name of a DynamoDB API operation, as used in metrics and errors.
type operation string

// Names of the operations.
const (
	opGet      operation = "GetItem"
	opQuery    operation = "Query"
	opPut      operation = "PutItem"
	opTransact operation = "TransactWriteItems"
)

// outcome is the result of a check whether a write that got no definite response took effect. The values are metric
// labels.
type outcome string

const (
	// outcomeApplied means that the write took effect.
	outcomeApplied outcome = "TookEffect"
	// outcomeNotApplied means that the write has not taken effect so far. A copy that is still in transit may do so later.
	outcomeNotApplied outcome = "NotYet"
	// outcomeConflict means that the write cannot take effect any more, because its condition failed.
	outcomeConflict outcome = "OtherWon"
	// outcomeOverwritten means that later writes hide whether the write took effect.
	outcomeOverwritten outcome = "Overtaken"
	// outcomeReadFailed means that the check itself failed.
	outcomeReadFailed outcome = "Unreadable"
)

// metrics holds the Prometheus metrics of a client.
type metrics struct {
	calls    *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	outcomes *prometheus.CounterVec
}

// newMetrics creates the metrics and registers them if registry is not nil.
func newMetrics(registry prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sardine_table_calls_total",
			Help: "Attempts of calls of the table service by operation and result.",
		}, []string{"operation", "result"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "sardine_table_call_seconds",
			Help:    "Time of an attempt of a call of the table service.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 4, 7),
		}, []string{"operation"}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sardine_table_settled_total",
			Help: "Writes with an unknown result, by what reading back told.",
		}, []string{"verdict"}),
	}
	if registry == nil {
		return m, nil
	}
	for _, collector := range []prometheus.Collector{m.calls, m.seconds, m.outcomes} {
		if err := registry.Register(collector); err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "register table metrics", "")
		}
	}
	return m, nil
}

// observe records the result and the duration of one attempt of an operation.
func (m *metrics) observe(op operation, err error, took time.Duration) {
	result := "OK"
	if err != nil {
		result = fault.KindOf(err).String()
	}
	m.calls.WithLabelValues(string(op), result).Inc()
	m.seconds.WithLabelValues(string(op)).Observe(took.Seconds())
}
