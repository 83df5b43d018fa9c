package sched

import (
	"time"

	"github.com/sardineline/sardineline/sard/clock"
)

const (
	// decideBackoff is the minimum pause after a round of decisions, as a multiple of the time that the round took. The pause is
	// no longer than tickPeriod, unless the round is.
	decideBackoff = 4
	// minDecidePause is the shortest pause, in which the events gather that follow a round in numbers.
	minDecidePause = 4 * time.Millisecond
	// maxDecidePause limits the pause after a long round, as a process that was suspended in a round must soon decide again.
	maxDecidePause = 500 * time.Millisecond
	// longRound is how long a round takes at most in an instance that is large enough for its pool.
	longRound = tickPeriod
)

// rounds spaces the rounds of decisions, so that those of up to maxDecidePause leave half of the processor or more to what else
// the scheduler does, and measures them.
type rounds struct {
	// next is when the next round may begin.
	next clock.Instant
	// undecided is set while there are events that no round has taken into account.
	undecided bool
	// measured holds the measurements since measuredSince.
	measured      roundStats
	measuredSince clock.Instant
}

// roundStats are measurements of the rounds in a period.
type roundStats struct {
	count int
	// longest is the time that the longest round took, and total that of all together.
	longest, total time.Duration
	// share is the share of the period in which a round was running.
	share float64
}

// due reports whether a round may begin.
func (r *rounds) due(now clock.Instant) bool { return !now.Before(r.next) }

// end records that a round which began at started has ended.
func (r *rounds) end(started, now clock.Instant) {
	took := now.Sub(started)
	r.next = now.Add(pauseAfter(took))
	r.undecided = false
	r.measured.count++
	r.measured.longest = max(r.measured.longest, took)
	r.measured.total += took
}

// pauseAfter returns the minimum pause after a round that took the given time.
func pauseAfter(took time.Duration) time.Duration {
	return min(max(took, min(took*decideBackoff, tickPeriod), minDecidePause), maxDecidePause)
}

// wakeIn returns the time until the next round if there are events that none has taken into account. Otherwise it reports
// false, as the next tick is soon enough.
func (r *rounds) wakeIn(now clock.Instant) (time.Duration, bool) {
	return r.next.Sub(now), r.undecided && !r.due(now)
}

// take returns the measurements since the last call.
func (r *rounds) take(now clock.Instant) roundStats {
	taken := r.measured
	if period := now.Sub(r.measuredSince); period > 0 && r.measuredSince != clock.Never {
		taken.share = taken.total.Seconds() / period.Seconds()
	}
	r.measured, r.measuredSince = roundStats{}, now
	return taken
}
