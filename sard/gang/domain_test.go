package gang_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/lease"
	"github.com/sardineline/sardineline/sard/object"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/table"
	"github.com/sardineline/sardineline/sard/worker"
)

const dc ident.DataCentre = "dc1"

// site is a data centre with a table, workers and instances that contend for its domain.
type site struct {
	t       *testing.T
	store   *table.Memory
	ledger  *ledger
	workers map[ident.Worker]*fakeWorker
	fleet   []fleet.Worker
	group   errgroup.Group
	// client returns the client of a worker.
	client func(name ident.Worker, address string) worker.Client
	// archive keeps ended jobs; nil for none.
	archive object.Store
	// front wraps the table for one instance; nil for none.
	front func(table.Store) table.Store
}

func newSite(t *testing.T, racks, perRack int) *site {
	s := &site{t: t, store: &table.Memory{}, ledger: newLedger(), workers: map[ident.Worker]*fakeWorker{}}
	s.client = func(name ident.Worker, _ string) worker.Client { return s.workers[name] }
	for r := range racks {
		for i := range perRack {
			name := ident.Worker(fmt.Sprintf("r%d-w%d", r, i))
			s.workers[name] = newFakeWorker(name, s.ledger)
			s.fleet = append(s.fleet, fleet.Worker{
				Name: name, Address: string(name), DataCentre: dc,
				Rack: ident.Rack(fmt.Sprintf("r%d", r)), Accelerators: 8, Index: i,
			})
		}
	}
	return s
}

// holder is an instance that acquires the lease and runs the domain.
type holder struct {
	domain *gang.Scheduler
	held   *lease.Lease
	// crash ends the instance without any hand-over.
	crash context.CancelFunc
	done  chan struct{}
}

// logger writes to the standard error when the tests run with -v and SARDINE_LOG is set.
func (s *site) logger() hclog.Logger {
	if os.Getenv("SARDINE_LOG") == "" {
		return nil
	}
	return hclog.New(&hclog.LoggerOptions{Level: hclog.Debug, TimeFn: time.Now})
}

// hold acquires the lease and starts the domain.
func (s *site) hold(name ident.Instance) *holder {
	var store table.Store = s.store
	if s.front != nil {
		store = s.front(store)
	}
	ctx, cancel := context.WithCancel(s.t.Context())
	held, err := lease.New(lease.Config{Store: store, Instance: name}).Acquire(ctx, dc)
	assert.NilError(s.t, err)
	h := &holder{held: held, crash: cancel, done: make(chan struct{})}
	h.domain = gang.New(gang.Config{
		DataCentre: dc, Store: store, Lease: held, Engine: place.New(place.Config{}), Logger: s.logger(),
		WorkerClient: s.client, Archive: s.archive,
	})
	h.domain.Configure(place.Configure{
		Objective: place.Objective{CompletionTime: 1, Fragmentation: 1},
		Accounts:  []place.Account{{Name: "acme", Weight: 1}},
	})
	h.domain.SetTopology(s.fleet)
	s.group.Go(func() error { return held.KeepAlive(ctx) })
	s.group.Go(func() error {
		defer close(h.done)
		return h.domain.Run(ctx)
	})
	return h
}

// serving waits until the domain has recovered.
func (h *holder) serving() *holder {
	for !h.domain.Ready() {
		time.Sleep(100 * time.Millisecond)
	}
	return h
}

// leave gives the lease up as a planned stop does.
func (h *holder) leave(ctx context.Context) error {
	h.crash()
	<-h.done
	return h.held.Release(ctx)
}

// end stops all instances and waits for their goroutines.
func (s *site) end(holders ...*holder) {
	for _, h := range holders {
		h.crash()
	}
	assert.NilError(s.t, s.group.Wait())
	assert.DeepEqual(s.t, s.ledger.found(), []string(nil))
}

func job(accelerators ident.Accelerators, run string) gang.JobSpec {
	return gang.JobSpec{Kind: "pricing", Accelerators: accelerators, Command: run, Checkpointable: true, RunTime: ident.Duration(time.Minute)}
}

func (h *holder) submit(t *testing.T, key string, spec gang.JobSpec) gang.JobView {
	view, err := h.domain.Submit(t.Context(), "acme", ident.IdempotencyKey(key), spec)
	assert.NilError(t, err)
	return view
}

func (h *holder) get(t *testing.T, id ident.Job) gang.JobView {
	view, err := h.domain.Get(t.Context(), "acme", id)
	assert.NilError(t, err)
	return view
}

// ranOnce checks that one attempt of a job ran whole.
func (s *site) ranOnce(id ident.Job) {
	all, _ := s.ledger.succeeded(id)
	assert.Equal(s.t, all, 1)
}

func TestJobRunsOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, 2)
		wires := s.overHTTP()
		h := s.hold("i1").serving()
		view := h.submit(t, "k1", job(16, "30s"))
		time.Sleep(time.Second)
		assert.Equal(t, h.get(t, view.ID).State, ident.Running)
		time.Sleep(30 * time.Second)
		assert.Equal(t, h.get(t, view.ID).State, ident.Succeeded)
		s.ranOnce(view.ID)
		s.end(h)
		wires.close()
	})
}

func TestJobRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, 8)
		h := s.hold("i1").serving()
		first := h.submit(t, "k1", job(64, "10m"))
		again := h.submit(t, "k1", job(64, "10m"))
		assert.Equal(t, first.ID, again.ID)
		time.Sleep(time.Second)
		assert.Equal(t, h.get(t, first.ID).State, ident.Running)
		time.Sleep(10 * time.Minute)
		assert.Equal(t, h.get(t, first.ID).State, ident.Succeeded)
		s.ranOnce(first.ID)
		s.end(h)
	})
}
