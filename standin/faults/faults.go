// Package faults switches the faults of the stand-in's parts.
package faults

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

//go:generate go tool stringer -type=Peer,Kind -output=enums_string.go

// Peer is a sort of part that can fail.
type Peer int

// The parts that can fail.
const (
	Table Peer = iota
	Object
	Fleet
	Worker
	Server
)

// Kind is a way to fail.
type Kind int

// The ways to fail, with the parts that know them.
const (
	// Down answers each call with an internal error (table, object, fleet).
	Down Kind = iota
	// Cut closes the connection before a call takes effect (table, object, fleet, worker, server).
	Cut
	// Slow delays each call by Delay, before it takes effect (table, object, fleet, worker, server).
	Slow
	// Throttle refuses calls for load (table, object).
	Throttle
	// LoseAnswer closes the connection after the call took effect (table, object, worker, server).
	LoseAnswer
	// Stale answers eventually consistent reads from before the last write (table), and holds the list (fleet).
	Stale
	// FailAll fails every part that starts (worker) and every request (server).
	FailAll
	// Die ends all that runs, forgets it and cuts connections until cleared (worker, server).
	Die
	// Freeze holds all calls until cleared; leases lapse meanwhile (all parts).
	Freeze
	// Leave drains the machine, and the list tells it later (worker, server).
	Leave
	// Stall runs a request and never answers it (server).
	Stall
	// Late delays the answer by Delay after the request ran (server).
	Late
	// Truncate ends the answer's body early (server).
	Truncate
	// Cross answers with the answer of another request (server).
	Cross
	// Twice sends the answer two times on the connection (server).
	Twice
)

// Fault is one fault of some parts.
type Fault struct {
	Peer Peer `yaml:"Peer"`
	Kind Kind `yaml:"Kind"`
	// Name, Rack and DataCentre narrow the fault to a machine, a rack or a data centre; empty for all.
	Name       string           `yaml:"Name"`
	Rack       ident.Rack       `yaml:"Rack"`
	DataCentre ident.DataCentre `yaml:"DataCentre"`
	// Rate is the share of calls that fail, above 0 to 1; 0 means 1. Die, Freeze and Leave hold whatever the rate.
	Rate float64 `yaml:"Rate"`
	// Calls ends the fault after so many calls that it met; 0 means no limit.
	Calls int `yaml:"Calls"`
	// Delay is the length of Slow and Late.
	Delay ident.Duration `yaml:"Delay"`
	// For ends the fault by itself; 0 means when cleared.
	For ident.Duration `yaml:"For"`
}

// Component tells which part asks for its faults.
type Component struct {
	Peer       Peer
	Name       string
	Rack       ident.Rack
	DataCentre ident.DataCentre
}

// Set holds the faults that are on. The zero value has none.
type Set struct {
	mu      sync.Mutex
	faults  []Fault
	random  *rand.Rand
	changed chan struct{}
	watches []func()
	drawn   map[Kind]uint64
}

// New makes a Set whose draws repeat with the seed.
func New(seed uint64) *Set {
	return &Set{random: rand.New(rand.NewPCG(seed, seed))}
}

// Inject turns a fault on, in place of one of the same peer, kind and narrowing.
func (s *Set) Inject(f Fault) error {
	if f.Rate < 0 || f.Rate > 1 {
		return fault.New(fault.Invalid, "switch fault", "", "Rate %v is not within 0 to 1", f.Rate)
	}
	if (f.Kind == Slow || f.Kind == Late) && f.Delay <= 0 {
		return fault.New(fault.Invalid, "switch fault", "", "%s needs a Delay", f.Kind)
	}
	s.mu.Lock()
	s.faults = slices.DeleteFunc(s.faults, f.same)
	s.faults = append(s.faults, f)
	s.mu.Unlock()
	s.notify()
	if f.For > 0 {
		time.AfterFunc(f.For.Std(), func() { s.Clear(f) })
	}
	return nil
}

// Clear turns off the fault of the same peer, kind and narrowing as f.
func (s *Set) Clear(f Fault) {
	s.mu.Lock()
	s.faults = slices.DeleteFunc(s.faults, f.same)
	s.mu.Unlock()
	s.notify()
}

// ClearAll turns off all faults.
func (s *Set) ClearAll() {
	s.mu.Lock()
	s.faults = nil
	s.mu.Unlock()
	s.notify()
}

// List returns the faults that are on.
func (s *Set) List() []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.faults)
}

// TriggerCounts counts the calls that each kind of fault has met.
func (s *Set) TriggerCounts() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]uint64{}
	for kind, n := range s.drawn {
		counts[kind.String()] = n
	}
	return counts
}

// Trigger tells whether a fault of the kind meets this call of the part.
func (s *Set) Trigger(at Component, kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, f := range s.faults {
		if f.Kind != kind || !f.covers(at) {
			continue
		}
		if f.Rate == 0 || s.float() < f.Rate {
			s.spend(i)
			return f, true
		}
	}
	return Fault{}, false
}

// spend counts a call that a fault met, and ends the fault when it was the last one.
func (s *Set) spend(i int) {
	if s.drawn == nil {
		s.drawn = map[Kind]uint64{}
	}
	s.drawn[s.faults[i].Kind]++
	if s.faults[i].Calls == 0 {
		return
	}
	if s.faults[i].Calls--; s.faults[i].Calls == 0 {
		s.faults = slices.Delete(s.faults, i, i+1)
	}
}

// Has tells whether a fault of the kind is on at the part, whatever its rate.
func (s *Set) Has(at Component, kind Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.faults, func(f Fault) bool { return f.Kind == kind && f.covers(at) })
}

// OnChange calls fn after each change of the faults.
func (s *Set) OnChange(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches = append(s.watches, fn)
}

// Changed returns a channel that is closed at the next change of the faults.
func (s *Set) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

func (s *Set) notify() {
	s.mu.Lock()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	watches := slices.Clone(s.watches)
	s.mu.Unlock()
	for _, fn := range watches {
		fn()
	}
}

func (s *Set) float() float64 {
	if s.random == nil {
		s.random = rand.New(rand.NewPCG(0, 0))
	}
	return s.random.Float64()
}

func (f Fault) same(o Fault) bool {
	return f.Peer == o.Peer && f.Kind == o.Kind && f.Name == o.Name && f.Rack == o.Rack && f.DataCentre == o.DataCentre
}

func (f Fault) covers(at Component) bool {
	return f.Peer == at.Peer &&
		(f.Name == "" || f.Name == at.Name) &&
		(f.Rack == "" || f.Rack == at.Rack) &&
		(f.DataCentre == "" || f.DataCentre == at.DataCentre)
}
