package config

import "github.com/prometheus/client_golang/prometheus"

var (
	versionDesc   = prometheus.NewDesc("sardine_config_version", "Version of the document in force.", nil, nil)
	knownDesc     = prometheus.NewDesc("sardine_config_known_version", "Latest version that is known to be accepted.", nil, nil)
	confirmedDesc = prometheus.NewDesc("sardine_config_confirmed_seconds", "Age of the last confirmation of the version; -1 for none.", nil, nil)
	readsDesc     = prometheus.NewDesc("sardine_config_table_reads_total", "Reads of the table by what was read.", []string{"item"}, nil)
	callsDesc     = prometheus.NewDesc("sardine_config_calls_total", "Calls to and from peers.", []string{"call"}, nil)
)

// Describe sends the descriptions of the agent's metrics.
func (a *Agent) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{versionDesc, knownDesc, confirmedDesc, readsDesc, callsDesc} {
		descs <- d
	}
}

// Collect sends the agent's metrics.
func (a *Agent) Collect(metrics chan<- prometheus.Metric) {
	r, c := a.Report(), a.Counts()
	confirmed := -1.0
	if r.Confirmed {
		confirmed = r.ConfirmedAgo.Std().Seconds()
	}
	gauge := func(d *prometheus.Desc, x float64) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, x)
	}
	counter := func(d *prometheus.Desc, x uint64, label string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(x), label)
	}
	gauge(versionDesc, float64(r.Version))
	gauge(knownDesc, float64(r.Known))
	gauge(confirmedDesc, confirmed)
	counter(readsDesc, c.HeadReads, "head")
	counter(readsDesc, c.RecordReads, "record")
	counter(callsDesc, c.ExchangesSent, "exchange_sent")
	counter(callsDesc, c.ExchangesServed, "exchange_served")
	counter(callsDesc, c.Fetches, "fetch")
}
