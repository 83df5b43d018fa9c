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
)

// DefaultFanout is the number of peers that an instance exchanges reports with.
const DefaultFanout = 8

const (
	exchangeInterval = time.Second
	exchangeTimeout  = 500 * time.Millisecond
	fetchTimeout     = time.Second
	fetchPause       = 200 * time.Millisecond
)

// Report is what an instance tells of its document.
type Report struct {
	Instance ident.Instance
	Version  ident.Version
	Digest   ident.Digest
	// Known is the latest version that the instance knows to be accepted.
	Known ident.Version
	// InForceFor is how long the version has been in force at the instance.
	InForceFor ident.Duration
	// First tells that the version is the first of the process, so that InForceFor is bounded by its age.
	First bool
	// Confirmed tells that ConfirmedAgo is known.
	Confirmed bool
	// ConfirmedAgo is the age of a moment at which the table held no later version than this one.
	ConfirmedAgo ident.Duration
	// Established tells that the instance's version was confirmed as of a moment after its start.
	Established bool
	// Asks tells that the instance wants Witnesses in the answer.
	Asks bool
	// Witnesses are the instances that were seen running the version, in no order.
	Witnesses []Witness
	// Breaches counts the broken promises that the instance has seen since the version came into force.
	Breaches uint64
}

// Peers are the other instances. Its calls end with their context. Errors are *fault.Error.
type Peers interface {
	// Neighbours lists the peers that may be called, in any order.
	Neighbours() []ident.Instance
	// Exchange sends this instance's report to a peer, which gives it to Agent.Exchange, and returns the answer.
	Exchange(ctx context.Context, peer ident.Instance, mine Report) (Report, error)
	// Fetch returns what Agent.RecordOf gives at a peer.
	Fetch(ctx context.Context, peer ident.Instance, version ident.Version) ([]byte, error)
}

type noPeers struct{}

func (noPeers) Neighbours() []ident.Instance { return nil }

func (noPeers) Exchange(context.Context, ident.Instance, Report) (Report, error) {
	return Report{}, fault.New(fault.Unavailable, "exchange reports", "", "no peers")
}

func (noPeers) Fetch(context.Context, ident.Instance, ident.Version) ([]byte, error) {
	return nil, fault.New(fault.Unavailable, "fetch record", "", "no peers")
}

// Report returns what this instance tells of its document.
func (a *Agent) Report() Report {
	breaches := a.breaches()
	a.mu.Lock()
	defer a.mu.Unlock()
	r := Report{
		Instance:    a.cfg.Instance,
		Version:     a.current.Version,
		Digest:      a.current.Digest,
		Known:       max(a.current.Version, a.wanted),
		First:       a.first,
		Confirmed:   !a.confirmed.IsZero(),
		Established: a.established,
		Breaches:    breaches - a.breachesBefore,
	}
	if r.Version > 0 {
		r.InForceFor = ident.Duration(time.Since(a.current.Since))
	}
	if r.Confirmed {
		r.ConfirmedAgo = ident.Duration(time.Since(a.confirmed))
	}
	return r
}

// Exchange takes a peer's report and returns this instance's. What the peer says of its confirmation is not used:
// its age on arrival is not known.
func (a *Agent) Exchange(theirs Report) Report {
	a.count(func(c *Counts) { c.ExchangesServed++ })
	if err := a.checkDigest(theirs.Version, theirs.Digest, "instance "+string(theirs.Instance)); err == nil {
		theirs.Confirmed = false
		a.hear(theirs.Instance)
		a.learn(theirs, theirs.Instance, time.Time{})
		a.noteRun(theirs)
	}
	mine := a.Report()
	if theirs.Asks && theirs.Version == mine.Version {
		mine.Witnesses = a.listWitnesses()
	}
	return mine
}

// noteRun notes a peer that runs the version in force here. Its report's age is not known, so it is no witness.
func (a *Agent) noteRun(r Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Version == a.current.Version && r.Instance != a.cfg.Instance {
		a.runs[witnessID(r.Instance)] = true
	}
}

func (a *Agent) listWitnesses() []Witness {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.witnesses.list(a.cfg.ConfirmationTimeout)
}

// learn takes in that a version was accepted. When the report is confirmed, asOf is a moment no later than the one
// at which its ConfirmedAgo was 0.
func (a *Agent) learn(r Report, source ident.Instance, asOf time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Confirmed {
		a.confirm(confirmation{version: r.Version, at: asOf})
	}
	known := max(r.Version, r.Known)
	if known <= a.current.Version || known < a.wanted {
		return
	}
	if known > a.wanted {
		a.wanted = known
		a.sources = nil
	}
	if source != "" && r.Version == known && !slices.Contains(a.sources, source) {
		a.sources = append(a.sources, source)
	}
	notify(a.wake)
}

// confirm keeps the latest confirmation; that of a later version waits until it is in force. The caller holds a.mu.
func (a *Agent) confirm(c confirmation) {
	if c.version > a.current.Version {
		if c.at.After(a.pending.at) {
			a.pending = c
		}
		return
	}
	if c.at.After(a.confirmed) {
		a.confirmed = c.at
		a.established = a.established || a.current.Version > 0 && !c.at.Before(a.started)
	}
}

func (a *Agent) hear(peer ident.Instance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heard[peer] = time.Now()
}

// exchangeLoop exchanges reports with one neighbour at a time, and with all while the version is not confirmed.
func (a *Agent) exchangeLoop(ctx context.Context) error {
	interval := func() time.Duration { return exchangeInterval }
	return every(ctx, interval, func(ctx context.Context) {
		peers := a.neighbours()
		if len(peers) > 0 && !a.asks() {
			peers = []ident.Instance{peers[rand.IntN(len(peers))]}
		}
		a.exchangeAll(ctx, peers)
	})
}

// pushLoop tells all neighbours of each new document. One that does not answer holds up no later push.
func (a *Agent) pushLoop(ctx context.Context) error {
	var group errgroup.Group
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-a.fresh:
		}
		group.Go(func() error {
			a.exchangeAll(ctx, a.neighbours())
			return nil
		})
	}
}

// neighbours lists the peers that this instance exchanges reports with: all, or those that rank first for it by
// rendezvous hashing.
func (a *Agent) neighbours() []ident.Instance {
	peers := a.cfg.Peers.Neighbours()
	if len(peers) <= a.cfg.Fanout {
		return peers
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.Equal(peers, a.rankedOf) {
		a.rankedOf = slices.Clone(peers)
		a.ranked = roster.RendezvousOrder(string(a.cfg.Instance), peers)[:a.cfg.Fanout]
	}
	return a.ranked
}

func (a *Agent) exchangeAll(ctx context.Context, peers []ident.Instance) {
	var group errgroup.Group
	for _, peer := range peers {
		group.Go(func() error {
			a.exchange(ctx, peer)
			return nil
		})
	}
	_ = group.Wait()
}

func (a *Agent) exchange(ctx context.Context, peer ident.Instance) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := time.Now()
	mine := a.Report()
	mine.Asks = a.asks()
	theirs, err := a.cfg.Peers.Exchange(ctx, peer, mine)
	a.count(func(c *Counts) { c.ExchangesSent++ })
	if err != nil {
		a.log.Debug("report not exchanged", "peer", peer, "error", err)
		return
	}
	if err := a.checkDigest(theirs.Version, theirs.Digest, "instance "+string(peer)); err != nil {
		return
	}
	a.hear(peer)
	a.learn(theirs, peer, sent.Add(-theirs.ConfirmedAgo.Std()))
	listed := a.membership().Listed
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attest(theirs, sent)
	a.established = a.established || a.quorum(listed, a.started)
}

// fetchLoop gets each wanted version, one at a time.
func (a *Agent) fetchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
		}
		for a.fetch(ctx) != nil && ctx.Err() == nil {
			clock.Sleep(ctx, jitter(fetchPause))
		}
	}
}

// fetch gets the wanted version from a peer that has it, or else from the table.
func (a *Agent) fetch(ctx context.Context) error {
	a.mu.Lock()
	version, current := a.wanted, a.current.Version
	sources := slices.Clone(a.sources)
	a.mu.Unlock()
	if version <= current {
		return nil
	}
	for _, peer := range sources {
		if err := a.fetchPeer(ctx, peer, version); err == nil {
			return nil
		}
	}
	return a.fetchTable(ctx, version)
}

func (a *Agent) fetchPeer(ctx context.Context, peer ident.Instance, version ident.Version) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	from := "instance " + string(peer)
	a.count(func(c *Counts) { c.Fetches++ })
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

func (a *Agent) fetchTable(ctx context.Context, version ident.Version) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	rec, err := a.readRecord(ctx, version)
	if err != nil {
		a.log.Warn("version not fetched", "version", version, "error", err)
		return err
	}
	if err := a.install(rec, "table"); err != nil {
		a.log.Error("version not installed", "version", version, "error", err)
		return err
	}
	return nil
}
