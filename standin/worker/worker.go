// Package worker plays a worker: it sets accelerators aside for the parts of gangs and runs them under leases.
package worker

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/sardineline/sardineline/sard/ident"
	wire "github.com/sardineline/sardineline/sard/worker"
	"github.com/sardineline/sardineline/standin/faults"
	"github.com/sardineline/sardineline/standin/ledger"
)

// Config makes a worker.
type Config struct {
	Name         ident.Worker
	Rack         ident.Rack
	DataCentre   ident.DataCentre
	Accelerators ident.Accelerators
	// CheckpointTime is how long a checkpoint takes to write.
	CheckpointTime time.Duration
	// UsageLag is how far the usage in reports lies back.
	UsageLag time.Duration
	// Faults are the faults that are on; nil for none.
	Faults *faults.Set
	// Ledger records what runs; nil for none.
	Ledger *ledger.Ledger
	// Logger takes a line for each change of a part; nil for none.
	Logger hclog.Logger
}

// Worker is a worker as an http.Handler.
type Worker struct {
	config Config
	place  faults.Component
	routes map[string]route

	mu       sync.Mutex
	epoch    ident.Epoch
	sequence uint64
	changed  chan struct{}
	parts    map[wire.Part]*part
	dead     bool
}

// New makes a worker that runs nothing.
func New(config Config) *Worker {
	if config.Faults == nil {
		config.Faults = faults.New(0)
	}
	if config.Ledger == nil {
		config.Ledger = ledger.New(nil)
	}
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	w := &Worker{config: config}
	w.place = faults.Component{
		Peer:       faults.Worker,
		Name:       string(config.Name),
		Rack:       config.Rack,
		DataCentre: config.DataCentre,
	}
	w.routes = w.table()
	w.boot()
	config.Faults.OnChange(w.observe)
	return w
}

// boot empties the worker, as a new process does.
func (w *Worker) boot() {
	w.epoch = 0
	w.sequence = uint64(time.Now().UnixMilli())
	w.changed = make(chan struct{})
	w.parts = map[wire.Part]*part{}
}

// observe lets the worker die and come back as its faults say.
func (w *Worker) observe() {
	dead := w.config.Faults.Has(w.place, faults.Die)
	w.mu.Lock()
	defer w.mu.Unlock()
	if dead && !w.dead {
		w.kill()
	}
	w.dead = dead
}

func (w *Worker) kill() {
	now := time.Now()
	for _, p := range w.parts {
		p.stopTimers()
		if p.state == ident.PartRunning {
			w.config.Ledger.RecordEnd(w.config.Name, p.name, ident.PartStopped, now)
		}
	}
	close(w.changed)
	w.boot()
}

// change counts a change of a part's state and wakes those that wait for one.
func (w *Worker) change(p *part) {
	w.sequence++
	close(w.changed)
	w.changed = make(chan struct{})
	w.config.Logger.Debug("part changed", "Worker", w.config.Name, "Job", p.name.Job, "Attempt", p.name.Attempt,
		"State", p.state.String(), "Message", p.message)
}

// end ends a live part at a time.
func (w *Worker) end(p *part, state ident.PartState, message string, when time.Time) {
	if !p.live() {
		return
	}
	p.stopTimers()
	ran := p.state == ident.PartRunning
	p.done = p.work(when)
	p.state = state
	p.message = message
	p.ended = when
	if ran {
		w.config.Ledger.RecordEnd(w.config.Name, p.name, state, when)
	}
	w.change(p)
	time.AfterFunc(reportFor, func() { w.forget(p) })
}

func (w *Worker) forget(p *part) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.parts[p.name] == p {
		delete(w.parts, p.name)
	}
}

// extend renews a part's lease.
func (w *Worker) extend(p *part, lease time.Duration) {
	p.expiry = time.Now().Add(lease)
	if p.lapse != nil {
		p.lapse.Stop()
	}
	p.lapse = time.AfterFunc(lease, func() { w.lapsed(p) })
}

func (w *Worker) lapsed(p *part) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.parts[p.name] != p || time.Now().Before(p.expiry) {
		return
	}
	w.end(p, ident.PartStopped, "lease lapsed", p.expiry)
}

// run starts or continues the work of a part at its speed.
func (w *Worker) run(p *part) {
	since := time.Now()
	p.since = since
	if p.finish != nil {
		p.finish.Stop()
	}
	p.finish = time.AfterFunc(p.rest(), func() { w.finished(p, since) })
}

func (w *Worker) finished(p *part, since time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.parts[p.name] != p || !p.since.Equal(since) {
		return
	}
	if p.command.fail {
		w.end(p, ident.PartFailed, "the command failed", time.Now())
		return
	}
	w.end(p, ident.PartDone, "", time.Now())
}

func (w *Worker) report() wire.Report {
	asOf := time.Now().Add(-w.config.UsageLag)
	r := wire.Report{Worker: w.config.Name, Epoch: w.epoch, Sequence: w.sequence}
	for _, p := range w.parts {
		if !p.forgotten {
			r.Parts = append(r.Parts, p.report(asOf))
		}
	}
	return r
}
