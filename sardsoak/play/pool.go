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

const (
	// rackSize is how many workers share a rack.
	rackSize = 4
	// clockSlowMost is by how much the workers' clocks are slow at most, in percent.
	clockSlowMost = 2
	// expiryPeriods is after how many silent heartbeats an entry is removed.
	expiryPeriods = 3
	// leaveTime is how long a worker that leaves stays.
	leaveTime = 4 * time.Second
)

// capacity is that of each worker.
var capacity = work.Resources{CPU: 128000, Memory: 262144, Accelerators: 8}

// member is a worker with the link that leads to it.
type member struct {
	world  *world
	worker *fakes.Worker
	link   *proxy.Link
	// silent stops the heartbeats, and gone ends them for good. They are changed within Fleet.Change.
	silent, gone bool
}

// newMember adds a worker to the pool.
func (w *world) newMember(number int, draw *rand.Rand) (*member, error) {
	entry := sched.ListedWorker{
		Worker: pool.Worker{
			WorkerProcess: work.WorkerProcess{Worker: ident.Worker(fmt.Sprintf("w%d", number)), StartedMs: time.Now().UnixMilli()},
			Service:       service, Capacity: capacity, Accepting: true,
		},
		DataCentre: "dc",
	}
	entry.Rack = ident.Rack(fmt.Sprintf("r%d", number/rackSize))
	entry.Labels = []string{"kind", string(entry.Rack)}
	m := &member{world: w, worker: w.fleet.AddWorker(entry)}
	address, err := w.serve(execs.Handler(m.worker))
	if err != nil {
		return nil, err
	}
	if m.link, err = proxy.New(w.ctx, w.group, address); err != nil {
		return nil, err
	}
	w.fleet.Update(func() {
		m.worker.Entry.Address = m.link.Address()
		m.worker.ClockSlowPercent = draw.IntN(clockSlowMost + 1)
		m.worker.StopDelay = time.Duration(draw.Int64N(int64(stopTime)))
	})
	w.group.Go(func() error { return m.beat() })
	return m, nil
}

// beat writes the worker's entry with each heartbeat, and removes it when the worker has been silent for too long.
func (m *member) beat() error {
	missed := 0
	for {
		var entry sched.ListedWorker
		var silent, gone bool
		m.world.fleet.Update(func() {
			entry, silent, gone = m.worker.Entry, m.silent, m.gone
			entry.Clock = m.worker.Clock()
		})
		if silent {
			missed++
		} else {
			missed = 0
		}
		if gone || missed >= expiryPeriods {
			m.world.write(store.Tx{Delete: []store.Key{m.key()}})
		} else if !silent {
			value, err := execs.EncodeWorker(entry)
			if err != nil {
				return err
			}
			m.world.write(store.Tx{Put: []store.Put{{Key: m.key(), Value: value}}})
		}
		if gone || !clock.Sleep(m.world.ctx, heartbeatPeriod) {
			return nil
		}
	}
}

func (m *member) key() store.Key {
	return store.Key{Table: execs.WorkerTable, Name: string(m.worker.Entry.WorkerProcess.Worker)}
}

// leave has the worker announce that it leaves, and takes it away with all that runs there.
func (m *member) leave() {
	m.world.fleet.Update(func() {
		e := &m.worker.Entry
		e.Accepting, e.Leaving, e.LeavesAfter = false, true, leaveTime
		m.worker.DrainingSince = time.Now().Add(heartbeatPeriod)
	})
	clock.Sleep(m.world.ctx, heartbeatPeriod+leaveTime)
	m.remove()
}

// remove takes the worker away for good.
func (m *member) remove() {
	m.world.fleet.Update(func() {
		m.worker.Crash()
		m.worker.Unreachable, m.gone = true, true
	})
	m.link.SetFaults(proxy.Faults{Refuse: true})
	m.link.ResetConns()
}
