package config

import (
	"time"

	"github.com/sardineline/sardineline/sard/fault"
)

// DefaultConfirmationTimeout is how long an instance stays ready without confirmation of its version.
const DefaultConfirmationTimeout = 10 * time.Second

// Counts are what an Agent did since it was made.
type Counts struct {
	HeadReads       uint64
	RecordReads     uint64
	ExchangesSent   uint64
	ExchangesServed uint64
	Fetches         uint64
	Breaches        uint64
}

// Counts returns what the agent did since it was made.
func (a *Agent) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts
}

func (a *Agent) count(f func(*Counts)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(&a.counts)
}

// breaches counts the broken promises that this instance has seen.
func (a *Agent) breaches() uint64 {
	if a.cfg.Violations != nil {
		return a.cfg.Violations()
	}
	return a.Counts().Breaches
}

// Ready tells why the instance must not take work: it has no document yet, a later one is known, or its version was
// not confirmed within the bound. The error is of kind Unavailable.
//
// A version is confirmed by a strongly consistent read of the table, by this instance or, at the age that a peer
// tells, by another. While the table answers nobody, it is confirmed by most of the listed instances running it.
func (a *Agent) Ready() error {
	members := a.membership()
	a.mu.Lock()
	defer a.mu.Unlock()
	const step = "confirm document"
	switch {
	case a.current.Version == 0 && !a.confirmed.IsZero() && a.wanted == 0:
		return fault.New(fault.Unavailable, step, "", "no document has been accepted yet")
	case a.current.Version == 0:
		return fault.New(fault.Unavailable, step, "", "the accepted document is not known yet")
	case a.wanted > a.current.Version:
		return fault.New(fault.Unavailable, step, "", "version %d is accepted but version %d is in force", a.wanted, a.current.Version)
	case a.recent(a.confirmed) || a.quorum(members.Listed, a.oldest()):
		return nil
	}
	return fault.New(fault.Unavailable, step, "", "version %d was not confirmed for %v: the table does not answer and only %d of %d instances are known to run it",
		a.current.Version, a.cfg.ConfirmationTimeout, a.inForceAt(), members.Listed)
}

func (m Membership) most() bool {
	return 2*m.Reachable > m.Listed
}

func (a *Agent) recent(t time.Time) bool {
	return !t.IsZero() && time.Since(t) <= a.cfg.ConfirmationTimeout
}

func (a *Agent) unconfirmedFor() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.confirmed.IsZero() {
		return a.cfg.ConfirmationTimeout
	}
	return time.Since(a.confirmed)
}

// membership counts the instances.
func (a *Agent) membership() Membership {
	if a.cfg.Membership != nil {
		return a.cfg.Membership()
	}
	peers := a.cfg.Peers.Neighbours()
	m := Membership{Listed: len(peers) + 1, Reachable: 1}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, peer := range peers {
		if a.recent(a.heard[peer]) {
			m.Reachable++
		}
	}
	return m
}
