package config

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
	"github.com/sardineline/sardineline/sard/store"
)

// DefaultFanout is the number of peers with which an instance exchanges reports if Config.Fanout is 0.
const DefaultFanout = 8

const (
	// exchangeInterval is the mean time between two periodic exchanges of reports with peers.
	exchangeInterval = time.Second
	// exchangeTimeout bounds one exchange of reports with a peer.
	exchangeTimeout = 500 * time.Millisecond
	// fetchTimeout is how long nothing of a record may arrive that is fetched from one peer or from the table.
	fetchTimeout = time.Second
	// maxFetchTime bounds a fetch of which parts arrive, or seem to.
	maxFetchTime = 30 * time.Second
	// fetchRetryInterval is the mean delay before a failed fetch is retried.
	fetchRetryInterval = 200 * time.Millisecond
)

// Report tells which version is in force at an instance and how recently that was confirmed.
type Report struct {
	// Instance is the reporting instance.
	Instance ident.Instance
	// Version is the version in force; 0 if there is none.
	Version ident.Version
	// Digest is the digest of the document in force.
	Digest ident.Digest
	// Known is the latest version that the instance knows to be accepted.
	Known ident.Version
	// InForceFor is how long the version has been in force at the instance.
	InForceFor ident.Duration
	// First means that the version is the first one since the process started, so that InForceFor is limited by the age
	// of the process.
	First bool
	// Confirmed means that the table is known to have held no later version at some time, which ConfirmedAgo tells.
	Confirmed bool
	// ConfirmedAgo is the time since the latest moment at which the table is known to have held no later version.
	ConfirmedAgo ident.Duration
	// Established means that a version in force at the instance was confirmed to be the latest, as of a time after the
	// process of the instance started. Before that, the instance may not know the latest version.
	Established bool
	// Asks requests that the receiver lists its Witnesses in its reply.
	Asks bool
	// Witnesses lists other instances that the sender knows to have run Version recently, in no particular order.
	Witnesses []Witness
	// Breaches is the number of invariant violations that the instance has detected since the version came into force.
	Breaches uint64
}

// Peers connects to the other instances. Calls end when their context is done, and tell store.WithSilenceLimit of each part of
// the answer that arrives. Errors are of type *fault.Error.
type Peers interface {
	// Neighbours lists the peers that Exchange and Fetch can call, in any order.
	Neighbours() []ident.Instance
	// Exchange sends a report to a peer, which passes it to Agent.Exchange, and returns the reply.
	Exchange(ctx context.Context, peer ident.Instance, report Report) (Report, error)
	// Fetch returns the result of Agent.EncodedRecord for a version at a peer.
	Fetch(ctx context.Context, peer ident.Instance, version ident.Version) ([]byte, error)
}

// noPeers implements Peers for an instance without peers.
type noPeers struct{}

func (noPeers) Neighbours() []ident.Instance { return nil }

func (noPeers) Exchange(context.Context, ident.Instance, Report) (Report, error) {
	return Report{}, fault.New(fault.Unavailable, "exchange reports", "", "this instance has no peers")
}

func (noPeers) Fetch(context.Context, ident.Instance, ident.Version) ([]byte, error) {
	return nil, fault.New(fault.Unavailable, "fetch record", "", "this instance has no peers")
}

// Report returns the present report of this instance, without Witnesses.
func (a *Agent) Report() Report {
	violations := a.violationCount()
	a.mu.Lock()
	defer a.mu.Unlock()
	r := Report{
		Instance:    a.cfg.Instance,
		Version:     a.current.Version,
		Digest:      a.current.Digest,
		Known:       max(a.current.Version, a.latestKnown),
		First:       a.currentIsFirst,
		Confirmed:   !a.confirmedAt.IsZero(),
		Established: a.established,
		Breaches:    violations - a.violationsBefore,
	}
	if r.Version > 0 {
		r.InForceFor = ident.Duration(time.Since(a.current.Since))
	}
	if r.Confirmed {
		r.ConfirmedAgo = ident.Duration(time.Since(a.confirmedAt))
	}
	return r
}

// Exchange processes the report of a peer and returns the report of this instance. It ignores the confirmation of the
// peer, because the transmission time of the report is unknown and so the age of the confirmation is, too.
func (a *Agent) Exchange(report Report) Report {
	a.updateCounts(func(c *Counts) { c.ExchangesServed++ })
	if err := a.checkDigest(report.Version, report.Digest, "instance "+string(report.Instance)); err == nil {
		report.Confirmed = false
		a.recordHeard(report.Instance)
		a.applyReport(report, report.Instance, time.Time{})
		a.recordRunningPeer(report)
	}
	own := a.Report()
	if report.Asks && report.Version == own.Version {
		own.Witnesses = a.listWitnesses()
	}
	return own
}

// recordRunningPeer records that a peer runs the version in force here. The peer does not become a witness, because the
// age of its report is unknown.
func (a *Agent) recordRunningPeer(r Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Version == a.current.Version && r.Instance != a.cfg.Instance {
		a.runningPeers[witnessID(r.Instance)] = true
	}
}

// listWitnesses returns the other instances that were seen running the version in force here within the last
// ConfirmationTimeout.
func (a *Agent) listWitnesses() []Witness {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.witnesses.list(a.cfg.ConfirmationTimeout)
}

// applyReport records the confirmation in a report and wakes fetchLoop if the report names a version later than the one
// in force. If the report is confirmed, asOf must be no later than the time of its confirmation.
func (a *Agent) applyReport(r Report, source ident.Instance, asOf time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Confirmed {
		a.recordConfirmation(confirmation{version: r.Version, at: asOf})
	}
	known := max(r.Version, r.Known)
	if known <= a.current.Version || known < a.latestKnown {
		return
	}
	if known > a.latestKnown {
		a.latestKnown = known
		a.latestSources = nil
	}
	if source != "" && r.Version == known && !slices.Contains(a.latestSources, source) {
		a.latestSources = append(a.latestSources, source)
	}
	notify(a.fetchNeeded)
}

// recordConfirmation stores a confirmation if it is newer than the last one. A confirmation of a version that is not in
// force yet is kept until that version is installed. The caller holds a.mu.
func (a *Agent) recordConfirmation(c confirmation) {
	if c.version > a.current.Version {
		if c.at.After(a.pendingConfirmation.at) {
			a.pendingConfirmation = c
		}
		return
	}
	if c.at.After(a.confirmedAt) {
		a.confirmedAt = c.at
		a.established = a.established || a.current.Version > 0 && !c.at.Before(a.startedAt)
	}
}

// recordHeard records that a message from a peer was received now.
func (a *Agent) recordHeard(peer ident.Instance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastHeard[peer] = time.Now()
}

// exchangeLoop periodically exchanges reports with one random peer, or with all exchange peers while witnesses are
// needed.
func (a *Agent) exchangeLoop(ctx context.Context) error {
	interval := func() time.Duration { return exchangeInterval }
	return runPeriodically(ctx, interval, func(ctx context.Context) {
		peers := a.exchangePeers()
		if len(peers) > 0 && !a.needsWitnesses() {
			peers = []ident.Instance{peers[rand.IntN(len(peers))]}
		}
		a.exchangeWithAll(ctx, peers)
	})
}

// pushLoop exchanges reports with all exchange peers after each installed document. Pushes run concurrently, so that a
// peer that does not answer does not delay the next push.
func (a *Agent) pushLoop(ctx context.Context) error {
	var group errgroup.Group
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-a.pushNeeded:
		}
		group.Go(func() error {
			a.exchangeWithAll(ctx, a.exchangePeers())
			return nil
		})
	}
}

// exchangePeers returns the peers with which this instance exchanges reports: all of them, or the Config.Fanout peers
// that rank first by rendezvous hashing.
func (a *Agent) exchangePeers() []ident.Instance {
	peers := a.cfg.Peers.Neighbours()
	if len(peers) <= a.cfg.Fanout {
		return peers
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.Equal(peers, a.fanoutCandidates) {
		a.fanoutCandidates = slices.Clone(peers)
		a.fanoutPeers = roster.RendezvousOrder(string(a.cfg.Instance), peers)[:a.cfg.Fanout]
	}
	return a.fanoutPeers
}

// exchangeWithAll exchanges reports with the given peers concurrently.
func (a *Agent) exchangeWithAll(ctx context.Context, peers []ident.Instance) {
	var group errgroup.Group
	for _, peer := range peers {
		group.Go(func() error {
			a.exchangeWith(ctx, peer)
			return nil
		})
	}
	_ = group.Wait()
}

// exchangeWith sends the report of this instance to a peer and processes the report with which the peer replies.
func (a *Agent) exchangeWith(ctx context.Context, peer ident.Instance) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := time.Now()
	own := a.Report()
	own.Asks = a.needsWitnesses()
	reply, err := a.cfg.Peers.Exchange(ctx, peer, own)
	a.updateCounts(func(c *Counts) { c.ExchangesSent++ })
	if err != nil {
		a.logger.Debug("report not exchanged", "peer", peer, "error", err)
		return
	}
	if err := a.checkDigest(reply.Version, reply.Digest, "instance "+string(peer)); err != nil {
		return
	}
	a.recordHeard(peer)
	a.applyReport(reply, peer, sent.Add(-reply.ConfirmedAgo.Std()))
	listed := a.membership().Listed
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordWitnesses(reply, sent)
	a.established = a.established || a.hasQuorum(listed, a.startedAt)
}

// fetchLoop fetches and installs the latest known version whenever it is later than the one in force.
func (a *Agent) fetchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.fetchNeeded:
		}
		for a.fetchLatest(ctx) != nil && ctx.Err() == nil {
			clock.Sleep(ctx, jitter(fetchRetryInterval))
		}
	}
}

// fetchLatest fetches and installs the latest known version from a peer that runs it, or else from the table.
func (a *Agent) fetchLatest(ctx context.Context) error {
	a.mu.Lock()
	version, current := a.latestKnown, a.current.Version
	sources := slices.Clone(a.latestSources)
	a.mu.Unlock()
	if version <= current {
		return nil
	}
	for _, peer := range sources {
		if err := a.fetchFromPeer(ctx, peer, version); err == nil {
			return nil
		}
	}
	return a.fetchFromTable(ctx, version)
}

// withFetchLimits returns a context for one fetch. On a connection to a peer, parts of other replies count as parts of this one.
func withFetchLimits(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancelFetch := context.WithTimeout(ctx, maxFetchTime)
	ctx, cancelSilent := store.WithSilenceLimit(ctx, fetchTimeout)
	return ctx, func() {
		cancelSilent()
		cancelFetch()
	}
}

// fetchFromPeer fetches a version from a peer and installs it.
func (a *Agent) fetchFromPeer(ctx context.Context, peer ident.Instance, version ident.Version) error {
	ctx, cancel := withFetchLimits(ctx)
	defer cancel()
	from := "instance " + string(peer)
	a.updateCounts(func(c *Counts) { c.Fetches++ })
	body, err := a.cfg.Peers.Fetch(ctx, peer, version)
	if err != nil {
		return err
	}
	rec, err := decode[Record](body, from)
	if err != nil {
		return err
	}
	return a.install(rec, from)
}

// fetchFromTable reads a version from the table and installs it.
func (a *Agent) fetchFromTable(ctx context.Context, version ident.Version) error {
	ctx, cancel := withFetchLimits(ctx)
	defer cancel()
	rec, err := a.readRecord(ctx, version)
	if err != nil {
		a.logger.Warn("version not fetched", "version", version, "error", err)
		return err
	}
	if err := a.install(rec, "table"); err != nil {
		a.logger.Error("version not installed", "version", version, "error", err)
		return err
	}
	return nil
}
