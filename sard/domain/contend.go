package domain

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/roster"
)

const (
	// contendPause is the time between two tries to take a domain.
	contendPause = time.Second
	// rankDelay is how much longer each rank of the preference order waits before it takes a free domain.
	rankDelay = 2 * time.Second
	// settleTime is how long another instance must be the first choice before a domain is handed over to it.
	settleTime = 30 * time.Second
	// releaseTimeout bounds the release of a lease.
	releaseTimeout = 3 * time.Second
	// handOverPoll is the time between two looks at whether all domains are released.
	handOverPoll = 20 * time.Millisecond
)

// contend takes a domain whenever it is this instance's turn, and schedules it until the lease ends.
func (m *Manager) contend(ctx context.Context, dc ident.DataCentre) error {
	free := time.Now()
	for {
		pause := contendPause/2 + rand.N(contendPause)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
		if m.heardHeld(dc) || m.isLeaving() {
			free = time.Now()
			continue
		}
		rank := m.rank(dc)
		if rank < 0 || time.Since(free) < time.Duration(rank)*rankDelay {
			continue
		}
		held, err := m.cfg.Acquire(ctx, dc)
		if err != nil {
			if !fault.Is(err, fault.Conflict) && ctx.Err() == nil {
				m.cfg.Logger.Warn("domain lease not taken", "domain", dc, "error", err)
			}
			continue
		}
		m.hold(ctx, dc, held)
		free = time.Now()
	}
}

// hold schedules a domain until the lease ends, another instance is preferred, or ctx ends.
func (m *Manager) hold(ctx context.Context, dc ident.DataCentre, held Lease) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	h := &holding{Scheduler: m.cfg.Open(dc, held), lease: held, end: end}
	m.open(dc, h)
	m.cfg.Logger.Info("domain held", "domain", dc, "epoch", held.Epoch())
	err := m.schedule(ctx, dc, h)
	m.close(dc)
	released, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	releaseErr := held.Release(released)
	m.cfg.Logger.Info("domain given up", "domain", dc, "epoch", held.Epoch(), "error", err, "release", releaseErr)
}

// open makes a holding known and gives it its topology and configuration.
func (m *Manager) open(dc ident.DataCentre, h *holding) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.SetTopology(m.topology[dc])
	h.Configure(m.part(dc))
	m.held[dc] = h
	if m.leaving {
		h.end()
	}
}

func (m *Manager) close(dc ident.DataCentre) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.held, dc)
}

// schedule runs the scheduler and ends it when another instance has been preferred for the settle time.
func (m *Manager) schedule(ctx context.Context, dc ident.DataCentre, h *holding) error {
	watch := time.AfterFunc(settleTime, func() { m.yield(ctx, dc, h) })
	defer watch.Stop()
	return h.Run(ctx)
}

// yield ends a holding whose instance is not the first choice for the domain.
func (m *Manager) yield(ctx context.Context, dc ident.DataCentre, h *holding) {
	if ctx.Err() != nil {
		return
	}
	if first := m.preference(dc); len(first) > 0 && first[0] != m.cfg.Self.Name {
		m.cfg.Logger.Info("domain handed over to a preferred instance", "domain", dc, "to", first[0])
		h.end()
		return
	}
	time.AfterFunc(settleTime, func() { m.yield(ctx, dc, h) })
}

func (m *Manager) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// preference orders the live instances for a domain: those of its data centre first, each group by rendezvous hashing.
func (m *Manager) preference(dc ident.DataCentre) []ident.Instance {
	var near, far []ident.Instance
	for _, member := range m.cfg.Roster.Alive() {
		if member.DataCentre == dc {
			near = append(near, member.Name)
		} else {
			far = append(far, member.Name)
		}
	}
	key := "domain/" + string(dc)
	return slices.Concat(roster.Rank(key, near), roster.Rank(key, far))
}

// rank returns this instance's place in the preference order of a domain, or -1 when it is not live.
func (m *Manager) rank(dc ident.DataCentre) int {
	return slices.Index(m.preference(dc), m.cfg.Self.Name)
}

// heardHeld tells whether a live instance says that it holds a domain.
func (m *Manager) heardHeld(dc ident.DataCentre) bool {
	_, ok := m.heard(dc)
	return ok
}

// heard returns the heartbeat of the instance that says, under the latest epoch, that it holds a domain.
func (m *Manager) heard(dc ident.DataCentre) (roster.Heartbeat, bool) {
	var latest ident.Epoch
	var holder roster.Heartbeat
	for _, hb := range m.cfg.Roster.Heartbeats() {
		for _, load := range hb.Domains {
			if load.DataCentre == dc && load.Epoch > latest {
				latest = load.Epoch
				holder = hb
			}
		}
	}
	return holder, latest > 0
}

// holderAddress returns the address of the instance that holds a domain. It reads the lease when no heartbeat tells,
// or when a fresh answer is wanted.
func (m *Manager) holderAddress(ctx context.Context, dc ident.DataCentre, fresh bool) (string, error) {
	const step = "find holder"
	peer := "domain " + string(dc)
	if hb, ok := m.heard(dc); ok && !fresh {
		return hb.From.Address, nil
	}
	name, err := m.cfg.Holder(ctx, dc)
	if err != nil && !fault.Is(err, fault.NotFound) {
		return "", fault.Wrap(err, fault.Unavailable, step, peer).After(comeBack)
	}
	if name == "" || name == m.cfg.Self.Name {
		return "", fault.New(fault.Unavailable, step, peer, "no instance holds the domain").After(comeBack)
	}
	member, ok := m.cfg.Roster.Find(name)
	if !ok {
		return "", fault.New(fault.Unavailable, step, peer, "its holder %s is not reachable", name).After(comeBack)
	}
	return member.Address, nil
}
