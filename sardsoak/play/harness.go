package play

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/platform/conf"
	"github.com/sardineline/sardineline/platform/front"
	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/policy"
	"github.com/sardineline/sardineline/sard/store"
)

// harness holds everything that takes part in a run: store, workers, instances, clients and the operator.
type harness struct {
	config       Config
	ctx          context.Context
	group        *errgroup.Group
	memory       store.Memory
	fleet        *fakes.Fleet
	faultTracker *faultTracker
	frontClient  *front.Client
	operator     *operator
	counters     counters
	// runningClients counts the clients whose jobs have not ended. overdue is set after finishTimeout and makes them
	// report their jobs.
	runningClients sync.WaitGroup
	overdue        atomic.Bool
	discardLogger  *log.Logger

	mu        sync.Mutex
	instances []*instance
	// startedInstances are all instances of the run, including replaced ones.
	startedInstances []*instance
	workers          []*worker
	// instanceCount and workerCount count all instances and workers of the run. They number new ones.
	instanceCount, workerCount int
	violations                 []string
}

// startHarness creates a harness and starts its workers and instances. On an error it also returns the harness, which
// holds what was started.
func startHarness(ctx context.Context, group *errgroup.Group, config Config, rng *rand.Rand) (*harness, error) {
	h := &harness{
		config: config, ctx: ctx, group: group, faultTracker: newFaultTracker(), frontClient: front.NewClient(),
		discardLogger: log.New(io.Discard, "", 0),
	}
	h.fleet = fakes.NewFleet(h.timingHolds)
	h.fleet.ShrinkGrace, h.fleet.LateStarts = shrinkGrace, maxWorkerLease
	h.operator = newOperator(h)
	if err := h.operator.publish(); err != nil {
		return h, err
	}
	for range config.Workers {
		if err := h.addWorker(rng); err != nil {
			return h, err
		}
	}
	for range config.Instances {
		if err := h.addInstance(rng); err != nil {
			return h, err
		}
	}
	return h, nil
}

// timingHolds reports whether invariants with a time limit are checked at all and have applied, undisturbed by faults,
// for at least the given time.
func (h *harness) timingHolds(duration time.Duration) bool {
	return h.config.CheckTiming && h.faultTracker.stableFor(duration)
}

// forkRand returns a new random number generator seeded from rng, for use in another goroutine.
func forkRand(rng *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
}

// addWorker adds a new worker.
func (h *harness) addWorker(rng *rand.Rand) error {
	h.mu.Lock()
	number := h.workerCount
	h.workerCount++
	h.mu.Unlock()
	w, err := h.newWorker(number, rng)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.workers = append(h.workers, w)
	return nil
}

// dropWorker removes a worker from the list of current workers.
func (h *harness) dropWorker(w *worker) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, other := range h.workers {
		if other == w {
			h.workers = append(h.workers[:i:i], h.workers[i+1:]...)
			return
		}
	}
}

// addInstance adds and starts a new instance.
func (h *harness) addInstance(rng *rand.Rand) error {
	h.mu.Lock()
	number := h.instanceCount
	h.instanceCount++
	h.mu.Unlock()
	i, err := h.newInstance(number, forkRand(rng))
	if err != nil {
		return err
	}
	// The instance is recorded before its process starts, so that killAll finds the process in any case.
	h.mu.Lock()
	h.startedInstances = append(h.startedInstances, i)
	h.mu.Unlock()
	if err := i.start(); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.instances = append(h.instances, i)
	return nil
}

// currentInstances returns the instances that have not been replaced.
func (h *harness) currentInstances() []*instance {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*instance(nil), h.instances...)
}

// allInstances returns all instances of the run, including replaced ones.
func (h *harness) allInstances() []*instance {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*instance(nil), h.startedInstances...)
}

// currentWorkers returns the workers that have not been replaced.
func (h *harness) currentWorkers() []*worker {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*worker(nil), h.workers...)
}

// leader returns the instance that last wrote the lease.
func (h *harness) leader() *instance {
	var leader *instance
	var lastWrite time.Time
	for _, i := range h.currentInstances() {
		if at := i.store.lastLeaseWrite(); leader == nil || at.After(lastWrite) {
			leader, lastWrite = i, at
		}
	}
	return leader
}

// instanceIP returns the loopback address of an instance. It depends on the process id, so that concurrent runs use
// different addresses.
func (h *harness) instanceIP(number int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(10 + pid%200), byte(pid / 200 % 250), byte(1 + number)})
}

// writeStore writes to the store without injected faults, as the platform does.
func (h *harness) writeStore(tx store.Tx) {
	if _, err := h.memory.Apply(h.ctx, tx); err != nil {
		h.reportViolation("write to the store failed: %v", err)
	}
}

// reportViolation records the violation of an invariant.
func (h *harness) reportViolation(format string, args ...any) {
	text := time.Now().Format("15:04:05.000 ") + fmt.Sprintf(format, args...)
	h.config.Logger.Error("invariant violated", "what", text)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, text)
}

// reportTimingViolation records the violation of an invariant with a time limit, if such invariants are checked.
func (h *harness) reportTimingViolation(format string, args ...any) {
	if h.config.CheckTiming {
		h.reportViolation(format, args...)
	}
}

// allViolations returns the violations that workers and the harness have recorded.
func (h *harness) allViolations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append(h.fleet.Violations(), h.violations...)
}

// publishPolicy writes a configuration to the store.
func (h *harness) publishPolicy(p *policy.Policy) error {
	value, err := conf.EncodePolicy(p)
	if err != nil {
		return err
	}
	h.writeStore(store.Tx{Put: []store.Put{{Key: conf.PolicyKey, Value: value}}})
	return nil
}

// accountName returns the name of account n.
func accountName(n int) ident.Account {
	return ident.Account(fmt.Sprintf("account-%d", n))
}
