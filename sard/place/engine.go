package place

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// Engine makes the placement decisions for one domain. It is not safe for concurrent use.
type Engine struct {
	config    Config
	now       time.Time
	objective Objective
	grace     time.Duration

	accounts map[ident.Account]*account
	// grants are the cells of all guarantees, the largest first.
	grants []*grant
	gangs  map[ident.Job]*gang
	// waiting are the gangs in phaseWaiting, in queue order.
	waiting []*gang
	// placed are the gangs that have accelerators; claims are the gangs in phaseClaiming.
	placed, claims []*gang

	ledger *ledger
	// health has an entry for each worker that was lost or on which a job failed.
	health      map[ident.Worker]*workerHealth
	quarantined []ident.Worker
	reserved    []*reservation
	// restored are the gangs of Restore events that are not in the ledger yet. They are added with the next other
	// event.
	restored []*gang
	// reserveSearches counts the searches for a cell to reserve in the current pass.
	reserveSearches int
	runTimes        runTimes
	load            load
	failedSearches  searchCache
	// repeatPass requests another pass over the queue, because gangs that were tried before may fit now.
	repeatPass bool
	// rebindNeeded requests another attempt to bind the grants that are short.
	rebindNeeded  bool
	nextRebind    time.Time
	shortages     []Shortage
	violations    uint64
	lastViolation string
	decisions     []Decision
}

// New returns an engine without workers, accounts or jobs.
func New(config Config) *Engine {
	config = config.withDefaults()
	return &Engine{
		config:   config,
		grace:    config.CheckpointGrace,
		accounts: map[ident.Account]*account{},
		gangs:    map[ident.Job]*gang{},
		ledger:   newLedger(newTopology(nil)),
		health:   map[ident.Worker]*workerHealth{},
		runTimes: newRunTimes(config.DefaultRunTime),
	}
}

// Apply processes an event and returns the decisions to carry out, in order. Times must not run backwards.
func (e *Engine) Apply(at time.Time, ev Event) []Decision {
	if at.After(e.now) {
		e.now = at
	}
	e.decisions = nil
	if _, restoring := ev.(Restore); !restoring {
		e.adoptRestored()
	}
	if e.handle(ev) {
		e.repairGuarantees()
		e.schedule()
	}
	e.reportShortages()
	return e.decisions
}

// handle updates the state for an event and reports whether the engine must try to place waiting gangs.
func (e *Engine) handle(event Event) bool {
	switch event := event.(type) {
	case Configure:
		e.configure(event)
	case Topology:
		e.setTopology(event)
	case WorkerLost:
		return e.workerLost(event.Worker)
	case WorkerRecovered:
		return e.workerRecovered(event.Worker)
	case Submit:
		return e.submit(event.Job)
	case SubmitAll:
		for _, job := range event.Jobs {
			e.submit(job)
		}
	case Restore:
		return e.restore(event)
	case Started:
		return e.attemptStarted(event)
	case Ended:
		return e.attemptEnded(event)
	case Cancel:
		return e.cancel(event.Job)
	case Tick:
		e.tick()
	}
	return true
}

// emit appends a decision to the result of Apply.
func (e *Engine) emit(d Decision) {
	e.decisions = append(e.decisions, d)
}

// account returns the account with a name. It creates an unknown account with weight 1 and no guarantees.
func (e *Engine) account(name ident.Account) *account {
	a, ok := e.accounts[name]
	if !ok {
		a = &account{name: name, weight: 1}
		e.accounts[name] = a
	}
	return a
}
