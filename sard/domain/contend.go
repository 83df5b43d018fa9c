package domain

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/roster"
)

const (
	// turnPause is the mean time between two looks at whose turn it is to take a domain.
	turnPause = time.Second
	// settleTime is how long another instance must be the first choice before a domain is handed over to it.
	settleTime = 30 * time.Second
	// releaseTimeout bounds the release of a lease.
	releaseTimeout = 3 * time.Second
	// handOverPoll is the time between two looks at whether all domains are released.
	handOverPoll = 20 * time.Millisecond
)

// contend takes a domain whenever it is free and this instance's turn, and schedules it until the lease ends.
func (m *Manager) contend(ctx context.Context, dc ident.DataCentre) error {
	for ctx.Err() == nil {
		if !m.isTurn(dc) {
			pause(ctx)
			continue
		}
		held, err := m.acquire(ctx, dc)
		if err == nil {
			m.hold(ctx, dc, held)
		}
	}
	return nil
}

// acquire waits for the lease of a domain for as long as it is this instance's turn.
func (m *Manager) acquire(ctx context.Context, dc ident.DataCentre) (Lease, error) {
	group, ctx := errgroup.WithContext(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var held Lease
	group.Go(func() (err error) {
		defer cancel()
		held, err = m.cfg.AcquireLease(ctx, dc)
		return err
	})
	group.Go(func() error {
		for ctx.Err() == nil && m.isTurn(dc) {
			pause(ctx)
		}
		cancel()
		return nil
	})
	return held, group.Wait()
}

// pause waits for about the time between two looks at whose turn it is.
func pause(ctx context.Context) {
	clock.Sleep(ctx, turnPause/2+rand.N(turnPause))
}

// isTurn tells whether this instance is the first of the live instances, but for the holder, to take a domain.
func (m *Manager) isTurn(dc ident.DataCentre) bool {
	if m.isLeaving() || !m.isConfigured() {
		return false
	}
	holder, _ := m.heard(dc)
	for _, name := range m.preference(dc) {
		if name != holder.From.Name {
			return name == m.cfg.Self.Name
		}
	}
	return false
}

// hold schedules a domain until the lease ends, another instance is preferred, or ctx ends.
func (m *Manager) hold(ctx context.Context, dc ident.DataCentre, held Lease) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	h := &holding{Scheduler: m.cfg.NewScheduler(dc, held), lease: held, end: end}
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

// yield ends a holding whose instance is not the first choice for the domain, but for outages of the table.
func (m *Manager) yield(ctx context.Context, dc ident.DataCentre, h *holding) {
	if ctx.Err() != nil {
		return
	}
	if first := m.preference(dc); len(first) > 0 && first[0] != m.cfg.Self.Name && m.canRead(ctx, dc) {
		m.cfg.Logger.Info("domain handed over to a preferred instance", "domain", dc, "to", first[0])
		h.end()
		return
	}
	time.AfterFunc(settleTime, func() { m.yield(ctx, dc, h) })
}

// canRead tells whether the table answers. While it does not, nobody could take a domain that is given up.
func (m *Manager) canRead(ctx context.Context, dc ident.DataCentre) bool {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_, err := m.cfg.ReadHolder(ctx, dc)
	return err == nil
}

// isConfigured tells whether a document is in force. A domain that is scheduled without one would refuse the jobs that
// run only within a guarantee.
func (m *Manager) isConfigured() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.accepted.Version > 0
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
	return slices.Concat(roster.RendezvousOrder(key, near), roster.RendezvousOrder(key, far))
}

// heard returns the heartbeat of the instance that says, under the latest epoch, that it holds a domain.
func (m *Manager) heard(dc ident.DataCentre) (roster.Heartbeat, bool) {
	var latest ident.Epoch
	var holder roster.Heartbeat
	for _, hb := range m.cfg.Roster.LastHeartbeats() {
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
	name, err := m.cfg.ReadHolder(ctx, dc)
	if err != nil && !fault.Is(err, fault.NotFound) {
		return "", fault.Wrap(err, fault.Unavailable, step, peer).WithRetryAfter(comeBack)
	}
	if name == "" || name == m.cfg.Self.Name {
		return "", fault.New(fault.Fenced, step, peer, "no instance holds the domain")
	}
	member, ok := m.cfg.Roster.Lookup(name)
	if !ok {
		return "", fault.New(fault.Unavailable, step, peer, "its holder %s is not reachable", name).WithRetryAfter(comeBack)
	}
	return member.Address, nil
}
