package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
)

// members are the instances that share the servers' connections.
type members struct {
	self   ident.Instance
	joined time.Time
	// seen holds when each instance was last live.
	seen map[ident.Instance]time.Time
}

// update takes the live instances and forgets those that were lost before the time given.
func (m *members) update(self ident.Instance, live []ident.Instance, now, forget time.Time) {
	if m.joined.IsZero() {
		m.joined = now
		m.seen = map[ident.Instance]time.Time{}
	}
	m.self = self
	m.seen[self] = now
	for _, i := range live {
		m.seen[i] = now
	}
	for i, at := range m.seen {
		if at.Before(forget) {
			delete(m.seen, i)
		}
	}
}

// share returns how many connections to s this instance may hold. As many as s has slots are left out of the
// division: after a share has shrunk, that many requests can still be running on connections beyond it.
func (m *members) share(s fleet.Server) int {
	if len(m.seen) == 0 {
		return 0
	}
	shared := max(s.Connections-s.Slots, 0)
	own := shared / len(m.seen)
	if m.rank(s.Name) < shared%len(m.seen) {
		own++
	}
	return own
}

// rank returns this instance's place in the rendezvous order of a server, from 0.
func (m *members) rank(s ident.Server) int {
	own := weigh(m.self, s)
	rank := 0
	for i := range m.seen {
		w := weigh(i, s)
		if w > own || w == own && i > m.self {
			rank++
		}
	}
	return rank
}

func weigh(i ident.Instance, s ident.Server) uint64 {
	return xxhash.Sum64String(string(i) + "\x00" + string(s))
}

// SetInstances takes the live instances, which share the connections to the servers. A new instance has no share
// before the JoinDelay is over; a lost one keeps its share for the GrowDelay.
func (r *Router) SetInstances(self ident.Instance, live []ident.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.members.update(self, live, now, now.Add(-r.cfg.GrowDelay))
	r.resize(now)
	r.dispatch(now)
}

// resize computes the shares anew and closes idle connections beyond them.
func (r *Router) resize(now time.Time) {
	joining := r.members.joined.IsZero() || now.Sub(r.members.joined) < r.cfg.JoinDelay
	for _, b := range r.order {
		b.share = 0
		if !joining {
			b.share = r.members.share(b.server)
		}
		b.closeIdle(b.share)
	}
	if joining && !r.members.joined.IsZero() {
		r.wakeAt(now, r.members.joined.Add(r.cfg.JoinDelay))
	}
}

// Ready tells whether the JoinDelay is over and a document and servers are known.
func (r *Router) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	joined := !r.members.joined.IsZero() && time.Since(r.members.joined) >= r.cfg.JoinDelay
	return joined && len(r.routes) > 0 && len(r.order) > 0
}
