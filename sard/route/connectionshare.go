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

// membership is the set of instances that share the connections to the servers.
type membership struct {
	self ident.Instance
	// joinedAt is when this instance got its first list of instances.
	joinedAt time.Time
	// lostAt is when each instance was lost; zero for live instances.
	lostAt map[ident.Instance]time.Time
}

// update applies a list of live instances. It returns false if nothing changed.
func (m *membership) update(self ident.Instance, live []ident.Instance, now time.Time) bool {
	previous := maps.Clone(m.lostAt)
	if m.joinedAt.IsZero() {
		m.joinedAt = now
		m.lostAt = map[ident.Instance]time.Time{}
	}
	m.self = self
	current := append([]ident.Instance{self}, live...)
	for i, lostAt := range m.lostAt {
		if lostAt.IsZero() && !slices.Contains(current, i) {
			m.lostAt[i] = now
		}
	}
	for _, i := range current {
		m.lostAt[i] = time.Time{}
	}
	return !maps.Equal(previous, m.lostAt)
}

// removeLost removes the instances that were lost at or before the cutoff. It returns when the next of the remaining
// ones was lost, or zero if all are live.
func (m *membership) removeLost(cutoff time.Time) time.Time {
	var next time.Time
	for i, lostAt := range m.lostAt {
		switch {
		case lostAt.IsZero():
		case !lostAt.After(cutoff):
			delete(m.lostAt, i)
		case next.IsZero() || lostAt.Before(next):
			next = lostAt
		}
	}
	return next
}

// connectionShare returns how many connections to s this instance may open. A number of connections equal to the
// number of slots is kept in reserve: after a share has shrunk, that many requests can still be running on
// connections in excess of it.
func (m *membership) connectionShare(s fleet.Server) int {
	if len(m.lostAt) == 0 {
		return 0
	}
	divisible := max(s.Connections-s.Slots, 0)
	share := divisible / len(m.lostAt)
	if m.rank(s.Name) < divisible%len(m.lostAt) {
		share++
	}
	return share
}

// rank returns the position of this instance in the rendezvous order of a server, starting at 0.
func (m *membership) rank(s ident.Server) int {
	ownHash := rendezvousHash(m.self, s)
	rank := 0
	for i := range m.lostAt {
		hash := rendezvousHash(i, s)
		if hash > ownHash || hash == ownHash && i > m.self {
			rank++
		}
	}
	return rank
}

// ownedSlots returns how many slots of s are assigned to this instance. Instances with the same membership divide all
// slots among them, without overlap.
func (m *membership) ownedSlots(s fleet.Server) int {
	owned := 0
	for i := range s.Slots {
		name := ident.Server(string(s.Name) + "#" + strconv.Itoa(i))
		if m.rank(name) == 0 {
			owned++
		}
	}
	return owned
}

// rendezvousHash returns the weight of an instance for a server in rendezvous hashing.
func rendezvousHash(i ident.Instance, s ident.Server) uint64 {
	return xxhash.Sum64String(string(i) + "\x00" + string(s))
}

// SetInstances applies the list of live instances, which share the connections to the servers. A new instance has no
// share before JoinDelay has passed; a lost one keeps its share for LostInstanceGrace.
func (r *Router) SetInstances(self ident.Instance, live []ident.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.membership.update(self, live, time.Now()) {
		r.updateShares()
	}
}

// updateShares recomputes the shares, closes idle connections in excess of them and schedules the next update.
func (r *Router) updateShares() {
	now := time.Now()
	if r.membership.joinedAt.IsZero() {
		return
	}
	next := r.membership.removeLost(now.Add(-r.cfg.LostInstanceGrace))
	if !next.IsZero() {
		next = next.Add(r.cfg.LostInstanceGrace)
	}
	if joined := r.membership.joinedAt.Add(r.cfg.JoinDelay); now.Before(joined) {
		next = joined
	}
	r.applyShares(now.Before(r.membership.joinedAt.Add(r.cfg.JoinDelay)))
	if !next.IsZero() {
		resetTimer(&r.shareTimer, next.Sub(now), func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.updateShares()
		})
	}
	r.dispatch(now)
}

// applyShares sets the shares of all servers. A joining instance has none.
func (r *Router) applyShares(joining bool) {
	for _, b := range r.backendList {
		b.connectionShare, b.ownedSlots = 0, 0
		if !joining {
			b.connectionShare, b.ownedSlots = r.membership.connectionShare(b.server), r.membership.ownedSlots(b.server)
		}
		b.closeIdleConns(b.connectionShare)
	}
}

// resetTimer schedules f after d. It reuses the timer if there is one, with its original function.
func resetTimer(timer **time.Timer, d time.Duration, f func()) {
	if *timer == nil {
		*timer = time.AfterFunc(d, f)
		return
	}
	(*timer).Reset(d)
}

// Ready reports whether JoinDelay has passed and routes and servers are known.
func (r *Router) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	joined := !r.membership.joinedAt.IsZero() && time.Since(r.membership.joinedAt) >= r.cfg.JoinDelay
	return joined && len(r.routes) > 0 && len(r.backendList) > 0
}
