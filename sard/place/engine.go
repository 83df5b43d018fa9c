package place

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// Engine decides for one domain. It is not safe for concurrent use.
type Engine struct {
	config    Config
	now       time.Time
	objective Objective
	grace     time.Duration

	accounts map[ident.Account]*account
	// grants are all cells of all guarantees, the largest first.
	grants []*grant
	gangs  map[ident.Job]*gang
	// waiting are the gangs of phaseWaiting in the order of their turn.
	waiting []*gang
	// placed are the gangs that have accelerators; claims those of phaseClaiming.
	placed, claims []*gang

	ledger *ledger
	// health has an entry for each worker that was lost or on which a job failed.
	health      map[ident.Worker]*health
	quarantined []ident.Worker
	reserved    []*reservation
	// restored are the gangs that are not in the ledger yet, since more may follow.
	restored []*gang
	// tries counts the searches for a cell to reserve in a pass.
	tries    int
	runTimes runTimes
	load     load
	memo     memo
	// again asks for another pass over the queue.
	again bool
	// resettle asks for another try to bind the grants that are short.
	resettle   bool
	nextSettle time.Time
	shortages  []Shortage
	breaches   uint64
	breach     string
	out        []Decision
}

// New returns an engine without workers, accounts and jobs.
func New(config Config) *Engine {
	config = config.withDefaults()
	return &Engine{
		config:   config,
		grace:    config.CheckpointGrace,
		accounts: map[ident.Account]*account{},
		gangs:    map[ident.Job]*gang{},
		ledger:   newLedger(newTopology(nil)),
		health:   map[ident.Worker]*health{},
		runTimes: newRunTimes(config.DefaultRunTime),
	}
}

// Apply takes an event in and returns what is to be done, in this order. Times must not run backwards.
func (e *Engine) Apply(at time.Time, ev Event) []Decision {
	if at.After(e.now) {
		e.now = at
	}
	e.out = nil
	if _, more := ev.(Restore); !more {
		e.adoptRestored()
	}
	if e.take(ev) {
		e.mend()
		e.schedule()
	}
	e.reportShortages()
	return e.out
}

// take changes the state by an event and tells whether there may be something to decide.
func (e *Engine) take(ev Event) bool {
	switch ev := ev.(type) {
	case Configure:
		e.configure(ev)
	case Topology:
		e.rack(ev)
	case WorkerLost:
		return e.lose(ev.Worker)
	case WorkerRecovered:
		return e.regain(ev.Worker)
	case Submit:
		return e.submit(ev.Job)
	case SubmitAll:
		for _, job := range ev.Jobs {
			e.submit(job)
		}
	case Restore:
		return e.restore(ev)
	case Started:
		return e.start(ev)
	case Ended:
		return e.end(ev)
	case Cancel:
		return e.cancel(ev.Job)
	case Tick:
		e.tick()
	}
	return true
}

func (e *Engine) decide(d Decision) {
	e.out = append(e.out, d)
}

// account returns the account of a name; an unknown one has no guarantee.
func (e *Engine) account(name ident.Account) *account {
	a, ok := e.accounts[name]
	if !ok {
		a = &account{name: name, weight: 1}
		e.accounts[name] = a
	}
	return a
}
