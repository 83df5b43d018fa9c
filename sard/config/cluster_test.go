package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
)

// linkDelay is the one-way latency between instances.
const linkDelay = time.Millisecond

// mesh plays the links between instances and to the table. Instances are numbered; an instance that was restarted
// keeps its number and gets a new agent.
type mesh struct {
	t     *testing.T
	store *table.Memory

	mu   sync.Mutex
	rand *rand.Rand
	// loss is the share of calls that are lost.
	loss float64
	// side divides the instances; those of different sides don't reach each other.
	side []int
	// cut instances don't reach the table.
	cut   []bool
	nodes []*node
	names []ident.Instance
	// highest is the highest version that each instance was ever seen to run, over its restarts, while ready.
	highest []ident.Version
	seen    map[ident.Version]ident.Digest
	told    history
	// failure fails calls of the table, as table.Memory.Fail does.
	failure func(op string, after bool) error
	errs    []string
	group   errgroup.Group
}

// node is one run of an instance.
type node struct {
	mesh   *mesh
	index  int
	agent  *config.Agent
	cancel context.CancelFunc
	others []ident.Instance
	// last is the version that the run had last.
	last ident.Version
}

func newMesh(t *testing.T, n int, seed uint64) *mesh {
	m := &mesh{
		t: t, store: &table.Memory{}, rand: rand.New(rand.NewPCG(seed, seed)),
		side: make([]int, n), cut: make([]bool, n), nodes: make([]*node, n), highest: make([]ident.Version, n),
		seen: map[ident.Version]ident.Digest{},
	}
	for i := range n {
		m.names = append(m.names, name(i))
	}
	m.store.InjectError = m.storeFailure
	for i := range n {
		m.start(i)
	}
	return m
}

func (m *mesh) storeFailure(op string, after bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failure == nil {
		return nil
	}
	return m.failure(op, after)
}

// start runs a new agent at instance i.
func (m *mesh) start(i int) {
	ctx, cancel := context.WithCancel(m.t.Context())
	n := &node{mesh: m, index: i, cancel: cancel, others: slices.Delete(slices.Clone(m.names), i, i+1)}
	n.agent = config.New(config.Config{
		Instance: name(i), Store: reach{n}, Peers: n,
		Membership:  n.membership,
		OnViolation: func(promise, detail string) { m.fail("%s at %d: %s", promise, i, detail) },
	})
	n.agent.Subscribe(n.observe)
	m.mu.Lock()
	m.nodes[i] = n
	m.mu.Unlock()
	m.group.Go(func() error { return n.agent.Run(ctx) })
}

// set changes the links while the instances run.
func (m *mesh) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// divide cuts the instances from the first given on off from the others and from the table. The caller holds m.mu.
func (m *mesh) divide(first int) {
	for i := first; i < len(m.side); i++ {
		m.side[i], m.cut[i] = 1, true
	}
}

// cutAll cuts all instances off from the table.
func (m *mesh) cutAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.cut {
		m.cut[i] = true
	}
}

// all returns the instances' present runs.
func (m *mesh) all() []*node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.nodes)
}

// restart replaces the agent of instance i by one that knows nothing.
func (m *mesh) restart(i int) {
	m.mu.Lock()
	old := m.nodes[i]
	m.mu.Unlock()
	old.cancel()
	m.start(i)
}

// stored returns the last version that the table holds.
func (m *mesh) stored() ident.Version {
	items, err := m.store.List(m.t.Context(), table.BackgroundPriority, "config", "version/")
	assert.NilError(m.t, err)
	return ident.Version(len(items))
}

func (m *mesh) stop() {
	for _, n := range m.all() {
		n.cancel()
	}
	_ = m.group.Wait()
	synctest.Wait()
}

func name(i int) ident.Instance { return ident.Instance(fmt.Sprint(i)) }

func (m *mesh) fail(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.errs = append(m.errs, fmt.Sprintf(format, args...))
}

// observe checks, apart from the agent, that versions rise and that a version has one content.
func (n *node) observe(a config.ActiveDocument) {
	if a.Version <= n.last {
		n.mesh.fail("instance %d went from version %d to %d", n.index, n.last, a.Version)
	}
	n.last = a.Version
	n.mesh.mu.Lock()
	digest, ok := n.mesh.seen[a.Version]
	n.mesh.seen[a.Version] = a.Digest
	n.mesh.mu.Unlock()
	if ok && digest != a.Digest {
		n.mesh.fail("version %d has two contents", a.Version)
	}
}

// checkReady checks, apart from the agent, that no instance takes work under a version lower than it had before,
// restarts included.
func (m *mesh) checkReady() {
	for i, n := range m.all() {
		if n.agent.Ready() != nil {
			continue
		}
		v := n.agent.Current().Version
		if v < m.highest[i] {
			m.fail("instance %d is ready under version %d after %d", i, v, m.highest[i])
		}
		m.highest[i] = v
	}
}

// membership counts what a membership service would: the instances on the same side.
func (n *node) membership() config.Membership {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	count := config.Membership{Listed: len(n.mesh.side)}
	for _, side := range n.mesh.side {
		if side == n.mesh.side[n.index] {
			count.Reachable++
		}
	}
	return count
}

// Neighbours lists all other instances.
func (n *node) Neighbours() []ident.Instance { return n.others }

func (n *node) Exchange(ctx context.Context, peer ident.Instance, mine config.Report) (config.Report, error) {
	to, err := n.travel(ctx, peer)
	if err != nil {
		return config.Report{}, err
	}
	theirs := to.agent.Exchange(mine)
	if _, err := to.travel(ctx, name(n.index)); err != nil {
		return config.Report{}, err
	}
	return theirs, nil
}

func (n *node) Fetch(ctx context.Context, peer ident.Instance, version ident.Version) ([]byte, error) {
	to, err := n.travel(ctx, peer)
	if err != nil {
		return nil, err
	}
	body, err := to.agent.EncodedRecord(version)
	if err != nil {
		return nil, err
	}
	_, err = to.travel(ctx, name(n.index))
	return body, err
}

// travel plays one way of a call. A lost one ends with the call's context.
func (n *node) travel(ctx context.Context, peer ident.Instance) (*node, error) {
	var to int
	_, _ = fmt.Sscan(string(peer), &to)
	m := n.mesh
	m.mu.Lock()
	lost := m.side[n.index] != m.side[to] || m.rand.Float64() < m.loss
	delay := linkDelay + time.Duration(m.rand.Int64N(int64(4*linkDelay)))
	target := m.nodes[to]
	m.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "call", string(peer))
	}
	time.Sleep(delay)
	return target, nil
}

// reach is the way of one instance to the table.
type reach struct{ n *node }

func (r reach) pass(ctx context.Context) error {
	r.n.mesh.mu.Lock()
	cut := r.n.mesh.cut[r.n.index]
	r.n.mesh.mu.Unlock()
	if cut {
		<-ctx.Done()
		return fault.Wrap(ctx.Err(), fault.Unavailable, "call", "table")
	}
	time.Sleep(linkDelay)
	return nil
}

func (r reach) Get(ctx context.Context, p table.Priority, key table.Key) (table.Item, error) {
	if err := r.pass(ctx); err != nil {
		return table.Item{}, err
	}
	return r.n.mesh.store.Get(ctx, p, key)
}

func (r reach) GetStale(ctx context.Context, p table.Priority, key table.Key) (table.Item, error) {
	return r.Get(ctx, p, key)
}

func (r reach) List(ctx context.Context, p table.Priority, partition, prefix string) ([]table.Item, error) {
	if err := r.pass(ctx); err != nil {
		return nil, err
	}
	return r.n.mesh.store.List(ctx, p, partition, prefix)
}

func (r reach) Apply(ctx context.Context, p table.Priority, batch ...table.Write) error {
	if err := r.pass(ctx); err != nil {
		return err
	}
	return r.n.mesh.store.Apply(ctx, p, batch...)
}

// propose has instance i accept a next version.
func (m *mesh) propose(i int, weight int) (config.ProposalResult, error) {
	ctx, cancel := context.WithTimeout(m.t.Context(), 9*time.Second)
	defer cancel()
	a := m.all()[i].agent
	return a.Propose(ctx, proposal(weight, a.Current().Version, ident.WriteToken(fmt.Sprintf("%d-%d", i, time.Now().UnixNano()))))
}

// settled tells how many instances run a version and are ready.
func (m *mesh) settled(v ident.Version) int {
	count := 0
	for _, n := range m.all() {
		if n.agent.Current().Version == v && n.agent.Ready() == nil {
			count++
		}
	}
	return count
}
