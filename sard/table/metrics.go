package table

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/fault"
)

// operation names a call of the API in metrics and errors.
type operation string

const (
	opGet      operation = "GetItem"
	opQuery    operation = "Query"
	opPut      operation = "PutItem"
	opTransact operation = "TransactWriteItems"
)

// verdict is what reading back told of a write whose result was unknown.
type verdict string

const (
	tookEffect verdict = "TookEffect"
	notYet     verdict = "NotYet"
	otherWon   verdict = "OtherWon"
	overtaken  verdict = "Overtaken"
	unreadable verdict = "Unreadable"
)

type metrics struct {
	calls   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
	settled *prometheus.CounterVec
}

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
		settled: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sardine_table_settled_total",
			Help: "Writes with an unknown result, by what reading back told.",
		}, []string{"verdict"}),
	}
	if registry == nil {
		return m, nil
	}
	for _, collector := range []prometheus.Collector{m.calls, m.seconds, m.settled} {
		if err := registry.Register(collector); err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "register table metrics", "")
		}
	}
	return m, nil
}

func (m *metrics) count(op operation, err error, took time.Duration) {
	result := "OK"
	if err != nil {
		result = fault.KindOf(err).String()
	}
	m.calls.WithLabelValues(string(op), result).Inc()
	m.seconds.WithLabelValues(string(op)).Observe(took.Seconds())
}
