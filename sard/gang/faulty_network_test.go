package gang_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
	"github.com/sardineline/sardineline/sard/worker"
)

// faultyNetwork connects one instance to the table and the workers and injects faults into its calls.
type faultyNetwork struct {
	cluster *testCluster
	// store is the table without faults.
	store *countingStore

	mu           sync.Mutex
	rng          *rand.Rand
	randomFaults bool
	tableDown    bool
	resumed      chan struct{}
	// disconnected are the workers that the instance can't reach.
	disconnected map[ident.Worker]bool
	// callCount counts the calls; the call with the number faultyCall has the plannedFault, none if it is 0.
	callCount, faultyCall int
	plannedFault          callFault
	// killInstance stops the instance's goroutines. Once crashed is set, no further calls are sent.
	killInstance func()
	crashed      bool
	// delays holds the delay of the next poll of a worker, or of the next table write for the empty name. It may exceed
	// the call's timeout.
	delays map[ident.Worker]time.Duration
}

// newFaultyNetwork returns a network without faults. The seed determines the random faults.
func newFaultyNetwork(cluster *testCluster, store *countingStore, seed uint64) *faultyNetwork {
	resumed := make(chan struct{})
	close(resumed)
	return &faultyNetwork{cluster: cluster, store: store, rng: rand.New(rand.NewPCG(seed, seed)), resumed: resumed, disconnected: map[ident.Worker]bool{}, delays: map[ident.Worker]time.Duration{}}
}

// pause blocks all calls immediately before they are sent, for the given duration.
func (n *faultyNetwork) pause(d time.Duration) {
	resumed := make(chan struct{})
	n.mu.Lock()
	n.resumed = resumed
	n.mu.Unlock()
	time.AfterFunc(d, func() { close(resumed) })
}

// setFaults sets whether random faults occur and whether the table is unreachable.
func (n *faultyNetwork) setFaults(randomFaults, tableDown bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.randomFaults, n.tableDown = randomFaults, tableDown
}

// setDisconnected disconnects the instance from a worker or reconnects it.
func (n *faultyNetwork) setDisconnected(w ident.Worker, disconnected bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected[w] = disconnected
}

// isDisconnected reports whether the instance can't reach a worker.
func (n *faultyNetwork) isDisconnected(w ident.Worker) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.disconnected[w]
}

// delayNext delays the next poll of a worker, or the next table write for the empty name.
func (n *faultyNetwork) delayNext(w ident.Worker, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[w] = d
}

// takeDelay returns and removes the delay set by delayNext.
func (n *faultyNetwork) takeDelay(w ident.Worker) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d, ok := n.delays[w]
	delete(n.delays, w)
	return d, ok
}

// crash crashes the instance. Calls already sent still arrive.
func (n *faultyNetwork) crash() {
	n.mu.Lock()
	n.crashed = true
	n.mu.Unlock()
	n.killInstance()
}

// isCrashed reports whether the instance has crashed.
func (n *faultyNetwork) isCrashed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.crashed
}

// callFault is the fault injected into one call.
type callFault int

const (
	noFault callFault = iota
	requestLost
	responseLost
	requestRepeated
	requestDelayed
	crashBefore
	crashAfter
)

const (
	// maxDelay bounds the delay of a late call, which exceeds the caller's timeout.
	maxDelay = 12 * time.Second
	// callTimeout is the time after which the sender of a simulated call gives up.
	callTimeout = 2 * time.Second
)

// nextFault waits until the instance isn't paused and returns the call's fault, its delay and whether the table is down.
func (n *faultyNetwork) nextFault() (callFault, time.Duration, bool) {
	n.mu.Lock()
	resume := n.resumed
	n.mu.Unlock()
	<-resume
	n.mu.Lock()
	defer n.mu.Unlock()
	n.callCount++
	if n.callCount == n.faultyCall {
		return n.plannedFault, maxDelay / 2, false
	}
	if !n.randomFaults || n.rng.IntN(8) != 0 {
		return noFault, time.Millisecond, n.tableDown
	}
	return callFault(n.rng.IntN(int(requestDelayed) + 1)), time.Duration(n.rng.Int64N(int64(maxDelay))), n.tableDown
}

// sendWithFault calls a worker with the next fault. A delayed call still arrives after the caller has timed out.
func sendWithFault[Reply any](ctx context.Context, client networkClient, step string, wait time.Duration, call func(ctx context.Context) (Reply, error)) (Reply, error) {
	var noReply Reply
	injected, delay, _ := client.nextFault()
	if client.isDisconnected(client.worker.name) || client.isCrashed() {
		return noReply, fault.New(fault.Unavailable, step, "worker", "disconnected")
	}
	if wait > 0 {
		if d, ok := client.takeDelay(client.worker.name); ok {
			injected, delay = requestDelayed, d
		}
	}
	unknownOutcome := fault.New(fault.OutcomeUnknown, step, "worker", "response lost")
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	switch injected {
	case requestLost:
		<-ctx.Done()
		return noReply, unknownOutcome
	case responseLost:
		_, _ = call(ctx)
		<-ctx.Done()
		return noReply, unknownOutcome
	case crashBefore:
		client.crash()
		return noReply, unknownOutcome
	case crashAfter:
		_, _ = call(ctx)
		client.crash()
		return noReply, unknownOutcome
	case requestRepeated:
		client.cluster.group.Go(func() error {
			time.Sleep(delay)
			_, _ = call(context.Background())
			return nil
		})
	case requestDelayed:
		returned := make(chan struct{})
		var reply Reply
		var err error
		client.cluster.group.Go(func() error {
			time.Sleep(delay)
			reply, err = call(context.Background())
			close(returned)
			return nil
		})
		select {
		case <-returned:
			return reply, err
		case <-ctx.Done():
			return noReply, unknownOutcome
		}
	}
	reply, err := call(ctx)
	if client.isDisconnected(client.worker.name) || client.isCrashed() {
		return noReply, unknownOutcome
	}
	return reply, err
}

// networkClient is the client of a worker over a faultyNetwork.
type networkClient struct {
	*faultyNetwork
	worker *fakeWorker
}

// Fence calls the worker with the next fault.
func (c networkClient) Fence(ctx context.Context, req worker.FenceRequest) (worker.Report, error) {
	return sendWithFault(ctx, c, "fence", 0, func(ctx context.Context) (worker.Report, error) { return c.worker.Fence(ctx, req) })
}

// Reserve calls the worker with the next fault.
func (c networkClient) Reserve(ctx context.Context, req worker.ReserveRequest) (worker.Report, error) {
	return sendWithFault(ctx, c, "reserve", 0, func(ctx context.Context) (worker.Report, error) { return c.worker.Reserve(ctx, req) })
}

// Start calls the worker with the next fault.
func (c networkClient) Start(ctx context.Context, req worker.StartRequest) (worker.Report, error) {
	return sendWithFault(ctx, c, "start", 0, func(ctx context.Context) (worker.Report, error) { return c.worker.Start(ctx, req) })
}

// Renew calls the worker with the next fault. The timeout includes the time for which the worker may wait.
func (c networkClient) Renew(ctx context.Context, req worker.RenewRequest) (worker.Report, error) {
	return sendWithFault(ctx, c, "renew", req.Wait.Std(), func(ctx context.Context) (worker.Report, error) { return c.worker.Renew(ctx, req) })
}

// Checkpoint calls the worker with the next fault.
func (c networkClient) Checkpoint(ctx context.Context, req worker.CheckpointRequest) (worker.CheckpointReply, error) {
	return sendWithFault(ctx, c, "checkpoint", 0, func(ctx context.Context) (worker.CheckpointReply, error) { return c.worker.Checkpoint(ctx, req) })
}

// Throttle calls the worker without a fault.
func (c networkClient) Throttle(ctx context.Context, req worker.ThrottleRequest) (worker.Report, error) {
	return c.worker.Throttle(ctx, req)
}

// Stop calls the worker with the next fault.
func (c networkClient) Stop(ctx context.Context, req worker.StopRequest) (worker.Report, error) {
	return sendWithFault(ctx, c, "stop", 0, func(ctx context.Context) (worker.Report, error) { return c.worker.Stop(ctx, req) })
}

// countingStore is an in-memory table that counts the writes to it.
type countingStore struct {
	table.Memory
	mu sync.Mutex
	// terminalWrites counts how many times each job was written in a terminal state.
	terminalWrites map[string]int
	// transactions counts all batches and leaseWrites those that write a lease.
	itemsWritten, transactions, leaseWrites int
}

// Apply applies a batch and counts it. Items count only if the batch succeeds.
func (c *countingStore) Apply(ctx context.Context, p table.Priority, batch ...table.Write) error {
	err := c.Memory.Apply(ctx, p, batch...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transactions++
	if key, _ := table.KeyAndCondition(batch[len(batch)-1]); key.Partition == "lease" {
		c.leaseWrites++
	}
	for _, w := range batch {
		put, ok := w.(table.Put)
		var body struct{ State ident.JobState }
		if err != nil || !ok {
			continue
		}
		c.itemsWritten++
		if strings.HasPrefix(put.Key.Partition, "jobs/") && json.Unmarshal(put.Body, &body) == nil && body.State.Terminal() {
			c.terminalWrites[put.Key.Sort]++
		}
	}
	return err
}

// networkStore is the table over a faultyNetwork.
type networkStore struct{ *faultyNetwork }

// checkRead returns the error of the next read, if it has a fault.
func (s networkStore) checkRead(step string) error {
	injected, _, down := s.nextFault()
	if injected >= crashBefore {
		s.crash()
	}
	if down || s.isCrashed() || injected == requestLost || injected == responseLost {
		return fault.New(fault.Unavailable, step, "table", "unavailable")
	}
	return nil
}

// Get reads an item with the next fault.
func (s networkStore) Get(ctx context.Context, p table.Priority, key table.Key) (table.Item, error) {
	if err := s.checkRead("get"); err != nil {
		return table.Item{}, err
	}
	return s.store.Get(ctx, p, key)
}

// GetStale reads an item with the next fault; the data is never stale.
func (s networkStore) GetStale(ctx context.Context, p table.Priority, key table.Key) (table.Item, error) {
	return s.Get(ctx, p, key)
}

// List lists items with the next fault.
func (s networkStore) List(ctx context.Context, p table.Priority, partition, prefix string) ([]table.Item, error) {
	if err := s.checkRead("list"); err != nil {
		return nil, err
	}
	return s.store.List(ctx, p, partition, prefix)
}

// Apply applies a batch with the next fault. A delayed batch still arrives after the caller has timed out.
func (s networkStore) Apply(ctx context.Context, p table.Priority, batch ...table.Write) error {
	injected, delay, down := s.nextFault()
	if key, _ := table.KeyAndCondition(batch[len(batch)-1]); key.Partition != "lease" {
		if d, ok := s.takeDelay(""); ok {
			injected, delay = requestDelayed, d
		}
	}
	switch {
	case down || s.isCrashed():
		return fault.New(fault.Unavailable, "apply", "table", "unavailable")
	case injected == requestLost:
		return fault.New(fault.OutcomeUnknown, "apply", "table", "request lost")
	case injected == crashBefore:
		s.crash()
		return fault.New(fault.OutcomeUnknown, "apply", "table", "instance crashed before the call")
	case injected == crashAfter:
		_ = s.store.Apply(ctx, p, batch...)
		s.crash()
		return fault.New(fault.OutcomeUnknown, "apply", "table", "instance crashed after the call")
	case injected == responseLost:
		_ = s.store.Apply(ctx, p, batch...)
		return fault.New(fault.OutcomeUnknown, "apply", "table", "response lost")
	case injected == requestDelayed:
		s.cluster.group.Go(func() error {
			time.Sleep(delay)
			return ignoreError(s.store.Apply(context.Background(), p, batch...))
		})
		time.Sleep(min(delay, callTimeout))
		return fault.New(fault.OutcomeUnknown, "apply", "table", "request delayed")
	}
	return s.store.Apply(ctx, p, batch...)
}

// ignoreError discards an expected error.
func ignoreError(error) error { return nil }
