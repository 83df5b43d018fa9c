package play

import (
	"sync"
	"time"
)

// faultTracker records how many faults are active and when the last one ended.
type faultTracker struct {
	mu      sync.Mutex
	active  int
	lastEnd time.Time
}

// newFaultTracker returns a faultTracker to which its own creation counts as the end of a fault.
func newFaultTracker() *faultTracker {
	return &faultTracker{lastEnd: time.Now()}
}

// faultStarted records the start of a fault.
func (t *faultTracker) faultStarted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active++
}

// faultEnded records the end of a fault.
func (t *faultTracker) faultEnded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	t.lastEnd = time.Now()
}

// stableFor reports whether the run has been undisturbed for the given time: no fault is active, and the last one ended
// longer ago than the sum of that time and recoveryTime.
func (t *faultTracker) stableFor(duration time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active == 0 && time.Since(t.lastEnd) > duration+recoveryTime
}
