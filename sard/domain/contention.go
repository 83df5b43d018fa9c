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
	// contendCheckInterval is the mean time between two checks of whether this instance should contend for a domain.
	contendCheckInterval = time.Second
	// yieldCheckInterval is the time between two checks of whether another instance is preferred for a held domain. The
	// first check comes after the same time, so that the membership settles before a domain is handed over.
	yieldCheckInterval = 30 * time.Second
	// leaseCallTimeout bounds the release of a lease, and the read that checks that the table is reachable.
	leaseCallTimeout = 3 * time.Second
	// releasePollInterval is the time between two checks of whether all domains are released.
	releasePollInterval = 20 * time.Millisecond
	// holderMemory is how long the instance that last reported holding a domain counts as its holder, unless another one
	// reports it. It is longer than the detection of a lost member takes.
	holderMemory = 10 * time.Second
)

// recentHolder is the instance that last reported holding a domain.
type recentHolder struct {
	name ident.Instance
	// seenAt is when the report was last seen to be current.
	seenAt time.Time
}

// contend acquires the lease of a domain whenever it is free and shouldContend allows it, and schedules the domain
// until the lease ends. It returns when ctx ends.
func (m *Manager) contend(ctx context.Context, dc ident.DataCentre) error {
	for ctx.Err() == nil {
		if !m.shouldContend(dc) {
			sleepUntilNextCheck(ctx)
			continue
		}
		lease, err := m.acquireLease(ctx, dc)
		if err == nil {
			m.holdDomain(ctx, dc, lease)
		}
	}
	return nil
}

// acquireLease waits until this instance has acquired the lease of a domain. It gives up when shouldContend no longer
// holds.
func (m *Manager) acquireLease(ctx context.Context, dc ident.DataCentre) (Lease, error) {
	group, ctx := errgroup.WithContext(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var lease Lease
	group.Go(func() (err error) {
		defer cancel()
		lease, err = m.cfg.AcquireLease(ctx, dc)
		return err
	})
	group.Go(func() error {
		for ctx.Err() == nil && m.shouldContend(dc) {
			sleepUntilNextCheck(ctx)
		}
		cancel()
		return nil
	})
	return lease, group.Wait()
}

// sleepUntilNextCheck sleeps for contendCheckInterval with a jitter of 50%.
func sleepUntilNextCheck(ctx context.Context) {
	clock.Sleep(ctx, contendCheckInterval/2+rand.N(contendCheckInterval))
}

// shouldContend reports whether this instance is the most preferred live instance for a domain apart from the current
// holder, so that usually one instance at a time waits for the lease.
func (m *Manager) shouldContend(dc ident.DataCentre) bool {
	if m.isLeaving() || !m.hasDocument() {
		return false
	}
	holder := m.presumedHolder(dc)
	for _, name := range m.preferenceOrder(dc) {
		if name != holder {
			return name == m.cfg.Self.Name
		}
	}
	return false
}

// presumedHolder returns the instance that reports holding a domain, or did so within holderMemory; empty for none. An
// instance that no longer reports it may die before its lease ends, so the contender must keep watching the lease.
func (m *Manager) presumedHolder(dc ident.DataCentre) ident.Instance {
	hb, reported := m.reportedHolder(dc)
	m.mu.Lock()
	defer m.mu.Unlock()
	if reported {
		m.recentHolders[dc] = recentHolder{name: hb.From.Name, seenAt: time.Now()}
	}
	if last := m.recentHolders[dc]; time.Since(last.seenAt) <= holderMemory {
		return last.name
	}
	return ""
}

// holdDomain schedules a domain until the lease ends, the domain is handed over, or ctx ends, and then releases the
// lease.
func (m *Manager) holdDomain(ctx context.Context, dc ident.DataCentre, lease Lease) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	h := &heldDomain{Scheduler: m.cfg.NewScheduler(dc, lease), lease: lease, stopScheduler: stop}
	m.addHeldDomain(dc, h)
	m.cfg.Logger.Info("domain acquired", "domain", dc, "epoch", lease.Epoch())
	err := m.runScheduler(ctx, dc, h)
	m.removeHeldDomain(dc)
	releaseCtx, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), leaseCallTimeout)
	defer cancelRelease()
	releaseErr := lease.Release(releaseCtx)
	m.cfg.Logger.Info("domain released", "domain", dc, "epoch", lease.Epoch(), "error", err, "release", releaseErr)
}

// addHeldDomain passes the current topology and configuration to the scheduler of a domain and registers it, so that
// job calls reach it. If ReleaseAll was called in the meantime, it stops the scheduler at once.
func (m *Manager) addHeldDomain(dc ident.DataCentre, h *heldDomain) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.SetTopology(m.topology[dc])
	h.Configure(m.placementConfig(dc))
	m.held[dc] = h
	delete(m.recentHolders, dc)
	if m.leaving {
		h.stopScheduler()
	}
}

// removeHeldDomain unregisters the scheduler of a domain.
func (m *Manager) removeHeldDomain(dc ident.DataCentre) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.held, dc)
}

// runScheduler runs the scheduler of a domain, and checks every yieldCheckInterval whether to hand the domain over.
func (m *Manager) runScheduler(ctx context.Context, dc ident.DataCentre, h *heldDomain) error {
	timer := time.AfterFunc(yieldCheckInterval, func() { m.yieldToPreferred(ctx, dc, h) })
	defer timer.Stop()
	return h.Run(ctx)
}

// yieldToPreferred stops the scheduler of a domain if another instance is preferred for it and the table is reachable.
// Otherwise it checks again after yieldCheckInterval.
func (m *Manager) yieldToPreferred(ctx context.Context, dc ident.DataCentre, h *heldDomain) {
	if ctx.Err() != nil {
		return
	}
	if order := m.preferenceOrder(dc); len(order) > 0 && order[0] != m.cfg.Self.Name && m.canReadLease(ctx, dc) {
		m.cfg.Logger.Info("handing domain over to preferred instance", "domain", dc, "to", order[0])
		h.stopScheduler()
		return
	}
	time.AfterFunc(yieldCheckInterval, func() { m.yieldToPreferred(ctx, dc, h) })
}

// canReadLease reports whether the table responds. During an outage of the table no other instance could acquire a
// domain that is released.
func (m *Manager) canReadLease(ctx context.Context, dc ident.DataCentre) bool {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	_, err := m.cfg.ReadHolder(ctx, dc)
	return err == nil
}

// hasDocument reports whether an environment document is in force. A domain that is scheduled without one would reject
// the jobs that run only within a guarantee.
func (m *Manager) hasDocument() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.activeDocument.Version > 0
}

// isLeaving reports whether ReleaseAll was called.
func (m *Manager) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// preferenceOrder returns the live instances in the order in which they are preferred as holder of a domain: those in
// its data centre first, then all others, both ordered by rendezvous hashing.
func (m *Manager) preferenceOrder(dc ident.DataCentre) []ident.Instance {
	var local, remote []ident.Instance
	for _, member := range m.cfg.Roster.Alive() {
		if member.DataCentre == dc {
			local = append(local, member.Name)
		} else {
			remote = append(remote, member.Name)
		}
	}
	hashKey := "domain/" + string(dc)
	return slices.Concat(roster.RendezvousOrder(hashKey, local), roster.RendezvousOrder(hashKey, remote))
}

// reportedHolder returns the heartbeat of the instance that reports holding a domain under the highest epoch.
func (m *Manager) reportedHolder(dc ident.DataCentre) (roster.Heartbeat, bool) {
	var latestEpoch ident.Epoch
	var holder roster.Heartbeat
	for _, hb := range m.cfg.Roster.LastHeartbeats() {
		for _, load := range hb.Domains {
			if load.DataCentre == dc && load.Epoch > latestEpoch {
				latestEpoch = load.Epoch
				holder = hb
			}
		}
	}
	return holder, latestEpoch > 0
}

// holderAddress returns the address of the instance that holds a domain. It takes the holder from the heartbeats, or
// from the lease if readLease is set or no heartbeat reports a holder.
func (m *Manager) holderAddress(ctx context.Context, dc ident.DataCentre, readLease bool) (string, error) {
	const step = "find holder"
	peer := "domain " + string(dc)
	if hb, ok := m.reportedHolder(dc); ok && !readLease {
		return hb.From.Address, nil
	}
	name, err := m.cfg.ReadHolder(ctx, dc)
	if err != nil && !fault.Is(err, fault.NotFound) {
		return "", fault.Wrap(err, fault.Unavailable, step, peer).WithRetryAfter(retryAfter)
	}
	if name == "" || name == m.cfg.Self.Name {
		return "", fault.New(fault.Fenced, step, peer, "no instance holds the domain")
	}
	member, ok := m.cfg.Roster.Lookup(name)
	if !ok {
		return "", fault.New(fault.Unavailable, step, peer, "the holder %s is not in the membership", name).WithRetryAfter(retryAfter)
	}
	return member.Address, nil
}
