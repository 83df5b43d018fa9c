package play

import (
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sardsoak/proxy"
)

// Strengths of the slowdown faults.
const (
	// slowWorkerFactor multiplies the run times on slow workers.
	slowWorkerFactor = 5
	// slowStoreDelay is added to each store call of an instance that is stopped while its store is slow.
	slowStoreDelay = 500 * time.Millisecond
)

// faultKind is a kind of fault that is injected at random times.
type faultKind struct {
	name string
	// weight is its probability relative to the other kinds.
	weight int
	// harmless faults do not suspend the invariants with a time limit.
	harmless bool
	// inject injects the fault for a time and returns when it is over.
	inject func(h *harness, rng *rand.Rand, duration time.Duration) error
}

// faultKinds are all kinds of fault.
var faultKinds = []faultKind{
	{"kill", 4, false, func(h *harness, rng *rand.Rand, duration time.Duration) error {
		return h.randomInstance(rng).killAndRestart(duration)
	}},
	{"kill the leader", 4, false, func(h *harness, _ *rand.Rand, duration time.Duration) error {
		return h.leader().killAndRestart(duration)
	}},
	{"kill all", 1, false, func(h *harness, _ *rand.Rand, duration time.Duration) error {
		return h.forEachInstance(func(i *instance) error { return i.killAndRestart(duration / 4) })
	}},
	{"replace", 2, false, replaceInstance},
	{"stop", 3, true, func(h *harness, rng *rand.Rand, _ time.Duration) error { return h.randomInstance(rng).stopAndRestart() }},
	{"stop while the store is slow", 2, false, stopWhileStoreIsSlow},
	{"stop the leader", 2, false, func(h *harness, _ *rand.Rand, _ time.Duration) error { return h.leader().stopAndRestart() }},
	{"stop in turn", 1, false, stopInstancesInTurn},
	{"pause", 3, false, func(h *harness, rng *rand.Rand, duration time.Duration) error {
		h.randomInstance(rng).suspend(duration)
		return nil
	}},
	{"pause the leader", 3, false, func(h *harness, _ *rand.Rand, duration time.Duration) error { h.leader().suspend(duration); return nil }},
	{"pause all", 1, false, func(h *harness, _ *rand.Rand, duration time.Duration) error {
		return h.forEachInstance(func(i *instance) error { i.suspend(duration); return nil })
	}},
	{"hangup", 2, true, func(h *harness, rng *rand.Rand, _ time.Duration) error {
		return h.randomInstance(rng).switchStoreLink(true)
	}},
	{"output not read", 2, true, func(h *harness, rng *rand.Rand, duration time.Duration) error {
		h.randomInstance(rng).currentProcess().BlockOutput(2 * duration)
		return nil
	}},
	{"settings change", 1, true, func(h *harness, rng *rand.Rand, _ time.Duration) error {
		return h.randomInstance(rng).switchStoreLink(false)
	}},

	{"store link silent", 3, false, storeLinkFault(proxy.Faults{HoldUpstream: true, HoldDownstream: true})},
	{"store link silent one way", 2, false, storeLinkFault(proxy.Faults{HoldDownstream: true})},
	{"store link refuses", 2, false, storeLinkFault(proxy.Faults{Refuse: true})},
	{"store link slow", 2, false, storeLinkFault(proxy.Faults{Delay: 150 * time.Millisecond})},
	{"store connections reset", 2, false, storeConnectionFault((*proxy.Link).ResetConns)},
	{"store connections mute", 2, false, storeConnectionFault((*proxy.Link).BlackholeConns)},
	{"leader's store link silent", 3, false, func(h *harness, _ *rand.Rand, duration time.Duration) error {
		return h.leader().injectLinkFaults(proxy.Faults{HoldUpstream: true, HoldDownstream: true}, duration)
	}},

	{"store busy", 2, false, storeFault(storeFaults{Busy: true})},
	{"store throttles", 2, false, storeFault(storeFaults{Throttled: 0.5})},
	{"store loses answers", 3, false, storeFault(storeFaults{Lost: 0.3})},
	{"store writes late", 3, false, storeFault(storeFaults{Late: 0.3})},
	{"store slow", 2, false, storeFault(storeFaults{Slow: 200 * time.Millisecond})},
	{"store turns some away", 3, false, rejectSomeInstances},
	{"store forgets history", 2, true, func(h *harness, _ *rand.Rand, _ time.Duration) error { h.memory.Compact(); return nil }},
	{"unreadable entries", 1, true, writeUnreadableEntries},

	{"worker links silent", 3, false, workerLinkFault(proxy.Faults{HoldUpstream: true, HoldDownstream: true})},
	{"worker links silent one way", 3, false, workerLinkFault(proxy.Faults{HoldDownstream: true})},
	{"worker links slow", 1, false, workerLinkFault(proxy.Faults{Delay: 100 * time.Millisecond})},
	{"worker connections reset", 2, false, workerConnectionFault((*proxy.Link).ResetConns)},
	{"worker connections mute", 2, false, workerConnectionFault((*proxy.Link).BlackholeConns)},

	{"workers start again", 2, false, restartWorkers},
	{"workers lost", 2, false, loseWorker},
	{"workers leave", 2, true, drainWorker},
	{"workers fail all", 2, false, workerFault(func(fake *fakes.Worker, on bool) { fake.Failing = on })},
	{"workers stall", 2, false, workerFault(func(fake *fakes.Worker, on bool) { fake.Stalled = on })},
	{"workers slow", 2, false, workerFault(func(fake *fakes.Worker, on bool) {
		fake.Slowdown = 0
		if on {
			fake.Slowdown = slowWorkerFactor
		}
	})},
	{"workers silent", 1, false, silenceWorkers},
	{"workers shrink and grow", 3, true, shrinkWorkers},

	{"data centre evacuated", 3, true, evacuateDataCentre},

	{"burst", 2, true, submitBurst},

	{"crowd", 4, false, playCrowd},
	{"crowds at once", 2, false, playCrowds},
	{"stop beside a crowd", 2, false, stopBesideCrowd},
}

// randomInstance returns a random current instance.
func (h *harness) randomInstance(rng *rand.Rand) *instance {
	all := h.currentInstances()
	return all[rng.IntN(len(all))]
}

// forEachInstance calls visit for all current instances concurrently.
func (h *harness) forEachInstance(visit func(*instance) error) error {
	var group errgroup.Group
	for _, i := range h.currentInstances() {
		group.Go(func() error { return visit(i) })
	}
	return group.Wait()
}

// replaceInstance kills an instance permanently and adds a new one.
func replaceInstance(h *harness, rng *rand.Rand, duration time.Duration) error {
	old := h.randomInstance(rng)
	h.mu.Lock()
	for n, i := range h.instances {
		if i == old && len(h.instances) > 1 {
			h.instances = append(h.instances[:n:n], h.instances[n+1:]...)
			break
		}
	}
	h.mu.Unlock()
	old.killPermanently()
	clock.Sleep(h.ctx, duration)
	return h.addInstance(rng)
}

// stopWhileStoreIsSlow stops an instance gracefully while its store calls are slow, so that some calls are in flight.
func stopWhileStoreIsSlow(h *harness, rng *rand.Rand, _ time.Duration) error {
	i := h.randomInstance(rng)
	i.store.setFaults(storeFaults{Slow: slowStoreDelay})
	clock.Sleep(h.ctx, slowStoreDelay)
	err := i.stopAndRestart()
	i.store.setFaults(storeFaults{})
	return err
}

// stopInstancesInTurn starts a graceful stop of each instance, half the duration after the one before.
func stopInstancesInTurn(h *harness, _ *rand.Rand, duration time.Duration) error {
	var group errgroup.Group
	for _, i := range h.currentInstances() {
		group.Go(i.stopAndRestart)
		clock.Sleep(h.ctx, duration/2)
	}
	return group.Wait()
}

// injectLinkFaults injects faults into the instance's links to the store for a time.
func (i *instance) injectLinkFaults(faults proxy.Faults, duration time.Duration) error {
	i.setLinkFaults(faults)
	clock.Sleep(i.harness.ctx, duration)
	i.setLinkFaults(proxy.Faults{})
	return nil
}

// storeLinkFault returns a function that injects faults into the store links of a random instance.
func storeLinkFault(faults proxy.Faults) func(*harness, *rand.Rand, time.Duration) error {
	return func(h *harness, rng *rand.Rand, duration time.Duration) error {
		return h.randomInstance(rng).injectLinkFaults(faults, duration)
	}
}

// storeConnectionFault returns a function that disturbs the open store connections of all instances.
func storeConnectionFault(disturb func(*proxy.Link)) func(*harness, *rand.Rand, time.Duration) error {
	return func(h *harness, _ *rand.Rand, _ time.Duration) error {
		for _, i := range h.currentInstances() {
			i.forEachLink(disturb)
		}
		return nil
	}
}

// storeFault returns a function that injects store faults for all instances.
func storeFault(faults storeFaults) func(*harness, *rand.Rand, time.Duration) error {
	return func(h *harness, _ *rand.Rand, duration time.Duration) error {
		h.injectStoreFaults(h.currentInstances(), faults, duration)
		return nil
	}
}

// injectStoreFaults injects store faults for the given instances for a time.
func (h *harness) injectStoreFaults(instances []*instance, faults storeFaults, duration time.Duration) {
	for _, i := range instances {
		i.store.setFaults(faults)
	}
	clock.Sleep(h.ctx, duration)
	for _, i := range instances {
		i.store.setFaults(storeFaults{})
	}
}

// rejectSomeInstances makes the store refuse the calls of about half of the instances.
func rejectSomeInstances(h *harness, rng *rand.Rand, duration time.Duration) error {
	var rejected []*instance
	for _, i := range h.currentInstances() {
		if rng.IntN(2) == 0 {
			rejected = append(rejected, i)
		}
	}
	h.injectStoreFaults(rejected, storeFaults{Busy: true}, duration)
	return nil
}

// writeUnreadableEntries writes rows to the workers' table that are not valid entries.
func writeUnreadableEntries(h *harness, rng *rand.Rand, _ time.Duration) error {
	for n, text := range []string{"{", `{"service":7}`, `{"service":"pool","address":"nowhere","state":"ready"}`, "\xff"} {
		key := h.currentWorkers()[0].key()
		key.Name = fmt.Sprintf("stranger-%d-%d", rng.IntN(100), n)
		h.writeStore(store.Tx{Put: []store.Put{{Key: key, Value: []byte(text)}}})
	}
	return nil
}

// someWorkers returns a random quarter of the workers, at least one.
func (h *harness) someWorkers(rng *rand.Rand) []*worker {
	all := h.currentWorkers()
	rng.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	return all[:max(1, len(all)/4)]
}

// workerLinkFault returns a function that injects faults into the links of some workers.
func workerLinkFault(faults proxy.Faults) func(*harness, *rand.Rand, time.Duration) error {
	return func(h *harness, rng *rand.Rand, duration time.Duration) error {
		workers := h.someWorkers(rng)
		for _, w := range workers {
			w.link.SetFaults(faults)
		}
		clock.Sleep(h.ctx, duration)
		for _, w := range workers {
			w.clearLinkFaults()
		}
		return nil
	}
}

// clearLinkFaults ends the faults of the link to the worker, unless the worker is gone.
func (w *worker) clearLinkFaults() {
	gone := false
	w.harness.fleet.Update(func() { gone = w.gone })
	if !gone {
		w.link.SetFaults(proxy.Faults{})
	}
}

// workerConnectionFault returns a function that disturbs the open connections of some workers.
func workerConnectionFault(disturb func(*proxy.Link)) func(*harness, *rand.Rand, time.Duration) error {
	return func(h *harness, rng *rand.Rand, _ time.Duration) error {
		for _, w := range h.someWorkers(rng) {
			disturb(w.link)
		}
		return nil
	}
}

// restartWorkers crashes some workers, which then start again.
func restartWorkers(h *harness, rng *rand.Rand, _ time.Duration) error {
	for _, w := range h.someWorkers(rng) {
		h.fleet.Update(w.fake.Crash)
		w.link.ResetConns()
	}
	return nil
}

// loseWorker terminates a worker without notice and adds a new one.
func loseWorker(h *harness, rng *rand.Rand, _ time.Duration) error {
	w := h.someWorkers(rng)[0]
	w.terminate()
	h.dropWorker(w)
	return h.addWorker(rng)
}

// drainWorker drains a worker and adds a new one.
func drainWorker(h *harness, rng *rand.Rand, _ time.Duration) error {
	return h.drainAndReplaceWorker(h.someWorkers(rng)[0], rng)
}

// drainAndReplaceWorker drains the given worker and adds a new one.
func (h *harness) drainAndReplaceWorker(w *worker, rng *rand.Rand) error {
	h.dropWorker(w)
	w.drain()
	return h.addWorker(rng)
}

// workerFault returns a function that sets a fault of some workers and clears it afterwards.
func workerFault(set func(fake *fakes.Worker, on bool)) func(*harness, *rand.Rand, time.Duration) error {
	return func(h *harness, rng *rand.Rand, duration time.Duration) error {
		workers := h.someWorkers(rng)
		for _, w := range workers {
			h.fleet.Update(func() { set(w.fake, true) })
		}
		clock.Sleep(h.ctx, duration)
		for _, w := range workers {
			h.fleet.Update(func() {
				set(w.fake, false)
				w.fake.ClearFaults()
			})
		}
		return nil
	}
}

// silenceWorkers stops the heartbeats of some workers that keep working, until their entries have expired.
func silenceWorkers(h *harness, rng *rand.Rand, duration time.Duration) error {
	workers := h.someWorkers(rng)
	for _, w := range workers {
		h.fleet.Update(func() { w.silent = true })
	}
	clock.Sleep(h.ctx, max(duration, (maxMissedHeartbeats+1)*heartbeatPeriod))
	for _, w := range workers {
		h.fleet.Update(func() { w.silent = false })
	}
	return nil
}

// submitBurst submits many jobs at once.
func submitBurst(h *harness, rng *rand.Rand, _ time.Duration) error {
	for range 5 + rng.IntN(10) {
		h.submitRandomJob(rng)
	}
	return nil
}
