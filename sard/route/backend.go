package route

import (
	"time"

	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/server"
)

// backend is what an instance knows of a backend server.
type backend struct {
	server fleet.Server
	// own is how many of the server's slots are this instance's by the rendezvous order.
	own int
	// share is how many connections this instance may hold.
	share int
	// inFlight counts the slots that this instance holds, each with one connection.
	inFlight int
	idle     []*server.Conn
	// free is the number of free slots that the server told last, less what was sent since.
	free    int
	freeAt  time.Time
	fullTil time.Time
	// refusals counts the refusals since the last answer.
	refusals int
	breaker  breaker
	// leavingTil is until when a sign of leaving holds; zero for no sign yet.
	leavingTil time.Time
	// gone is set once the server is no longer in the list.
	gone bool
}

// slot is the right to send one request to a backend server.
type slot struct {
	backend *backend
	conn    *server.Conn
	since   time.Time
	// reused is set when the connection has carried requests before.
	reused bool
	// told is the number of free slots that the answer told, or unknownFree.
	told int
	// refusedFor is the server's Retry-After of a refusal.
	refusedFor time.Duration
}

// usable tells whether a request of a class may be sent now.
func (b *backend) usable(now time.Time, class ident.RequestClass) bool {
	switch {
	case b.inFlight >= min(b.share, b.server.Slots):
		return false
	case b.leaving(now):
		return false
	case now.Before(b.fullTil):
		return false
	}
	return b.breaker.allows(now, class)
}

// take begins the use of a slot.
func (b *backend) take(now time.Time) *slot {
	s := &slot{backend: b, since: now, told: unknownFree}
	s.conn = b.takeIdle()
	s.reused = s.conn != nil
	b.inFlight++
	b.free--
	b.breaker.begin(now)
	return s
}

func (b *backend) takeIdle() *server.Conn {
	for len(b.idle) > 0 {
		last := len(b.idle) - 1
		c := b.idle[last]
		b.idle = b.idle[:last]
		if !c.Closed() {
			return c
		}
	}
	return nil
}

// give ends the use of a slot and keeps its connection when it can be used again.
func (b *backend) give(s *slot) {
	b.inFlight--
	if s.conn == nil || s.conn.Closed() {
		return
	}
	if b.gone || b.leaving(time.Now()) || b.inFlight+len(b.idle) >= b.share {
		s.conn.Close()
		return
	}
	b.idle = append(b.idle, s.conn)
}

// closeIdle closes idle connections until at most keep connections are held.
func (b *backend) closeIdle(keep int) {
	for len(b.idle) > 0 && b.inFlight+len(b.idle) > keep {
		b.idle[0].Close()
		b.idle = b.idle[1:]
	}
}

// leaving tells whether the list or a sign shows that the server is leaving.
func (b *backend) leaving(now time.Time) bool {
	return b.server.State == ident.Leaving || now.Before(b.leavingTil)
}

// markLeaving stops new work for a time. It returns true when the server was not known to be leaving.
func (b *backend) markLeaving(now time.Time, hold time.Duration) bool {
	fresh := !b.leaving(now)
	b.leavingTil = now.Add(hold)
	b.closeIdle(0)
	return fresh
}
