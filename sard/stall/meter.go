// Package stall measures for how long a process was kept from running, for example because its machine has too little
// processor time for its load, or was suspended. Timeouts that count this time too would blame the peer for it.
package stall

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// samplePeriod is the time between the wake-ups whose lateness is measured.
	samplePeriod = 50 * time.Millisecond
	// tolerance is the lateness of a wake-up that is not counted, because timers are never exact.
	tolerance = 5 * time.Millisecond
	// maxExtension limits by how much a timeout is extended.
	maxExtension = 3 * time.Second
)

// Meter adds up by how much the process's wake-ups were late. Its zero value is ready for use.
type Meter struct {
	total atomic.Int64
	// sampled is when the sample under way began, in nanoseconds since origin; 0 while Run does not run.
	sampled atomic.Int64
}

// origin is the time from which the times of samples are counted.
var origin = time.Now()

// Run measures until ctx ends.
func (m *Meter) Run(ctx context.Context) error {
	timer := time.NewTimer(samplePeriod)
	defer timer.Stop()
	defer m.sampled.Store(0)
	started := time.Now()
	for {
		m.sampled.Store(int64(started.Sub(origin)))
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		now := time.Now()
		m.sampled.Store(int64(now.Sub(origin)))
		m.record(now.Sub(started) - samplePeriod)
		started = now
		timer.Reset(samplePeriod)
	}
}

// record adds the lateness of a wake-up.
func (m *Meter) record(late time.Duration) {
	if late > tolerance {
		m.total.Add(int64(late))
	}
}

// Total returns the sum of all measured lateness. It includes that of the sample under way, so that it is right at once
// when the process runs again.
func (m *Meter) Total() time.Duration {
	total := time.Duration(m.total.Load())
	sampled := time.Duration(m.sampled.Load())
	if sampled == 0 {
		return total
	}
	if late := time.Since(origin) - sampled - samplePeriod; late > tolerance {
		total += late
	}
	return total
}

// WithTimeout returns a copy of ctx that is cancelled after the process had a time of timeout in which it could run. The
// cause of the cancellation is then context.DeadlineExceeded.
func (m *Meter) WithTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	before, extended := m.Total(), time.Duration(0)
	armed := make(chan struct{})
	var timer *time.Timer
	timer = time.AfterFunc(timeout, func() {
		<-armed
		stalled := min(m.Total()-before, maxExtension)
		if stalled <= extended {
			cancel(context.DeadlineExceeded)
			return
		}
		extension := stalled - extended
		extended = stalled
		timer.Reset(extension)
	})
	close(armed)
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
