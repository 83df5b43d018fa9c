package roster

import (
	"maps"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// antiEntropyMembers is the number of members whose state each heartbeat carries in round-robin order, in addition to
// the pending updates. This repairs views that differ because updates were lost.
const antiEntropyMembers = 2

// OutgoingHeartbeat is a heartbeat and its receiver.
type OutgoingHeartbeat struct {
	// To is the receiver. Only its Address is set for a seed.
	To        Member
	Heartbeat Heartbeat
}

// Tick detects lost members and returns the heartbeats to send, which carry the loads of the domains that this instance
// holds. It must be called once per period.
func (r *Roster) Tick(domains []DomainLoad) []OutgoingHeartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.detectFailures(now)
	r.chooseMonitors()
	hb := Heartbeat{
		From:    r.self,
		Domains: domains,
		News:    append(r.updates.takeNext(), r.nextAntiEntropyMembers()...),
		Servers: r.leavingServers.unexpired(now),
	}
	var outgoing []OutgoingHeartbeat
	for _, name := range r.monitors {
		outgoing = append(outgoing, OutgoingHeartbeat{To: r.peers[name].Member, Heartbeat: hb})
	}
	outgoing = append(outgoing, r.seedHeartbeats(hb)...)
	outgoing = append(outgoing, r.lossNotifications(hb)...)
	hb.Release = true
	for _, name := range r.formerMonitors {
		if p, ok := r.peers[name]; ok && p.Status != Lost {
			outgoing = append(outgoing, OutgoingHeartbeat{To: p.Member, Heartbeat: hb})
		}
	}
	r.formerMonitors = nil
	return outgoing
}

// nextAntiEntropyMembers returns the next antiEntropyMembers members in round-robin order.
func (r *Roster) nextAntiEntropyMembers() []Member {
	var members []Member
	for range min(antiEntropyMembers, len(r.peerNames)) {
		r.antiEntropyCursor = (r.antiEntropyCursor + 1) % len(r.peerNames)
		members = append(members, r.peers[r.peerNames[r.antiEntropyCursor]].Member)
	}
	return members
}

// seedHeartbeats returns heartbeats to the seeds whose address is not that of a known member. Release is set, since a
// seed need not be a monitor.
func (r *Roster) seedHeartbeats(hb Heartbeat) []OutgoingHeartbeat {
	known := map[string]bool{r.self.Address: true}
	for _, p := range r.peers {
		known[p.Address] = known[p.Address] || p.Status != Lost
	}
	var outgoing []OutgoingHeartbeat
	hb.Release = true
	for _, address := range r.cfg.Seeds {
		if !known[address] {
			outgoing = append(outgoing, OutgoingHeartbeat{To: Member{Address: address}, Heartbeat: hb})
		}
	}
	return outgoing
}

// lossNotifications returns heartbeats to the members that are counted as lost but still send heartbeats. They carry
// the loss, so that the members refute it.
func (r *Roster) lossNotifications(hb Heartbeat) []OutgoingHeartbeat {
	var outgoing []OutgoingHeartbeat
	hb.Release = true
	for name, m := range r.falselyLost {
		hb.News = []Member{m}
		outgoing = append(outgoing, OutgoingHeartbeat{To: m, Heartbeat: hb})
		delete(r.falselyLost, name)
	}
	return outgoing
}

// detectFailures marks the members whose heartbeats stopped as lost, and removes those that were lost long ago and are
// not listed by the platform.
func (r *Roster) detectFailures(now time.Time) {
	timeout := maxMissedHeartbeats * r.cfg.Period
	for name, p := range r.peers {
		if !p.lastHeartbeatAt.IsZero() && now.Sub(p.lastHeartbeatAt) > timeout {
			m := p.Member
			m.Status = Lost
			r.updatePeer(p, m)
		}
		if p.Status == Lost && !p.listed && now.Sub(p.statusChangedAt) > forgetLostAfter {
			delete(r.peers, name)
			r.monitorsOutdated = true
		}
	}
}

// chooseMonitors chooses the monitors of this instance if the membership has changed. It records the former monitors,
// which must learn that they are released.
func (r *Roster) chooseMonitors() {
	if !r.monitorsOutdated {
		return
	}
	r.monitorsOutdated = false
	r.peerNames = slices.Sorted(maps.Keys(r.peers))
	var names []ident.Instance
	for name, p := range r.peers {
		if p.Status != Lost {
			names = append(names, name)
		}
	}
	ranked := RendezvousOrder("monitor/"+string(r.self.Name), names)
	chosen := ranked[:min(len(ranked), r.cfg.Monitors)]
	for _, monitor := range r.monitors {
		if !slices.Contains(chosen, monitor) {
			r.formerMonitors = append(r.formerMonitors, monitor)
		}
	}
	r.monitors = chosen
}
