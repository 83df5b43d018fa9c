package intake

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// collector collects the metrics of a Guard. They are made when they are asked for.
type collector struct {
	guard                              *Guard
	connections, refused, held, limits *prometheus.Desc
}

// newCollector returns the collector of a Guard.
func newCollector(g *Guard) *collector {
	desc := func(name, help, label string) *prometheus.Desc {
		return prometheus.NewDesc("sardine_intake_"+name, help, []string{label}, prometheus.Labels{"listener": g.config.Name})
	}
	return &collector{
		guard:       g,
		connections: desc("connections", "Open connections of clients.", "phase"),
		refused:     desc("refused_total", "Clients that were refused or whose connection was closed.", "cause"),
		held:        desc("held", "What clients make the process hold: connections, or bytes.", "of"),
		limits:      desc("limit", "The limit of what clients make the process hold.", "of"),
	}
}

// Describe sends the descriptions of the metrics.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.connections, c.refused, c.held, c.limits} {
		out <- d
	}
}

// Collect sends the metrics.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value int64, label string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(value), label)
	}
	open := 0
	for p, n := range c.guard.conns.counts() {
		gauge(c.connections, int64(n), Phase(p).String())
		open += n
	}
	for cause := range causeCount {
		count := float64(c.guard.refused[cause].Load())
		out <- prometheus.MustNewConstMetric(c.refused, prometheus.CounterValue, count, cause.String())
	}
	limits := c.guard.config.Limits
	for _, b := range []struct {
		of          string
		held, limit int64
	}{
		{"Connections", int64(open), int64(limits.Connections)},
		{"BodyBytes", c.guard.bodies.inUse(), limits.BodyBytes},
		{"ServingBytes", c.guard.serving.used.Load(), limits.ServingBytes},
	} {
		gauge(c.held, b.held, b.of)
		gauge(c.limits, b.limit, b.of)
	}
}

// refusals counts refused clients by cause.
type refusals [causeCount]atomic.Int64
