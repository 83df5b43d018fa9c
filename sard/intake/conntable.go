package intake

import (
	"sync"
	"time"
)

const (
	// minTurn is how long a connection may stay in a phase before it can be closed in favour of a new one. It lets a client send
	// its request when many connections are opened at once.
	minTurn = 100 * time.Millisecond
	// maxAdmission is how long a new connection may wait for a place.
	maxAdmission = time.Second
)

// connTable holds the open connections by their phase, those that have been in it longest first.
type connTable struct {
	limit int

	mu     sync.Mutex
	count  int
	phases [phaseCount]connList
	// full is set once a new connection was refused because requests are served on all others, until one of them changes.
	full bool
	// changed is closed when a connection leaves the table or its phase, if somebody waits for that; else it is nil.
	changed chan struct{}
}

// admission says what became of a connection that is new.
type admission struct {
	// added is set if it was added.
	added bool
	// victim is the connection that has to be closed in its place; nil for none.
	victim *conn
	// wait is how long it has to wait for the next try, unless changed is closed before. 0 means that no try is worthwhile.
	wait    time.Duration
	changed <-chan struct{}
}

// add adds a new connection. If there are too many, another one leaves the table.
func (t *connTable) add(c *conn) admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var a admission
	if t.count >= t.limit {
		if a.victim, a.wait = t.victim(now); a.victim == nil {
			t.retire()
			a.changed = t.watch()
			return a
		}
		t.drop(a.victim)
	}
	t.count++
	c.openedAt = now
	t.enter(c, AwaitingRequest, now)
	a.added = true
	return a
}

// victim returns the connection to close in favour of a new one: one that lingers, or the one that has been unfinished or idle
// longest. If there is none yet, it returns how long that may take; 0 if the table is full.
func (t *connTable) victim(now time.Time) (*conn, time.Duration) {
	if c := t.phases[Lingering].first; c != nil {
		return c, 0
	}
	var longest *conn
	for p := range t.phases {
		c := t.phases[p].first
		if c != nil && Phase(p) != Serving && (longest == nil || c.since.Before(longest.since)) {
			longest = c
		}
	}
	switch {
	case longest == nil && t.full:
		return nil, 0
	case longest == nil:
		return nil, minTurn
	}
	if rest := minTurn - now.Sub(longest.since); rest > 0 {
		return nil, rest
	}
	return longest, 0
}

// retire asks the oldest connection to close after its next response, so that clients that send one request after the other
// don't keep others out. The caller holds the lock.
func (t *connTable) retire() {
	var oldest *conn
	for p := range t.phases {
		for c := t.phases[p].first; c != nil; c = c.next {
			if !c.retired.Load() && (oldest == nil || c.openedAt.Before(oldest.openedAt)) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		oldest.retired.Store(true)
	}
}

// watch returns a channel that is closed at the next change. The caller holds the lock.
func (t *connTable) watch() <-chan struct{} {
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// refused records that a new connection had to be refused.
func (t *connTable) refused() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.full = true
}

// move moves a connection to another phase. If e is not nil, that happens only while it is the connection's current exchange.
func (t *connTable) move(c *conn, p Phase, e *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e == nil || c.exchange == e {
		t.change(c, p)
	}
}

// begin moves a connection to the phase in which a request is served. Its exchange is nil if the request has no body.
func (t *connTable) begin(c *conn, e *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.exchange = e
	t.change(c, Serving)
}

// end ends the current exchange of a connection and moves it to another phase.
func (t *connTable) end(c *conn, p Phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.exchange = nil
	t.change(c, p)
}

// change moves a connection to another phase, unless it has left the table. The caller holds the lock.
func (t *connTable) change(c *conn, p Phase) {
	if c.gone {
		return
	}
	t.phases[c.phase].remove(c)
	t.enter(c, p, time.Now())
	t.notify()
}

// remove removes a connection. It returns false if that was done before.
func (t *connTable) remove(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.gone {
		return false
	}
	t.drop(c)
	t.notify()
	return true
}

// counts returns the number of connections in each phase.
func (t *connTable) counts() [phaseCount]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	var counts [phaseCount]int
	for p := range t.phases {
		counts[p] = t.phases[p].count
	}
	return counts
}

// open returns the number of open connections.
func (t *connTable) open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}

// enter adds a connection to the end of a phase. The caller holds the lock.
func (t *connTable) enter(c *conn, p Phase, now time.Time) {
	c.phase, c.since = p, now
	c.inPhase.Store(int32(p))
	t.phases[p].append(c)
}

// drop takes a connection out of the table. The caller holds the lock.
func (t *connTable) drop(c *conn) {
	t.phases[c.phase].remove(c)
	t.count--
	c.gone = true
}

// notify records a change and wakes those that wait for one. The caller holds the lock.
func (t *connTable) notify() {
	t.full = false
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// connList is a doubly linked list of connections.
type connList struct {
	first, last *conn
	count       int
}

// append adds a connection to the end.
func (l *connList) append(c *conn) {
	c.previous, c.next = l.last, nil
	if l.last == nil {
		l.first = c
	} else {
		l.last.next = c
	}
	l.last = c
	l.count++
}

// remove takes a connection out of the list.
func (l *connList) remove(c *conn) {
	if c.previous == nil {
		l.first = c.next
	} else {
		c.previous.next = c.next
	}
	if c.next == nil {
		l.last = c.previous
	} else {
		c.next.previous = c.previous
	}
	c.previous, c.next = nil, nil
	l.count--
}
