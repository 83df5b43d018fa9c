package route

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
)

// members are the instances that share the servers' connections.
type members struct {
	self   ident.Instance
	joined time.Time
	// lost holds when each instance was lost; zero for live ones.
	lost map[ident.Instance]time.Time
}

// update takes the live instances. It returns false when they are the same as before.
func (m *members) update(self ident.Instance, live []ident.Instance, now time.Time) bool {
	before := maps.Clone(m.lost)
	if m.joined.IsZero() {
		m.joined = now
		m.lost = map[ident.Instance]time.Time{}
	}
	m.self = self
	current := append([]ident.Instance{self}, live...)
	for i, at := range m.lost {
		if at.IsZero() && !slices.Contains(current, i) {
			m.lost[i] = now
		}
	}
	for _, i := range current {
		m.lost[i] = time.Time{}
	}
	return !maps.Equal(before, m.lost)
}

// forget drops the instances that were lost at the given time or before. It returns when the next is due, or zero.
func (m *members) forget(before time.Time) time.Time {
	var next time.Time
	for i, at := range m.lost {
		switch {
		case at.IsZero():
		case !at.After(before):
			delete(m.lost, i)
		case next.IsZero() || at.Before(next):
			next = at
		}
	}
	return next
}

// share returns how many connections to s this instance may hold. As many as s has slots are left out of the
// division: after a share has shrunk, that many requests can still be running on connections beyond it.
func (m *members) share(s fleet.Server) int {
	if len(m.lost) == 0 {
		return 0
	}
	shared := max(s.Connections-s.Slots, 0)
	own := shared / len(m.lost)
	if m.rank(s.Name) < shared%len(m.lost) {
		own++
	}
	return own
}

// rank returns this instance's place in the rendezvous order of a server, from 0.
func (m *members) rank(s ident.Server) int {
	own := weigh(m.self, s)
	rank := 0
	for i := range m.lost {
		w := weigh(i, s)
		if w > own || w == own && i > m.self {
			rank++
		}
	}
	return rank
}

// own returns how many slots of s are this instance's. The instances of one view divide the slots among them.
func (m *members) own(s fleet.Server) int {
	own := 0
	for i := range s.Slots {
		name := ident.Server(string(s.Name) + "#" + strconv.Itoa(i))
		if m.rank(name) == 0 {
			own++
		}
	}
	return own
}

func weigh(i ident.Instance, s ident.Server) uint64 {
	return xxhash.Sum64String(string(i) + "\x00" + string(s))
}

// SetInstances takes the live instances, which share the connections to the servers. A new instance has no share
// before the JoinDelay is over; a lost one keeps its share for the GrowDelay.
func (r *Router) SetInstances(self ident.Instance, live []ident.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.members.update(self, live, time.Now()) {
		r.resize()
	}
}

// resize computes the shares anew, closes idle connections beyond them and plans the next change.
func (r *Router) resize() {
	now := time.Now()
	if r.members.joined.IsZero() {
		return
	}
	due := r.members.forget(now.Add(-r.cfg.LostInstanceGrace))
	if !due.IsZero() {
		due = due.Add(r.cfg.LostInstanceGrace)
	}
	if joined := r.members.joined.Add(r.cfg.JoinDelay); now.Before(joined) {
		due = joined
	}
	r.setShares(now.Before(r.members.joined.Add(r.cfg.JoinDelay)))
	if !due.IsZero() {
		restart(&r.resizer, due.Sub(now), func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.resize()
		})
	}
	r.dispatch(now)
}

func (r *Router) setShares(joining bool) {
	for _, b := range r.order {
		b.share, b.own = 0, 0
		if !joining {
			b.share, b.own = r.members.share(b.server), r.members.own(b.server)
		}
		b.closeIdle(b.share)
	}
}

// restart sets a timer that calls f after d.
func restart(timer **time.Timer, d time.Duration, f func()) {
	if *timer == nil {
		*timer = time.AfterFunc(d, f)
		return
	}
	(*timer).Reset(d)
}

// Ready tells whether the JoinDelay is over and a document and servers are known.
func (r *Router) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	joined := !r.members.joined.IsZero() && time.Since(r.members.joined) >= r.cfg.JoinDelay
	return joined && len(r.routes) > 0 && len(r.order) > 0
}
