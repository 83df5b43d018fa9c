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
	defaultMonitors = 8
	defaultPeriod   = time.Second
	// missedHeartbeats is the number of periods without a heartbeat after which a monitor counts a member as lost.
	missedHeartbeats = 4
	// forgetAfter is how long a lost member is remembered, so that late news of it is not taken for new.
	forgetAfter = 10 * time.Minute
)

// Config sets up a Roster.
type Config struct {
	// Self is this instance. Its Incarnation must be higher than that of an earlier run of the same name.
	Self Member
	// Seeds are addresses of peers that get heartbeats until a member with the address is known.
	Seeds []string
	// Monitors is the number of peers that get heartbeats; 0 means 8.
	Monitors int
	// Period is the time between heartbeats; 0 means 1 s.
	Period time.Duration
	// Logger gets a line for each change; nil for none.
	Logger hclog.Logger
}

// peerState is a member with what this instance itself saw of it.
type peerState struct {
	Member
	// heard is when its last heartbeat came; zero when this instance does not monitor it.
	heard time.Time
	// changed is when its status last changed.
	changed time.Time
	// listed tells that the platform lists it.
	listed    bool
	heartbeat Heartbeat
}

// Roster is the membership as this instance sees it. It is safe for concurrent use.
type Roster struct {
	cfg Config

	mu       sync.Mutex
	self     Member
	peers    map[ident.Instance]*peerState
	news     news
	marks    marks
	targets  []ident.Instance
	released []ident.Instance
	// stale tells that the monitors must be chosen anew.
	stale bool
	// names are the peers in order, and cursor the next of them to be repeated.
	names  []ident.Instance
	cursor int
	// mistaken are members that are counted as lost and still send heartbeats.
	mistaken map[ident.Instance]Member
}

// New makes a Roster that knows only this instance.
func New(cfg Config) *Roster {
	if cfg.Monitors == 0 {
		cfg.Monitors = defaultMonitors
	}
	if cfg.Period == 0 {
		cfg.Period = defaultPeriod
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	return &Roster{cfg: cfg, self: cfg.Self, peers: map[ident.Instance]*peerState{}, news: news{}, marks: marks{}, mistaken: map[ident.Instance]Member{}}
}

// Period returns the time between heartbeats.
func (r *Roster) Period() time.Duration {
	return r.cfg.Period
}

// UpdateFleet takes over the platform's list of instances. A listed instance that was never heard of counts as
// alive; one that has left the list and is not heard counts as lost.
func (r *Roster) UpdateFleet(instances []fleet.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		p.listed = false
	}
	for _, in := range instances {
		if in.Name != r.self.Name {
			r.list(in)
		}
	}
	for _, p := range r.peers {
		if !p.listed && p.heard.IsZero() && p.Status != Lost {
			r.set(p, Member{Name: p.Name, Address: p.Address, DataCentre: p.DataCentre, Incarnation: p.Incarnation, Status: Lost})
		}
	}
}

func (r *Roster) list(in fleet.Instance) {
	p, ok := r.peers[in.Name]
	if !ok {
		p = &peerState{Member: Member{Name: in.Name, Address: in.Address, DataCentre: in.DataCentre}, changed: time.Now()}
		r.peers[in.Name] = p
		r.stale = true
		r.cfg.Logger.Info("member listed", "member", in.Name, "address", in.Address)
	}
	p.listed = true
	if in.State == ident.Leaving && p.Status == Alive {
		m := p.Member
		m.Status = Leaving
		r.set(p, m)
	}
}

// HandleHeartbeat takes a peer's heartbeat in and returns the backend servers that it newly marks as leaving.
func (r *Roster) HandleHeartbeat(hb Heartbeat) []ident.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	if hb.From.Name == r.self.Name {
		return nil
	}
	p := r.learn(hb.From)
	if p.Status == Lost {
		r.mistaken[p.Name] = p.Member
	} else if hb.From.Incarnation >= p.Incarnation {
		p.heartbeat = hb
		p.heard = time.Now()
	}
	if hb.Release {
		p.heard = time.Time{}
	}
	for _, m := range hb.News {
		r.hear(m)
	}
	return r.marks.merge(time.Now(), hb.Servers)
}

// hear takes a piece of news in. News of this instance's own loss is refuted.
func (r *Roster) hear(m Member) {
	if m.Name != r.self.Name {
		r.learn(m)
		return
	}
	if m.Status > r.self.Status {
		r.self.Incarnation = max(r.self.Incarnation, m.Incarnation+1)
		r.news.add(r.self)
		r.cfg.Logger.Warn("own loss refuted", "incarnation", r.self.Incarnation)
	}
}

func (r *Roster) learn(m Member) *peerState {
	p, ok := r.peers[m.Name]
	if !ok {
		p = &peerState{Member: m, changed: time.Now()}
		r.peers[m.Name] = p
		r.stale = true
		r.news.add(m)
		r.cfg.Logger.Info("member joined", "member", m.Name, "address", m.Address, "status", m.Status)
		return p
	}
	if m.supersedes(p.Member) {
		r.set(p, m)
	}
	return p
}

func (r *Roster) set(p *peerState, m Member) {
	if p.Status != m.Status {
		r.cfg.Logger.Info("member changed", "member", m.Name, "from", p.Status, "to", m.Status)
		p.changed = time.Now()
		r.stale = true
		r.news.add(m)
	}
	p.Member = m
	if m.Status == Lost {
		p.heard = time.Time{}
		p.heartbeat = Heartbeat{}
	}
}

// MarkLeaving marks this instance as leaving in the heartbeats that follow.
func (r *Roster) MarkLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Status = Leaving
}

// MarkServerLeaving marks a backend server as leaving and tells whether it was not marked before.
func (r *Roster) MarkServerLeaving(server ident.Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	added := r.marks.merge(time.Now(), []LeavingServer{{Server: server, Remaining: markTerm}})
	return len(added) > 0
}

// LeavingServers lists the backend servers that are marked as leaving.
func (r *Roster) LeavingServers() []ident.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	var servers []ident.Server
	for _, m := range r.marks.current(time.Now()) {
		servers = append(servers, m.Server)
	}
	return servers
}

// Self returns this instance as it tells itself to others.
func (r *Roster) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Members lists the members that are not lost, this instance among them, in the order of their names.
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

// Alive lists the members that are neither lost nor leaving, in the order of their names.
func (r *Roster) Alive() []Member {
	members := r.Members()
	return slices.DeleteFunc(members, func(m Member) bool { return m.Status != Alive })
}

// Lookup returns a member by its name.
func (r *Roster) Lookup(name ident.Instance) (Member, bool) {
	for _, m := range r.Members() {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// LastHeartbeats lists the last heartbeats of the members that this instance monitors.
func (r *Roster) LastHeartbeats() []Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Heartbeat
	for _, p := range r.peers {
		if !p.heard.IsZero() {
			all = append(all, p.heartbeat)
		}
	}
	slices.SortFunc(all, func(a, b Heartbeat) int { return cmp.Compare(a.From.Name, b.From.Name) })
	return all
}

// MemberCounts returns the number of members that are not lost or are listed by the platform, and how many of them are
// not lost. This instance counts in both.
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
