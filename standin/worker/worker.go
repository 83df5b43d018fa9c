// Package worker simulates a worker, which reserves accelerators for the parts of gangs and runs the parts under leases.
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

// Config configures a Worker.
type Config struct {
	Name         ident.Worker
	Rack         ident.Rack
	DataCentre   ident.DataCentre
	Accelerators ident.Accelerators
	// CheckpointTime is how long it takes to write a checkpoint.
	CheckpointTime time.Duration
	// UsageLag is the age of the usage figures in reports.
	UsageLag time.Duration
	// Faults holds the active faults; nil for none.
	Faults *faults.Set
	// Ledger records reservations and runs; nil to discard the records.
	Ledger *ledger.Ledger
	// Logger logs each state change of a part; nil disables logging.
	Logger hclog.Logger
}

// Worker is a simulated worker. It implements http.Handler.
type Worker struct {
	config    Config
	component faults.Component
	routes    map[string]callHandler

	mu       sync.Mutex
	epoch    ident.Epoch
	sequence uint64
	changed  chan struct{}
	parts    map[wire.Part]*part
	dead     bool
}

// New creates a Worker without parts.
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
	w.component = faults.Component{
		Peer:       faults.Worker,
		Name:       string(config.Name),
		Rack:       config.Rack,
		DataCentre: config.DataCentre,
	}
	w.routes = w.newRoutes()
	w.reset()
	config.Faults.OnChange(w.applyDieFault)
	return w
}

// reset clears the state as a restarted process would. Sequence numbers start at the current Unix time in milliseconds,
// so that they also increase across restarts.
func (w *Worker) reset() {
	w.epoch = 0
	w.sequence = uint64(time.Now().UnixMilli())
	w.changed = make(chan struct{})
	w.parts = map[wire.Part]*part{}
}

// applyDieFault kills or restarts the worker according to the active faults.
func (w *Worker) applyDieFault() {
	dead := w.config.Faults.Has(w.component, faults.Die)
	w.mu.Lock()
	defer w.mu.Unlock()
	if dead && !w.dead {
		w.die()
	}
	w.dead = dead
}

// die stops all running parts and discards the state.
func (w *Worker) die() {
	now := time.Now()
	for _, p := range w.parts {
		p.stopTimers()
		if p.state == ident.PartRunning {
			w.config.Ledger.RecordEnd(w.config.Name, p.name, ident.PartStopped, now)
		}
	}
	close(w.changed)
	w.reset()
}

// notifyChange increments the sequence number after a state change of a part and wakes the calls that wait for one.
func (w *Worker) notifyChange(p *part) {
	w.sequence++
	close(w.changed)
	w.changed = make(chan struct{})
	w.config.Logger.Debug("part state changed", "Worker", w.config.Name, "Job", p.name.Job, "Attempt", p.name.Attempt,
		"State", p.state.String(), "Message", p.message)
}

// endPart moves an active part to a final state as of endedAt. It does nothing if the part has ended already.
func (w *Worker) endPart(p *part, state ident.PartState, message string, endedAt time.Time) {
	if !p.isActive() {
		return
	}
	p.stopTimers()
	wasRunning := p.state == ident.PartRunning
	p.workDone = p.workDoneAt(endedAt)
	p.state = state
	p.message = message
	p.ended = endedAt
	if wasRunning {
		w.config.Ledger.RecordEnd(w.config.Name, p.name, state, endedAt)
	}
	w.notifyChange(p)
	time.AfterFunc(endedPartRetention, func() { w.removePart(p) })
}

// removePart discards an ended part at the end of its retention, unless the worker was restarted since.
func (w *Worker) removePart(p *part) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.parts[p.name] == p {
		delete(w.parts, p.name)
	}
}

// extendLease sets a part's lease to expire after the given duration from now.
func (w *Worker) extendLease(p *part, lease time.Duration) {
	p.leaseExpiry = time.Now().Add(lease)
	if p.leaseTimer != nil {
		p.leaseTimer.Stop()
	}
	p.leaseTimer = time.AfterFunc(lease, func() { w.expireLease(p) })
}

// expireLease stops a part if its lease has expired and was not renewed in the meantime.
func (w *Worker) expireLease(p *part) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.parts[p.name] != p || time.Now().Before(p.leaseExpiry) {
		return
	}
	w.endPart(p, ident.PartStopped, "lease lapsed", p.leaseExpiry)
}

// scheduleFinish starts or resumes the work of a part at its current speed, and sets the timer for its end.
func (w *Worker) scheduleFinish(p *part) {
	since := time.Now()
	p.speedSince = since
	if p.finishTimer != nil {
		p.finishTimer.Stop()
	}
	p.finishTimer = time.AfterFunc(p.remainingTime(), func() { w.finishPart(p, since) })
}

// finishPart ends a part whose work is complete, unless its speed was changed after since or the worker was restarted.
func (w *Worker) finishPart(p *part, since time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.parts[p.name] != p || !p.speedSince.Equal(since) {
		return
	}
	if p.command.fails {
		w.endPart(p, ident.PartFailed, "the command failed", time.Now())
		return
	}
	w.endPart(p, ident.PartDone, "", time.Now())
}

// report returns the state of all parts, with usage figures that are UsageLag old.
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
