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
	// networkDelay is the one-way latency between instances.
	networkDelay = time.Millisecond
	// propagationTimeout limits the time until one document is in force at all instances.
	propagationTimeout = 20 * time.Second
)

// PropagationConfig sets the numbers of instances and documents and the duration of MeasurePropagation.
type PropagationConfig struct {
	Instances int
	// Changes is the number of documents, which are proposed one after the other.
	Changes int
	// IdlePeriod is the time for which the cost without changes is counted. The measurement takes more than three such
	// periods.
	IdlePeriod time.Duration
}

// PropagationResult is the latency and the cost of propagating documents to all instances.
type PropagationResult struct {
	// InForce are the times from the proposal of a change until it is in force at an instance, for all changes and
	// instances, in ascending order.
	InForce []time.Duration
	// Acknowledged are the times from the proposals to their results, in ascending order.
	Acknowledged []time.Duration
	// Idle is the cost of a second without changes, Change the additional cost of one change.
	Idle   PropagationCost
	Change PropagationCost
}

// PropagationCost is the work of all instances together: a total, or an average per second or per change.
type PropagationCost struct {
	TableReads float64
	// Calls is the number of exchanges and fetches that were sent.
	Calls float64
	// Bytes is the size of all calls and replies, encoded as CBOR.
	Bytes float64
}

// simulatedNetwork connects the agents in memory with the latency networkDelay. It counts the bytes that they send.
type simulatedNetwork struct {
	cfg    PropagationConfig
	agents []*config.Agent
	bytes  atomic.Int64
}

// networkPeer connects one instance to the others over a simulatedNetwork. It implements config.Peers.
type networkPeer struct {
	network *simulatedNetwork
	others  []ident.Instance
}

// MeasurePropagation runs the config agents of several instances and measures how changes propagate between them. It
// uses the clock of package time, so that it can run in the virtual time of testing/synctest.
func MeasurePropagation(ctx context.Context, cfg PropagationConfig) (PropagationResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	network := &simulatedNetwork{cfg: cfg}
	store := &table.Memory{}
	names := make([]ident.Instance, cfg.Instances)
	for i := range names {
		names[i] = instanceName(i)
	}
	for i, name := range names {
		network.agents = append(network.agents, config.New(config.Config{
			Instance: name, Store: store, Peers: networkPeer{network: network, others: slices.Delete(slices.Clone(names), i, i+1)},
			Membership: func() config.Membership { return config.Membership{Listed: cfg.Instances, Reachable: cfg.Instances} },
		}))
	}
	var group errgroup.Group
	for _, a := range network.agents {
		group.Go(func() error { return a.Run(ctx) })
	}
	result, err := network.measure(ctx)
	cancel()
	_ = group.Wait()
	return result, err
}

// measure counts the cost of an idle period and then of the changes. The first change, which starts from an empty
// store, is not counted.
func (n *simulatedNetwork) measure(ctx context.Context) (PropagationResult, error) {
	var r PropagationResult
	if err := n.propagateChange(ctx, &r); err != nil {
		return r, err
	}
	r = PropagationResult{}
	time.Sleep(n.cfg.IdlePeriod)
	before := n.cost()
	time.Sleep(n.cfg.IdlePeriod)
	r.Idle = n.cost().minus(before).scaled(1 / n.cfg.IdlePeriod.Seconds())
	before, start := n.cost(), time.Now()
	for range n.cfg.Changes {
		if err := n.propagateChange(ctx, &r); err != nil {
			return r, err
		}
	}
	time.Sleep(n.cfg.IdlePeriod)
	idle := r.Idle.scaled(time.Since(start).Seconds())
	r.Change = n.cost().minus(before).minus(idle).scaled(1 / float64(n.cfg.Changes))
	slices.Sort(r.InForce)
	slices.Sort(r.Acknowledged)
	return r, nil
}

// propagateChange proposes a document and waits until its acceptance is reported and it is in force at all instances.
// It adds the times to r.
func (n *simulatedNetwork) propagateChange(ctx context.Context, r *PropagationResult) error {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	version := n.agents[0].Current().Version
	acceptor := n.agents[int(version)%len(n.agents)]
	start := time.Now()
	proposal := config.Proposal{
		Content: fmt.Appendf(nil, "Accounts: [{Name: north, Weight: %d}]", version+1),
		BasedOn: version, Author: "bench", Token: ident.WriteToken(fmt.Sprint(version)),
	}
	_, err := acceptor.Propose(ctx, proposal)
	for fault.Is(err, fault.OutcomeUnknown) && ctx.Err() == nil {
		_, err = acceptor.Propose(ctx, proposal)
	}
	r.Acknowledged = append(r.Acknowledged, time.Since(start))
	if err != nil {
		return err
	}
	for _, a := range n.agents {
		for a.Current().Version == version {
			if ctx.Err() != nil {
				return fault.Wrap(ctx.Err(), fault.Unavailable, "spread document", "")
			}
			time.Sleep(networkDelay)
		}
		r.InForce = append(r.InForce, a.Current().Since.Sub(start))
	}
	return nil
}

// cost returns the total work of all instances since the network was created.
func (n *simulatedNetwork) cost() PropagationCost {
	c := PropagationCost{Bytes: float64(n.bytes.Load())}
	for _, a := range n.agents {
		counts := a.Counts()
		c.TableReads += float64(counts.HeadReads + counts.RecordReads)
		c.Calls += float64(counts.ExchangesSent + counts.Fetches)
	}
	return c
}

// minus returns the difference of two costs.
func (c PropagationCost) minus(other PropagationCost) PropagationCost {
	return PropagationCost{TableReads: c.TableReads - other.TableReads, Calls: c.Calls - other.Calls, Bytes: c.Bytes - other.Bytes}
}

// scaled returns the cost times a factor.
func (c PropagationCost) scaled(factor float64) PropagationCost {
	return PropagationCost{TableReads: c.TableReads * factor, Calls: c.Calls * factor, Bytes: c.Bytes * factor}
}

// instanceName returns the name of the i-th instance, which networkPeer.agent parses.
func instanceName(i int) ident.Instance {
	return ident.Instance(fmt.Sprintf("instance-%03d", i))
}

// Neighbours returns the names of all other instances.
func (p networkPeer) Neighbours() []ident.Instance { return p.others }

// agent returns the config agent of the instance with a name.
func (p networkPeer) agent(name ident.Instance) *config.Agent {
	var i int
	_, _ = fmt.Sscanf(string(name), "instance-%d", &i)
	return p.network.agents[i]
}

// Exchange passes a report to the agent of a peer and returns the report with which it replies. Each message takes
// networkDelay and is counted.
func (p networkPeer) Exchange(_ context.Context, peer ident.Instance, report config.Report) (config.Report, error) {
	p.network.transmit(report)
	answer := p.agent(peer).Exchange(report)
	p.network.transmit(answer)
	return answer, nil
}

// Fetch returns the encoded record of a version from the agent of a peer. Request and reply take networkDelay each and
// are counted.
func (p networkPeer) Fetch(_ context.Context, peer ident.Instance, version ident.Version) ([]byte, error) {
	p.network.transmit(version)
	body, err := p.agent(peer).EncodedRecord(version)
	p.network.transmit(body)
	return body, err
}

// transmit counts the bytes of a message and sleeps for networkDelay.
func (n *simulatedNetwork) transmit(message any) {
	encoded, _ := cbor.Marshal(message)
	n.bytes.Add(int64(len(encoded)))
	time.Sleep(networkDelay)
}
