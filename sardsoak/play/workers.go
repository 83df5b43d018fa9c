package play

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sardineline/sardineline/platform/execs"
	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
	"github.com/sardineline/sardineline/sardsoak/proxy"
)

// Constants of the workers.
const (
	// rackSize is the number of workers in a rack.
	rackSize = 4
	// maxClockSlowPercent is by how many percent the clock of a worker is slow at most.
	maxClockSlowPercent = 2
	// maxMissedHeartbeats is the number of missed heartbeats after which an entry is removed.
	maxMissedHeartbeats = 3
	// leaveDelay is the notice that a worker gives before it leaves.
	leaveDelay = 4 * time.Second
	// slowWorkerInterval says that each worker of this many is always slow, by usualSlowdown.
	slowWorkerInterval = 4
	usualSlowdown      = 2
)

// workerCapacity is the capacity of each worker.
var workerCapacity = work.Resources{CPU: 128000, Memory: 262144, Accelerators: 8}

// worker is a simulated worker with the link through which instances reach it.
type worker struct {
	harness *harness
	fake    *fakes.Worker
	link    *proxy.Link
	// silent suspends the heartbeats, gone ends them for good. Both are accessed only within Fleet.Update.
	silent, gone bool
	// capacity is what the worker has from its next heartbeat on. It is accessed only within Fleet.Update.
	capacity work.Resources
}

// newWorker creates a worker and starts its heartbeats.
func (h *harness) newWorker(number int, rng *rand.Rand) (*worker, error) {
	entry := sched.ListedWorker{
		Worker: pool.Worker{
			WorkerProcess: work.WorkerProcess{Worker: ident.Worker(fmt.Sprintf("w%d", number)), StartedMs: time.Now().UnixMilli()},
			Service:       service, Capacity: workerCapacity, Accepting: true,
		},
		DataCentre: workerDataCentre(number),
	}
	entry.Rack = ident.Rack(fmt.Sprintf("r%d", number/rackSize))
	entry.Labels = []string{"kind", string(entry.Rack)}
	w := &worker{harness: h, fake: h.fleet.AddWorker(entry), capacity: workerCapacity}
	address, err := h.serveHandler(execs.Handler(w.fake))
	if err != nil {
		return nil, err
	}
	if w.link, err = proxy.New(h.ctx, h.group, address); err != nil {
		return nil, err
	}
	h.fleet.Update(func() {
		w.fake.Entry.Address = w.link.Address()
		w.fake.ClockSlowPercent = rng.IntN(maxClockSlowPercent + 1)
		if number%slowWorkerInterval == 0 {
			w.fake.UsualSlowdown = usualSlowdown
		}
		w.fake.StopDelay = time.Duration(rng.Int64N(int64(maxStopTime)))
	})
	h.group.Go(func() error { return w.sendHeartbeats() })
	return w, nil
}

// sendHeartbeats writes the worker's entry in each period until the run ends or the worker is gone. It deletes the entry
// when the worker is gone or has missed maxMissedHeartbeats.
func (w *worker) sendHeartbeats() error {
	missed := 0
	for {
		var entry sched.ListedWorker
		var silent, gone bool
		w.harness.fleet.Update(func() {
			if !w.silent && w.capacity != w.fake.Entry.Capacity {
				w.fake.SetCapacity(w.capacity)
			}
			entry, silent, gone = w.fake.Entry, w.silent, w.gone
			entry.Clock = w.fake.Clock()
		})
		if silent {
			missed++
		} else {
			missed = 0
		}
		if gone || missed >= maxMissedHeartbeats {
			w.harness.writeStore(store.Tx{Delete: []store.Key{w.key()}})
		} else if !silent {
			value, err := execs.EncodeWorker(entry)
			if err != nil {
				return err
			}
			w.harness.writeStore(store.Tx{Put: []store.Put{{Key: w.key(), Value: value}}})
		}
		if gone || !clock.Sleep(w.harness.ctx, heartbeatPeriod) {
			return nil
		}
	}
}

// key returns the key of the worker's entry in the store, which lists it as available.
func (w *worker) key() store.Key {
	return store.Key{Table: execs.WorkerTable, Name: string(w.fake.Entry.WorkerProcess.Worker)}
}

// drain announces that the worker leaves, and terminates it after leaveDelay with all parts that still run there.
func (w *worker) drain() {
	w.harness.fleet.Update(func() {
		e := &w.fake.Entry
		e.Accepting, e.Leaving, e.LeavesAfter = false, true, leaveDelay
		w.fake.DrainingSince = time.Now().Add(heartbeatPeriod)
	})
	clock.Sleep(w.harness.ctx, heartbeatPeriod+leaveDelay)
	w.terminate()
}

// terminate crashes the worker and makes it unreachable for good.
func (w *worker) terminate() {
	w.harness.fleet.Update(func() {
		w.fake.Crash()
		w.fake.Unreachable, w.gone = true, true
	})
	w.link.SetFaults(proxy.Faults{Refuse: true})
	w.link.ResetConns()
}
