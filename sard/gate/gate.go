// Package gate decides in an instance which submissions are refused because there is too little room in the pool. It
// follows the summaries of the pool's load that the holder of the scheduler lease announces.
package gate

import (
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/admit"
	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/elect"
)

// Config configures a Gate.
type Config struct {
	// Registerer registers the metrics of the Gate; nil registers none.
	Registerer prometheus.Registerer
	// Logger logs refusals and summaries that can't be used.
	Logger hclog.Logger
}

// Gate holds the last summary of the pool's load.
type Gate struct {
	config  Config
	metrics *metrics

	mu   sync.Mutex
	view admit.View
	// read is when the summary was read; Never if it was written at an unknown time.
	read clock.Instant
}

// New returns a Gate that accepts every submission until it has a summary.
func New(config Config) *Gate {
	g := &Gate{config: config, read: clock.Never}
	g.metrics = newMetrics(config.Registerer, g.age)
	return g
}

// Observe takes note of a notice of the holder. The age of a summary counts from when it was first read as a change; one
// that was written at an unknown time is not used.
func (g *Gate) Observe(n elect.Notice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.Holder = n.Holder
	if !n.Fresh {
		return
	}
	summary, err := admit.DecodeSummary(n.Value)
	if err != nil {
		g.config.Logger.Warn("load summary not readable, everything is accepted", "bytes", len(n.Value), "error", err)
	}
	g.view.Summary, g.view.Unreadable, g.read = summary, err != nil, clock.Now()
}

// Decide returns whether a submission is accepted.
func (g *Gate) Decide(r admit.Request) admit.Verdict {
	verdict := admit.Decide(g.current(), r)
	g.metrics.observe(r, verdict)
	if verdict.Refused() {
		g.config.Logger.Info("submission refused", "job", r.ID, "account", r.Account, "priority", r.Priority, "reason", verdict.Reason,
			"wait_ms", verdict.Wait.Milliseconds(), "retry_after_s", verdict.RetryAfter.Seconds(), "summary_age_ms", verdict.Age.Milliseconds())
	}
	return verdict
}

// current returns the view with its age.
func (g *Gate) current() admit.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.view
	v.Age = clock.Since(g.read)
	return v
}

// age returns the age of the last summary in seconds; -1 if there is none.
func (g *Gate) age() float64 {
	v := g.current()
	if v.Summary == nil {
		return -1
	}
	return v.Age.Seconds()
}
