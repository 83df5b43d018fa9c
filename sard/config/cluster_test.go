package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/table"
)

// linkDelay is the minimum one-way latency between instances, and the latency to the table.
const linkDelay = time.Millisecond

// cluster runs agents and simulates the links between them and to the table. Instances are numbered; a restarted
// instance keeps its number and gets a new agent.
type cluster struct {
	t     *testing.T
	store *table.Memory

	// mu guards the simulated faults, nodes, digests, lastAccepted and failures.
	mu   sync.Mutex
	rand *rand.Rand
	// lossRate is the fraction of messages between instances that are lost.
	lossRate float64
	// partitions holds the network partition of each instance. Messages between partitions are lost.
	partitions []int
	// tableCut marks the instances that are disconnected from the table, and slow those to which records arrive bit by bit for
	// recordTime.
	tableCut  []bool
	slow      []bool
	nodes     []*node
	instances []ident.Instance
	// highestReady is the highest version with which each instance was seen ready, including before restarts.
	highestReady []ident.Version
	// digests holds the digest of each version that was installed.
	digests      map[ident.Version]ident.Digest
	lastAccepted acceptance
	// injectError fails calls to the table, like table.Memory.InjectError; nil for none.
	injectError func(op string, after bool) error
	// failures describes the failed checks.
	failures []string
	group    errgroup.Group
}

// node is one run of an instance, from its start to the next restart. It implements config.Peers.
type node struct {
	cluster *cluster
	index   int
	agent   *config.Agent
	cancel  context.CancelFunc
	peers   []ident.Instance
	// lastVersion is the last version that this run installed.
	lastVersion ident.Version
}

// newCluster starts n instances. The seed is that of the random lost messages and delays.
func newCluster(t *testing.T, n int, seed uint64) *cluster {
	c := &cluster{
		t: t, store: &table.Memory{}, rand: rand.New(rand.NewPCG(seed, seed)),
		partitions: make([]int, n), tableCut: make([]bool, n), slow: make([]bool, n), nodes: make([]*node, n), highestReady: make([]ident.Version, n),
		digests: map[ident.Version]ident.Digest{},
	}
	for i := range n {
		c.instances = append(c.instances, instanceName(i))
	}
	c.store.InjectError = c.injectStoreError
	for i := range n {
		c.start(i)
	}
	return c
}

// injectStoreError calls injectError, if it is set, for a call to the table.
func (c *cluster) injectStoreError(op string, after bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.injectError == nil {
		return nil
	}
	return c.injectError(op, after)
}

// start runs a new agent as instance i.
func (c *cluster) start(i int) {
	ctx, cancel := context.WithCancel(c.t.Context())
	n := &node{cluster: c, index: i, cancel: cancel, peers: slices.Delete(slices.Clone(c.instances), i, i+1)}
	n.agent = config.New(config.Config{
		Instance: instanceName(i), Store: tableLink{n}, Peers: n,
		Membership:  n.membership,
		OnViolation: func(invariant, detail string) { c.failf("%s violated at instance %d: %s", invariant, i, detail) },
	})
	n.agent.Subscribe(n.observe)
	c.mu.Lock()
	c.nodes[i] = n
	c.mu.Unlock()
	c.group.Go(func() error { return n.agent.Run(ctx) })
}

// update calls f, which changes the simulated faults, while holding c.mu.
func (c *cluster) update(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// isolateFrom separates the instances numbered first and higher from the others and from the table. The caller holds
// c.mu.
func (c *cluster) isolateFrom(first int) {
	for i := first; i < len(c.partitions); i++ {
		c.partitions[i], c.tableCut[i] = 1, true
	}
}

// cutAllFromTable disconnects all instances from the table.
func (c *cluster) cutAllFromTable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.tableCut {
		c.tableCut[i] = true
	}
}

// currentNodes returns the current run of each instance.
func (c *cluster) currentNodes() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.nodes)
}

// restart replaces the agent of instance i by a new one without state.
func (c *cluster) restart(i int) {
	c.mu.Lock()
	old := c.nodes[i]
	c.mu.Unlock()
	old.cancel()
	c.start(i)
}

// storedVersion returns the latest version in the table.
func (c *cluster) storedVersion() ident.Version {
	items, err := c.store.List(c.t.Context(), table.BackgroundPriority, "config", "version/")
	assert.NilError(c.t, err)
	return ident.Version(len(items))
}

// stop stops all agents and waits for them.
func (c *cluster) stop() {
	for _, n := range c.currentNodes() {
		n.cancel()
	}
	_ = c.group.Wait()
	synctest.Wait()
}

// instanceName returns the name of instance i.
func instanceName(i int) ident.Instance { return ident.Instance(fmt.Sprint(i)) }

// failf records a failed check.
func (c *cluster) failf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

// observe checks, independently of the agent, that versions increase and that each version has only one content.
func (n *node) observe(a config.ActiveDocument) {
	if a.Version <= n.lastVersion {
		n.cluster.failf("instance %d replaced version %d by version %d", n.index, n.lastVersion, a.Version)
	}
	n.lastVersion = a.Version
	n.cluster.mu.Lock()
	digest, ok := n.cluster.digests[a.Version]
	n.cluster.digests[a.Version] = a.Digest
	n.cluster.mu.Unlock()
	if ok && digest != a.Digest {
		n.cluster.failf("version %d has two different digests", a.Version)
	}
}

// checkReady checks, independently of the agent, that no instance is ready with a lower version than it was ready with
// before, even across restarts.
func (c *cluster) checkReady() {
	for i, n := range c.currentNodes() {
		if n.agent.Ready() != nil {
			continue
		}
		v := n.agent.Current().Version
		if v < c.highestReady[i] {
			c.failf("instance %d is ready with version %d after version %d", i, v, c.highestReady[i])
		}
		c.highestReady[i] = v
	}
}

// membership returns what a membership service would report: the instances in the same partition are reachable.
func (n *node) membership() config.Membership {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	count := config.Membership{Listed: len(n.cluster.partitions)}
	for _, side := range n.cluster.partitions {
		if side == n.cluster.partitions[n.index] {
			count.Reachable++
		}
	}
	return count
}

// Neighbours returns all other instances.
func (n *node) Neighbours() []ident.Instance { return n.peers }

// Exchange calls the agent of a peer over the simulated link.
func (n *node) Exchange(ctx context.Context, peer ident.Instance, report config.Report) (config.Report, error) {
	to, err := n.transmit(ctx, peer)
	if err != nil {
		return config.Report{}, err
	}
	reply := to.agent.Exchange(report)
	if _, err := to.transmit(ctx, instanceName(n.index)); err != nil {
		return config.Report{}, err
	}
	return reply, nil
}

// Fetch calls the agent of a peer over the simulated link.
func (n *node) Fetch(ctx context.Context, peer ident.Instance, version ident.Version) ([]byte, error) {
	to, err := n.transmit(ctx, peer)
	if err != nil {
		return nil, err
	}
	body, err := to.agent.EncodedRecord(version)
	if err != nil {
		return nil, err
	}
	if _, err = to.transmit(ctx, instanceName(n.index)); err != nil {
		return nil, err
	}
	return body, n.receive(ctx)
}

// recordTime is the time in which a record arrives over a slow link.
const recordTime = 1500 * time.Millisecond

// receive waits while a record arrives.
func (n *node) receive(ctx context.Context) error {
	const parts = 10
	n.cluster.mu.Lock()
	slow := n.cluster.slow[n.index]
	n.cluster.mu.Unlock()
	for range parts {
		if slow && !clock.Sleep(ctx, recordTime/parts) {
			return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "receive", "record")
		}
		store.Arrived(ctx)
	}
	return nil
}

// transmit simulates sending one message to a peer, and returns the peer. If the message is lost, it fails when ctx is
// done.
func (n *node) transmit(ctx context.Context, peer ident.Instance) (*node, error) {
	var index int
	_, _ = fmt.Sscan(string(peer), &index)
	c := n.cluster
	c.mu.Lock()
	lost := c.partitions[n.index] != c.partitions[index] || c.rand.Float64() < c.lossRate
	delay := linkDelay + time.Duration(c.rand.Int64N(int64(4*linkDelay)))
	target := c.nodes[index]
	c.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "call", string(peer))
	}
	time.Sleep(delay)
	return target, nil
}

// tableLink is a table.Store that simulates the link of one instance to the table.
type tableLink struct{ n *node }

// transmit simulates the latency of a call to the table. If the instance is disconnected, it fails when ctx is done.
func (l tableLink) transmit(ctx context.Context) error {
	l.n.cluster.mu.Lock()
	cut := l.n.cluster.tableCut[l.n.index]
	l.n.cluster.mu.Unlock()
	if cut {
		<-ctx.Done()
		return fault.Wrap(ctx.Err(), fault.Unavailable, "call", "table")
	}
	time.Sleep(linkDelay)
	return nil
}

// Get reads an item over the simulated link.
func (l tableLink) Get(ctx context.Context, p table.Priority, key table.Key) (table.Item, error) {
	if err := l.transmit(ctx); err != nil {
		return table.Item{}, err
	}
	if strings.HasPrefix(key.Sort, "version/") {
		if err := l.n.receive(ctx); err != nil {
			return table.Item{}, err
		}
	}
	return l.n.cluster.store.Get(ctx, p, key)
}

// GetStale reads an item over the simulated link; the data is never stale.
func (l tableLink) GetStale(ctx context.Context, p table.Priority, key table.Key) (table.Item, error) {
	return l.Get(ctx, p, key)
}

// List reads items over the simulated link.
func (l tableLink) List(ctx context.Context, p table.Priority, partition, prefix string) ([]table.Item, error) {
	if err := l.transmit(ctx); err != nil {
		return nil, err
	}
	return l.n.cluster.store.List(ctx, p, partition, prefix)
}

// Apply applies a batch of writes over the simulated link.
func (l tableLink) Apply(ctx context.Context, p table.Priority, batch ...table.Write) error {
	if err := l.transmit(ctx); err != nil {
		return err
	}
	return l.n.cluster.store.Apply(ctx, p, batch...)
}

// propose proposes a document with the given weight at instance i, based on its version in force.
func (c *cluster) propose(i int, weight int) (config.ProposalResult, error) {
	ctx, cancel := context.WithTimeout(c.t.Context(), 9*time.Second)
	defer cancel()
	a := c.currentNodes()[i].agent
	return a.Propose(ctx, proposal(weight, a.Current().Version, ident.WriteToken(fmt.Sprintf("%d-%d", i, time.Now().UnixNano()))))
}

// readyCount returns the number of instances that are ready with version v.
func (c *cluster) readyCount(v ident.Version) int {
	count := 0
	for _, n := range c.currentNodes() {
		if n.agent.Current().Version == v && n.agent.Ready() == nil {
			count++
		}
	}
	return count
}
