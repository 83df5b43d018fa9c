package bench

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
)

const (
	// spreadDelay is the one-way latency between instances.
	spreadDelay = time.Millisecond
	// spreadLimit bounds the spread of one change.
	spreadLimit = 20 * time.Second
)

// PropagationConfig sets up MeasureSpread.
type PropagationConfig struct {
	Instances int
	// Changes is the number of documents, one after the other.
	Changes int
	// IdlePeriod is how long the cost without changes is counted. MeasureSpread takes three times as long and more.
	IdlePeriod time.Duration
}

// PropagationResult is what the spread of documents over a number of instances cost.
type PropagationResult struct {
	// InForce is the time from the proposal of a change to the moment at which an instance has it in force, for
	// all changes and instances, in ascending order.
	InForce []time.Duration
	// Acknowledged is the time from the proposal to its answer, in ascending order.
	Acknowledged []time.Duration
	// Idle is what all instances did in a second without changes, Change what they did more for one change.
	Idle   PropagationCost
	Change PropagationCost
}

// PropagationCost counts the work of all instances together.
type PropagationCost struct {
	TableReads float64
	// Calls are the reports and fetches that were sent.
	Calls float64
	// Bytes are those of all calls and answers, as CBOR.
	Bytes float64
}

// spreadNet joins the agents in memory, with a delay each way.
type spreadNet struct {
	cfg    PropagationConfig
	agents []*config.Agent
	bytes  atomic.Int64
}

// spreadPeer is the net as one instance sees it.
type spreadPeer struct {
	net    *spreadNet
	others []ident.Instance
}

// MeasurePropagation runs the agents of some instances and spreads changes. It takes its time from the clock of the runtime, so
// that tests can run it in virtual time.
func MeasurePropagation(ctx context.Context, cfg PropagationConfig) (PropagationResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	net := &spreadNet{cfg: cfg}
	store := &table.Memory{}
	names := make([]ident.Instance, cfg.Instances)
	for i := range names {
		names[i] = spreadName(i)
	}
	for i, name := range names {
		net.agents = append(net.agents, config.New(config.Config{
			Instance: name, Store: store, Peers: spreadPeer{net: net, others: slices.Delete(slices.Clone(names), i, i+1)},
			Membership: func() config.Membership { return config.Membership{Listed: cfg.Instances, Reachable: cfg.Instances} },
		}))
	}
	var group errgroup.Group
	for _, a := range net.agents {
		group.Go(func() error { return a.Run(ctx) })
	}
	result, err := net.measure(ctx)
	cancel()
	_ = group.Wait()
	return result, err
}

func (net *spreadNet) measure(ctx context.Context) (PropagationResult, error) {
	var r PropagationResult
	if err := net.change(ctx, &r); err != nil {
		return r, err
	}
	r = PropagationResult{}
	time.Sleep(net.cfg.IdlePeriod)
	before := net.cost()
	time.Sleep(net.cfg.IdlePeriod)
	r.Idle = net.cost().less(before).times(1 / net.cfg.IdlePeriod.Seconds())
	before, began := net.cost(), time.Now()
	for range net.cfg.Changes {
		if err := net.change(ctx, &r); err != nil {
			return r, err
		}
	}
	time.Sleep(net.cfg.IdlePeriod)
	rest := r.Idle.times(time.Since(began).Seconds())
	r.Change = net.cost().less(before).less(rest).times(1 / float64(net.cfg.Changes))
	slices.Sort(r.InForce)
	slices.Sort(r.Acknowledged)
	return r, nil
}

// change spreads one document and waits until it is in force everywhere and its acceptance is told.
func (net *spreadNet) change(ctx context.Context, r *PropagationResult) error {
	ctx, cancel := context.WithTimeout(ctx, spreadLimit)
	defer cancel()
	version := net.agents[0].Current().Version
	acceptor := net.agents[int(version)%len(net.agents)]
	began := time.Now()
	proposal := config.Proposal{
		Content: fmt.Appendf(nil, "Accounts: [{Name: north, Weight: %d}]", version+1),
		BasedOn: version, Author: "bench", Token: ident.WriteToken(fmt.Sprint(version)),
	}
	_, err := acceptor.Propose(ctx, proposal)
	for fault.Is(err, fault.OutcomeUnknown) && ctx.Err() == nil {
		_, err = acceptor.Propose(ctx, proposal)
	}
	r.Acknowledged = append(r.Acknowledged, time.Since(began))
	if err != nil {
		return err
	}
	for _, a := range net.agents {
		for a.Current().Version == version {
			if ctx.Err() != nil {
				return fault.Wrap(ctx.Err(), fault.Unavailable, "spread document", "")
			}
			time.Sleep(spreadDelay)
		}
		r.InForce = append(r.InForce, a.Current().Since.Sub(began))
	}
	return nil
}

func (net *spreadNet) cost() PropagationCost {
	c := PropagationCost{Bytes: float64(net.bytes.Load())}
	for _, a := range net.agents {
		counts := a.Counts()
		c.TableReads += float64(counts.HeadReads + counts.RecordReads)
		c.Calls += float64(counts.ExchangesSent + counts.Fetches)
	}
	return c
}

func (c PropagationCost) less(d PropagationCost) PropagationCost {
	return PropagationCost{TableReads: c.TableReads - d.TableReads, Calls: c.Calls - d.Calls, Bytes: c.Bytes - d.Bytes}
}

func (c PropagationCost) times(x float64) PropagationCost {
	return PropagationCost{TableReads: c.TableReads * x, Calls: c.Calls * x, Bytes: c.Bytes * x}
}

func spreadName(i int) ident.Instance {
	return ident.Instance(fmt.Sprintf("instance-%03d", i))
}

// Neighbours lists all other instances.
func (p spreadPeer) Neighbours() []ident.Instance { return p.others }

func (p spreadPeer) find(name ident.Instance) *config.Agent {
	var i int
	_, _ = fmt.Sscanf(string(name), "instance-%d", &i)
	return p.net.agents[i]
}

// Exchange carries a report to a peer and its answer back.
func (p spreadPeer) Exchange(_ context.Context, peer ident.Instance, mine config.Report) (config.Report, error) {
	p.net.carry(mine)
	theirs := p.find(peer).Exchange(mine)
	p.net.carry(theirs)
	return theirs, nil
}

// Fetch carries a record back.
func (p spreadPeer) Fetch(_ context.Context, peer ident.Instance, version ident.Version) ([]byte, error) {
	p.net.carry(version)
	body, err := p.find(peer).EncodedRecord(version)
	p.net.carry(body)
	return body, err
}

// carry counts a message and takes the time of one way.
func (net *spreadNet) carry(message any) {
	encoded, _ := cbor.Marshal(message)
	net.bytes.Add(int64(len(encoded)))
	time.Sleep(spreadDelay)
}
