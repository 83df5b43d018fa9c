package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
)

const (
	defaultMonitorCount = 8
	defaultPeriod       = time.Second
	// maxMissedHeartbeats is the number of periods without a heartbeat after which a monitor marks a member as lost.
	maxMissedHeartbeats = 4
	// forgetLostAfter is how long a lost member is remembered, so that a late update about it does not add it again.
	forgetLostAfter = 10 * time.Minute
)

// Config holds this instance's own entry and the settings of a Roster.
type Config struct {
	// Self is this instance. Its Incarnation must be higher than in earlier runs under the same name.
	Self Member
	// Seeds are addresses of instances that receive heartbeats until a member with the address is known.
	Seeds []string
	// Monitors is the number of peers that monitor this instance by its heartbeats; 0 means 8.
	Monitors int
	// Period is the time between heartbeats; 0 means 1 s.
	Period time.Duration
	// Logger logs each change of the membership; nil for none.
	Logger hclog.Logger
}

// peerState is what this instance knows of another one: its membership, its last heartbeat and whether the platform
// lists it.
type peerState struct {
	Member
	// lastHeartbeatAt is when its last heartbeat was received; zero if this instance does not monitor it.
	lastHeartbeatAt time.Time
	// statusChangedAt is when its status last changed.
	statusChangedAt time.Time
	// listed is set while the platform's list of instances contains the peer.
	listed        bool
	lastHeartbeat Heartbeat
}

// Roster is this instance's view of the membership. It is safe for concurrent use.
type Roster struct {
	cfg Config

	mu             sync.Mutex
	self           Member
	peers          map[ident.Instance]*peerState
	updates        updateQueue
	leavingServers leavingServers
	monitors       []ident.Instance
	formerMonitors []ident.Instance
	// monitorsOutdated is set when the monitors must be chosen again.
	monitorsOutdated bool
	// peerNames are the names of all peers in order. antiEntropyCursor is the index of the one that the last heartbeat
	// carried last.
	peerNames         []ident.Instance
	antiEntropyCursor int
	// falselyLost holds the members that are counted as lost but sent a heartbeat since the last Tick.
	falselyLost map[ident.Instance]Member
}

// New creates a Roster that knows only this instance.
func New(cfg Config) *Roster {
	if cfg.Monitors == 0 {
		cfg.Monitors = defaultMonitorCount
	}
	if cfg.Period == 0 {
		cfg.Period = defaultPeriod
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	return &Roster{cfg: cfg, self: cfg.Self, peers: map[ident.Instance]*peerState{}, updates: updateQueue{}, leavingServers: leavingServers{}, falselyLost: map[ident.Instance]Member{}}
}

// Period returns the time between heartbeats.
func (r *Roster) Period() time.Duration {
	return r.cfg.Period
}

// UpdateFleet merges the platform's list of instances into the membership. A listed instance that is not a member yet
// is added as alive. A member that is no longer listed and is not monitored by this instance counts as lost.
func (r *Roster) UpdateFleet(instances []fleet.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		p.listed = false
	}
	for _, instance := range instances {
		if instance.Name != r.self.Name {
			r.addListed(instance)
		}
	}
	for _, p := range r.peers {
		if !p.listed && p.lastHeartbeatAt.IsZero() && p.Status != Lost {
			r.updatePeer(p, Member{Name: p.Name, Address: p.Address, DataCentre: p.DataCentre, Incarnation: p.Incarnation, Status: Lost})
		}
	}
}

// addListed adds a listed instance to the membership, and marks an alive member as leaving if the list says so.
func (r *Roster) addListed(instance fleet.Instance) {
	p, ok := r.peers[instance.Name]
	if !ok {
		p = &peerState{Member: Member{Name: instance.Name, Address: instance.Address, DataCentre: instance.DataCentre}, statusChangedAt: time.Now()}
		r.peers[instance.Name] = p
		r.monitorsOutdated = true
		r.cfg.Logger.Info("member added from the platform's list", "member", instance.Name, "address", instance.Address)
	}
	p.listed = true
	if instance.State == ident.Leaving && p.Status == Alive {
		m := p.Member
		m.Status = Leaving
		r.updatePeer(p, m)
	}
}

// HandleHeartbeat processes a heartbeat of a peer. It returns the backend servers in it that were not marked as leaving
// before.
func (r *Roster) HandleHeartbeat(hb Heartbeat) []ident.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	if hb.From.Name == r.self.Name {
		return nil
	}
	p := r.mergeMember(hb.From)
	if p.Status == Lost {
		r.falselyLost[p.Name] = p.Member
	} else if hb.From.Incarnation >= p.Incarnation {
		p.lastHeartbeat = hb
		p.lastHeartbeatAt = time.Now()
	}
	if hb.Release {
		p.lastHeartbeatAt = time.Time{}
	}
	for _, m := range hb.News {
		r.handleUpdate(m)
	}
	return r.leavingServers.merge(time.Now(), hb.Servers)
}

// handleUpdate processes a membership update. An update that reports this instance as lost, or as leaving while it is
// alive, is refuted with a higher incarnation.
func (r *Roster) handleUpdate(m Member) {
	if m.Name != r.self.Name {
		r.mergeMember(m)
		return
	}
	if m.Status > r.self.Status {
		r.self.Incarnation = max(r.self.Incarnation, m.Incarnation+1)
		r.updates.add(r.self)
		r.cfg.Logger.Warn("refuting update about this instance", "incarnation", r.self.Incarnation)
	}
}

// mergeMember adds a member, or updates it if m is newer, and returns its state.
func (r *Roster) mergeMember(m Member) *peerState {
	p, ok := r.peers[m.Name]
	if !ok {
		p = &peerState{Member: m, statusChangedAt: time.Now()}
		r.peers[m.Name] = p
		r.monitorsOutdated = true
		r.updates.add(m)
		r.cfg.Logger.Info("member discovered", "member", m.Name, "address", m.Address, "status", m.Status)
		return p
	}
	if m.supersedes(p.Member) {
		r.updatePeer(p, m)
	}
	return p
}

// updatePeer replaces the membership of a peer, and queues an update for the other instances if its status changes.
func (r *Roster) updatePeer(p *peerState, m Member) {
	if p.Status != m.Status {
		r.cfg.Logger.Info("member status changed", "member", m.Name, "from", p.Status, "to", m.Status)
		p.statusChangedAt = time.Now()
		r.monitorsOutdated = true
		r.updates.add(m)
	}
	p.Member = m
	if m.Status == Lost {
		p.lastHeartbeatAt = time.Time{}
		p.lastHeartbeat = Heartbeat{}
	}
}

// MarkLeaving marks this instance as leaving in all further heartbeats.
func (r *Roster) MarkLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Status = Leaving
}

// MarkServerLeaving marks a backend server as leaving and reports whether it was not marked before.
func (r *Roster) MarkServerLeaving(server ident.Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	added := r.leavingServers.merge(time.Now(), []LeavingServer{{Server: server, Remaining: leavingServerTTL}})
	return len(added) > 0
}

// LeavingServers returns the backend servers that are marked as leaving, ordered by name.
func (r *Roster) LeavingServers() []ident.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	var servers []ident.Server
	for _, server := range r.leavingServers.unexpired(time.Now()) {
		servers = append(servers, server.Server)
	}
	return servers
}

// Self returns this instance as the other instances see it.
func (r *Roster) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Members returns the members that are not lost, including this instance, ordered by name.
func (r *Roster) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := []Member{r.self}
	for _, p := range r.peers {
		if p.Status != Lost {
			members = append(members, p.Member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Alive returns the members that are neither lost nor leaving, including this instance, ordered by name.
func (r *Roster) Alive() []Member {
	members := r.Members()
	return slices.DeleteFunc(members, func(m Member) bool { return m.Status != Alive })
}

// Lookup returns the member with a name. It does not find lost members.
func (r *Roster) Lookup(name ident.Instance) (Member, bool) {
	for _, m := range r.Members() {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// LastHeartbeats returns the last heartbeat of each member that this instance monitors, ordered by sender.
func (r *Roster) LastHeartbeats() []Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	var heartbeats []Heartbeat
	for _, p := range r.peers {
		if !p.lastHeartbeatAt.IsZero() {
			heartbeats = append(heartbeats, p.lastHeartbeat)
		}
	}
	slices.SortFunc(heartbeats, func(a, b Heartbeat) int { return cmp.Compare(a.From.Name, b.From.Name) })
	return heartbeats
}

// MemberCounts returns the number of members that are not lost or are listed by the platform, and how many of them are
// not lost. Both include this instance.
func (r *Roster) MemberCounts() (all, present int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all, present = 1, 1
	for _, p := range r.peers {
		if p.Status != Lost {
			present++
		}
		if p.Status != Lost || p.listed {
			all++
		}
	}
	return all, present
}
