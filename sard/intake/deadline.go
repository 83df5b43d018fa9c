package intake

import (
	"sync"
	"time"
)

// deadline is the deadline for reading from a connection, or for writing to it. Most are replaced long before they pass, and it
// costs more to set one than to note it. So the one that is set stays while it is the earlier one, and when it passes, the noted
// one is set in its place.
type deadline struct {
	// apply sets the deadline of the connection.
	apply func(time.Time) error

	mu sync.Mutex
	// wanted is the deadline, and set the one that is set. A zero time means none.
	wanted, set time.Time
}

// change replaces the deadline.
func (d *deadline) change(at time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wanted = at
	if at.IsZero() || !d.set.IsZero() && !at.Before(d.set) {
		return nil
	}
	return d.applyWanted()
}

// extend is called after an operation that has failed because the deadline that is set has passed. It returns true if the
// operation may go on, as the wanted one has not passed.
func (d *deadline) extend() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.wanted.IsZero() && !time.Now().Before(d.wanted) {
		return false
	}
	return d.applyWanted() == nil
}

// applyWanted sets the wanted deadline. The caller holds the lock.
func (d *deadline) applyWanted() error {
	d.set = d.wanted
	return d.apply(d.wanted)
}
