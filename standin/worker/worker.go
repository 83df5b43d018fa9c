// Package worker simulates a worker, a machine with accelerators that runs parts of gangs.
//
// A gang is a job that runs on one or more workers at the same time; its part on a worker is reserved first and started
// later. A part has a lease, and the worker stops it when the lease expires without a renewal. Each call carries the
// epoch of its caller, which is higher for each new scheduler; the worker rejects calls with an epoch lower than the
// highest it has seen.
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
	// CheckpointTime is how long the worker takes to write a checkpoint.
	CheckpointTime time.Duration
	// UsageLag is how old the running times of parts are when the worker reports them.
	UsageLag time.Duration
	// Faults holds the simulated faults that are active; nil for none.
	Faults *faults.Set
	// Ledger records reservations and runs of parts; nil to discard the records.
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

// New creates a Worker without parts and fills in the defaults of config.
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

// reset clears the state of the worker, as a restart does. Sequence numbers of reports start at the current Unix time
// in milliseconds, so that they also increase across restarts.
func (w *Worker) reset() {
	w.epoch = 0
	w.sequence = uint64(time.Now().UnixMilli())
	w.changed = make(chan struct{})
	w.parts = map[wire.Part]*part{}
}

// applyDieFault makes the worker die when a Die fault becomes active for it, and restarts it when the fault is cleared.
func (w *Worker) applyDieFault() {
	dead := w.config.Faults.Has(w.component, faults.Die)
	w.mu.Lock()
	defer w.mu.Unlock()
	if dead && !w.dead {
		w.die()
	}
	w.dead = dead
}

// die stops all running parts and discards the state of the worker.
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

// notifyChange is called after a state change of a part. It increments the sequence number of the reports and wakes the
// calls that wait for a change.
func (w *Worker) notifyChange(p *part) {
	w.sequence++
	close(w.changed)
	w.changed = make(chan struct{})
	w.config.Logger.Debug("part state changed", "Worker", w.config.Name, "Job", p.name.Job, "Attempt", p.name.Attempt,
		"State", p.state.String(), "Message", p.message)
}

// endPart moves a reserved or running part to a final state as of endedAt. It does nothing if the part has ended
// already.
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

// removePart discards an ended part at the end of endedPartRetention, unless the worker was restarted in the meantime.
func (w *Worker) removePart(p *part) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.parts[p.name] == p {
		delete(w.parts, p.name)
	}
}

// extendLease makes the lease of a part expire after the given duration from now.
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

// scheduleFinish lets a part run at its current speed from now on, and sets the timer for the completion of its work.
func (w *Worker) scheduleFinish(p *part) {
	since := time.Now()
	p.speedSince = since
	if p.finishTimer != nil {
		p.finishTimer.Stop()
	}
	p.finishTimer = time.AfterFunc(p.remainingTime(), func() { w.finishPart(p, since) })
}

// finishPart ends a part whose work is complete. It does nothing if the speed was changed after since, so that a later
// timer applies, or if the worker was restarted.
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

// report returns the state of all parts that are not forgotten. Their running times are those of UsageLag ago.
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
