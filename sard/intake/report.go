package intake

import (
	"sync"
	"time"
)

// summaryInterval is the time between two lines of the log about refusals that go on.
const summaryInterval = 5 * time.Second

// report collects the refusals of one cause for the log: one line when they begin, one in each summaryInterval while they go
// on, and one when they have ended.
type report struct {
	mu     sync.Mutex
	active bool
	since  time.Time
	// recent counts the refusals since the last line, total those since the first one.
	recent, total int
}

// note counts a refusal and logs it, if it is the first one.
func (g *Guard) note(cause Cause) {
	g.refused[cause].Add(1)
	r := &g.reports[cause]
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recent++
	r.total++
	if r.active {
		return
	}
	r.active, r.since, r.recent = true, time.Now(), 0
	g.config.Logger.Warn("clients refused", "listener", g.config.Name, "cause", cause.String())
	time.AfterFunc(summaryInterval, func() { g.summarize(cause) })
}

// summarize logs how many refusals there were since the last line.
func (g *Guard) summarize(cause Cause) {
	r := &g.reports[cause]
	r.mu.Lock()
	defer r.mu.Unlock()
	log := g.config.Logger.With("listener", g.config.Name, "cause", cause.String(), "count", r.total, "lasted_ms", time.Since(r.since).Milliseconds())
	if r.recent == 0 {
		log.Info("no more clients refused")
		r.active, r.total = false, 0
		return
	}
	r.recent = 0
	log.Warn("clients still refused")
	time.AfterFunc(summaryInterval, func() { g.summarize(cause) })
}
