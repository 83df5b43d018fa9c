package config

import "github.com/prometheus/client_golang/prometheus"

// These metrics describe the version in force at this instance and the calls that the Agent makes.
var (
	versionDesc      = prometheus.NewDesc("sardine_config_version", "Version of the document in force.", nil, nil)
	knownVersionDesc = prometheus.NewDesc("sardine_config_known_version", "Latest version that is known to be accepted.", nil, nil)
	confirmedAgeDesc = prometheus.NewDesc("sardine_config_confirmed_seconds", "Age of the last confirmation of the version; -1 for none.", nil, nil)
	tableReadsDesc   = prometheus.NewDesc("sardine_config_table_reads_total", "Reads of the table by what was read.", []string{"item"}, nil)
	peerCallsDesc    = prometheus.NewDesc("sardine_config_calls_total", "Calls to and from peers.", []string{"call"}, nil)
)

// Describe sends the descriptors of the metrics of the Agent to descs. It implements prometheus.Collector.
func (a *Agent) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{versionDesc, knownVersionDesc, confirmedAgeDesc, tableReadsDesc, peerCallsDesc} {
		descs <- d
	}
}

// Collect sends the present values of the metrics of the Agent to metrics. It implements prometheus.Collector.
func (a *Agent) Collect(metrics chan<- prometheus.Metric) {
	report, counts := a.Report(), a.Counts()
	confirmed := -1.0
	if report.Confirmed {
		confirmed = report.ConfirmedAgo.Std().Seconds()
	}
	gauge := func(d *prometheus.Desc, x float64) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, x)
	}
	counter := func(d *prometheus.Desc, x uint64, label string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(x), label)
	}
	gauge(versionDesc, float64(report.Version))
	gauge(knownVersionDesc, float64(report.Known))
	gauge(confirmedAgeDesc, confirmed)
	counter(tableReadsDesc, counts.HeadReads, "head")
	counter(tableReadsDesc, counts.RecordReads, "record")
	counter(peerCallsDesc, counts.ExchangesSent, "exchange_sent")
	counter(peerCallsDesc, counts.ExchangesServed, "exchange_served")
	counter(peerCallsDesc, counts.Fetches, "fetch")
}
