package play

import (
	"sync"
	"time"
)

// faultTracker keeps track of whether faults are active.
type faultTracker struct {
	mu      sync.Mutex
	active  int
	lastEnd time.Time
}

// newFaultTracker returns a tracker that counts the time before it as disturbed.
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

// stableFor reports whether no fault was active during the given time until now, nor during recoveryTime before it.
func (t *faultTracker) stableFor(duration time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active == 0 && time.Since(t.lastEnd) > duration+recoveryTime
}
