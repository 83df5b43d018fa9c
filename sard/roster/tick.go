package roster

import (
	"maps"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// repeated is the number of members that each heartbeat tells of in turn, so that lost news are made up for.
const repeated = 2

// OutgoingHeartbeat is a heartbeat and the member that gets it.
type OutgoingHeartbeat struct {
	To        Member
	Heartbeat Heartbeat
}

// Tick detects lost members and returns the heartbeats that are due, which tell of the domains that this
// instance holds. It is called once a period.
func (r *Roster) Tick(domains []DomainLoad) []OutgoingHeartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.detect(now)
	r.chooseMonitors()
	hb := Heartbeat{
		From:    r.self,
		Domains: domains,
		News:    append(r.news.take(), r.repeat()...),
		Servers: r.marks.current(now),
	}
	var due []OutgoingHeartbeat
	for _, name := range r.targets {
		due = append(due, OutgoingHeartbeat{To: r.peers[name].Member, Heartbeat: hb})
	}
	due = append(due, r.greetings(hb)...)
	due = append(due, r.corrections(hb)...)
	hb.Release = true
	for _, name := range r.released {
		if p, ok := r.peers[name]; ok && p.Status != Lost {
			due = append(due, OutgoingHeartbeat{To: p.Member, Heartbeat: hb})
		}
	}
	r.released = nil
	return due
}

// repeat returns the next members in turn.
func (r *Roster) repeat() []Member {
	var members []Member
	for range min(repeated, len(r.names)) {
		r.cursor = (r.cursor + 1) % len(r.names)
		members = append(members, r.peers[r.names[r.cursor]].Member)
	}
	return members
}

// greetings are heartbeats to seeds of which no member is known.
func (r *Roster) greetings(hb Heartbeat) []OutgoingHeartbeat {
	known := map[string]bool{r.self.Address: true}
	for _, p := range r.peers {
		known[p.Address] = known[p.Address] || p.Status != Lost
	}
	var due []OutgoingHeartbeat
	hb.Release = true
	for _, address := range r.cfg.Seeds {
		if !known[address] {
			due = append(due, OutgoingHeartbeat{To: Member{Address: address}, Heartbeat: hb})
		}
	}
	return due
}

// corrections tell members that still send heartbeats that they are counted as lost, so that they refute it.
func (r *Roster) corrections(hb Heartbeat) []OutgoingHeartbeat {
	var due []OutgoingHeartbeat
	hb.Release = true
	for name, m := range r.mistaken {
		hb.News = []Member{m}
		due = append(due, OutgoingHeartbeat{To: m, Heartbeat: hb})
		delete(r.mistaken, name)
	}
	return due
}

// detect counts silent members as lost and forgets those that were lost long ago.
func (r *Roster) detect(now time.Time) {
	limit := missedHeartbeats * r.cfg.Period
	for name, p := range r.peers {
		if !p.heard.IsZero() && now.Sub(p.heard) > limit {
			m := p.Member
			m.Status = Lost
			r.set(p, m)
		}
		if p.Status == Lost && !p.listed && now.Sub(p.changed) > forgetAfter {
			delete(r.peers, name)
			r.stale = true
		}
	}
}

// chooseMonitors chooses the peers that get heartbeats, and notes those that no longer do.
func (r *Roster) chooseMonitors() {
	if !r.stale {
		return
	}
	r.stale = false
	r.names = slices.Sorted(maps.Keys(r.peers))
	var names []ident.Instance
	for name, p := range r.peers {
		if p.Status != Lost {
			names = append(names, name)
		}
	}
	ranked := RendezvousOrder("monitor/"+string(r.self.Name), names)
	chosen := ranked[:min(len(ranked), r.cfg.Monitors)]
	for _, old := range r.targets {
		if !slices.Contains(chosen, old) {
			r.released = append(r.released, old)
		}
	}
	r.targets = chosen
}
