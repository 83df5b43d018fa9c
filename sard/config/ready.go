package config

import (
	"time"

	"github.com/sardineline/sardineline/sard/fault"
)

// DefaultConfirmationTimeout is the value of Config.ConfirmationTimeout if none is set.
const DefaultConfirmationTimeout = 10 * time.Second

// Counts holds how often an Agent has made each kind of call since it was created, and how many violations it has
// detected.
type Counts struct {
	// HeadReads counts the periodic reads of the head of the table.
	HeadReads uint64
	// RecordReads counts the reads of the record of a version from the table.
	RecordReads uint64
	// ExchangesSent counts the reports sent to peers.
	ExchangesSent uint64
	// ExchangesServed counts the reports received from peers.
	ExchangesServed uint64
	// Fetches counts the records requested from peers.
	Fetches uint64
	// Violations counts the invariant violations detected by the Agent.
	Violations uint64
}

// Counts returns the numbers of calls and violations counted so far.
func (a *Agent) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts
}

// updateCounts calls update with the counters while holding a.mu.
func (a *Agent) updateCounts(update func(*Counts)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	update(&a.counts)
}

// violationCount returns the number of invariant violations that this instance has detected.
func (a *Agent) violationCount() uint64 {
	if a.cfg.Violations != nil {
		return a.cfg.Violations()
	}
	return a.Counts().Violations
}

// Ready returns nil if the instance may accept work. Otherwise its error, of kind Unavailable, gives the reason: there
// is no document yet, a later version is known, or the version was not confirmed within ConfirmationTimeout.
//
// A version is confirmed by a strongly consistent read of the table, either by this instance or by a peer that reports
// the age of its read. While no instance can read the table, the version is confirmed by a majority of the listed
// instances running it.
func (a *Agent) Ready() error {
	members := a.membership()
	a.mu.Lock()
	defer a.mu.Unlock()
	const step = "confirm document"
	switch {
	case a.current.Version == 0 && !a.confirmedAt.IsZero() && a.latestKnown == 0:
		return fault.New(fault.Unavailable, step, "", "no document has been accepted yet")
	case a.current.Version == 0:
		return fault.New(fault.Unavailable, step, "", "the accepted document is not known yet")
	case a.latestKnown > a.current.Version:
		return fault.New(fault.Unavailable, step, "", "version %d is accepted but version %d is in force", a.latestKnown, a.current.Version)
	case a.withinConfirmationTimeout(a.confirmedAt) || a.hasQuorum(members.Listed, a.confirmationCutoff()):
		return nil
	}
	return fault.New(fault.Unavailable, step, "", "version %d was not confirmed for %v: the table does not answer and only %d of %d instances are known to run it",
		a.current.Version, a.cfg.ConfirmationTimeout, a.inForceCount(), members.Listed)
}

// hasMajority reports whether more than half of the listed instances are reachable.
func (m Membership) hasMajority() bool {
	return 2*m.Reachable > m.Listed
}

// withinConfirmationTimeout reports whether t is not zero and at most Config.ConfirmationTimeout ago.
func (a *Agent) withinConfirmationTimeout(t time.Time) bool {
	return !t.IsZero() && time.Since(t) <= a.cfg.ConfirmationTimeout
}

// confirmationAge returns the time since the last moment at which the table is known to have held no later version than
// the one in force here; ConfirmationTimeout if there was none.
func (a *Agent) confirmationAge() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.confirmedAt.IsZero() {
		return a.cfg.ConfirmationTimeout
	}
	return time.Since(a.confirmedAt)
}

// membership returns the numbers of listed and reachable instances from Config.Membership. If that is nil, it counts
// the peers, and as reachable those heard from within ConfirmationTimeout.
func (a *Agent) membership() Membership {
	if a.cfg.Membership != nil {
		return a.cfg.Membership()
	}
	peers := a.cfg.Peers.Neighbours()
	members := Membership{Listed: len(peers) + 1, Reachable: 1}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, peer := range peers {
		if a.withinConfirmationTimeout(a.lastHeard[peer]) {
			members.Reachable++
		}
	}
	return members
}
