package route

import (
	"time"

	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/server"
)

// backend is the state that this instance keeps about a backend server.
type backend struct {
	server fleet.Server
	// ownedSlots is the number of the server's slots that rendezvous hashing assigns to this instance.
	ownedSlots int
	// connectionShare is the number of connections that this instance may open.
	connectionShare int
	// inFlight is the number of slots in use by this instance, each with one connection.
	inFlight int
	// idleConns are open connections without a request; the most recently used is the last.
	idleConns []*server.Conn
	// freeSlots is the number of free slots that the server last reported, minus the requests sent since then.
	freeSlots int
	// freeSlotsAt is when freeSlots was reported; zero if it is not known.
	freeSlotsAt time.Time
	// fullUntil is when a server that refused a request may be used again.
	fullUntil time.Time
	// consecutiveRefusals is the number of refusals since the last response, at most maxBackoffServiceTimes.
	consecutiveRefusals int
	breaker             circuitBreaker
	// leavingUntil is when the leaving mark expires; zero if the server was never marked.
	leavingUntil time.Time
	// removed is set once the server is no longer in the list.
	removed bool
}

// slot is the permission to send one request to a backend server.
type slot struct {
	backend *backend
	conn    *server.Conn
	// startedAt is when the slot was acquired.
	startedAt time.Time
	// reused is set if the connection has carried earlier requests.
	reused bool
	// reportedFree is the number of free slots in the response header, or freeSlotsUnknown.
	reportedFree int
	// retryAfter is the Retry-After of a refusal.
	retryAfter time.Duration
}

// usable reports whether a request of the class may be sent to the server now.
func (b *backend) usable(now time.Time, class ident.RequestClass) bool {
	switch {
	case b.inFlight >= min(b.connectionShare, b.server.Slots):
		return false
	case b.isLeaving(now):
		return false
	case now.Before(b.fullUntil):
		return false
	}
	return b.breaker.allows(now, class)
}

// acquireSlot takes a slot, with an idle connection if there is one.
func (b *backend) acquireSlot(now time.Time) *slot {
	s := &slot{backend: b, startedAt: now, reportedFree: freeSlotsUnknown}
	s.conn = b.popIdleConn()
	s.reused = s.conn != nil
	b.inFlight++
	b.freeSlots--
	b.breaker.recordStart(now)
	return s
}

// popIdleConn removes and returns the most recently used idle connection that is still open, or nil.
func (b *backend) popIdleConn() *server.Conn {
	for len(b.idleConns) > 0 {
		last := len(b.idleConns) - 1
		c := b.idleConns[last]
		b.idleConns = b.idleConns[:last]
		if !c.Closed() {
			return c
		}
	}
	return nil
}

// returnSlot ends the use of a slot and keeps its connection if it can be reused.
func (b *backend) returnSlot(s *slot) {
	b.inFlight--
	if s.conn == nil || s.conn.Closed() {
		return
	}
	if b.removed || b.isLeaving(time.Now()) || b.inFlight+len(b.idleConns) >= b.connectionShare {
		s.conn.Close()
		return
	}
	b.idleConns = append(b.idleConns, s.conn)
}

// closeIdleConns closes idle connections until at most keep connections are open.
func (b *backend) closeIdleConns(keep int) {
	for len(b.idleConns) > 0 && b.inFlight+len(b.idleConns) > keep {
		b.idleConns[0].Close()
		b.idleConns = b.idleConns[1:]
	}
}

// isLeaving reports whether the server is leaving, according to the platform's list or a leaving mark.
func (b *backend) isLeaving(now time.Time) bool {
	return b.server.State == ident.Leaving || now.Before(b.leavingUntil)
}

// markLeaving stops new requests to the server for the ttl. It returns true if the server was not known to be
// leaving.
func (b *backend) markLeaving(now time.Time, ttl time.Duration) bool {
	newlyMarked := !b.isLeaving(now)
	b.leavingUntil = now.Add(ttl)
	b.closeIdleConns(0)
	return newlyMarked
}

// update copies the fields of a server that may change. Its name and address are read without a lock and must not be
// written again.
func (b *backend) update(s fleet.Server) {
	b.server.DataCentre = s.DataCentre
	b.server.Slots = s.Slots
	b.server.Connections = s.Connections
	b.server.State = s.State
}
