package play

import (
	"sync"
	"time"
)

// calendar tells whether anything is disturbed.
type calendar struct {
	mu      sync.Mutex
	active  int
	lastEnd time.Time
}

func newCalendar() *calendar {
	return &calendar{lastEnd: time.Now()}
}

// begin notes the beginning of a disturbance.
func (c *calendar) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active++
}

// end notes the end of a disturbance.
func (c *calendar) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
	c.lastEnd = time.Now()
}

// calm tells whether nothing has been disturbed for a span until now, and for stableTime before it.
func (c *calendar) calm(span time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active == 0 && time.Since(c.lastEnd) > span+stableTime
}
