// Package faults injects faults into the components of the stand-in: the table service, the object store, the fleet
// list, the workers and the backend servers.
//
// A fault is restricted to one type of component and, optionally, to a machine, a rack or a data centre. A component
// asks its Set on each call which active faults apply. A fault is triggered when it affects a call.
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

// Peer is a type of component of the stand-in.
type Peer int

// The component types: the table service, the object store, the fleet list, workers and backend servers.
const (
	Table Peer = iota
	Object
	Fleet
	Worker
	Server
)

// Kind is a type of fault, such as a slow or a lost response.
type Kind int

// The fault types, each with the component types that support it.
const (
	// Down makes each call fail with an internal error (table, object, fleet).
	Down Kind = iota
	// Cut closes the connection before a call takes effect (table, object, fleet, worker, server).
	Cut
	// Slow delays each call by Delay, before it takes effect (table, object, fleet, worker, server).
	Slow
	// Throttle rejects calls with a rate limit error (table, object).
	Throttle
	// LoseAnswer closes the connection after the call took effect (table, object, worker, server).
	LoseAnswer
	// Stale makes eventually consistent reads return the item before its last write (table), and keeps the fleet list
	// as it is (fleet).
	Stale
	// FailAll makes every part of a gang that is started (worker) and every request (server) fail.
	FailAll
	// Die stops and discards all running work, closes all connections and refuses new ones until the fault is cleared
	// (worker, server).
	Die
	// Freeze blocks all calls until the fault is cleared; leases still expire in the meantime (all components).
	Freeze
	// Leave makes the fleet list show the machine as leaving, after the list's lag (worker, server), and makes a
	// backend server refuse new requests.
	Leave
	// Stall runs a request but never sends its response (server).
	Stall
	// Late runs a request and then delays its response by Delay (server).
	Late
	// Truncate ends the response body early (server).
	Truncate
	// Cross answers a request with the response to the previous one (server).
	Cross
	// Twice sends the response twice on the connection (server).
	Twice
)

// Fault is a fault of one type and the components that it is restricted to.
type Fault struct {
	Peer Peer `yaml:"Peer"`
	Kind Kind `yaml:"Kind"`
	// Name, Rack and DataCentre restrict the fault to a machine, a rack or a data centre; empty means no restriction.
	Name       string           `yaml:"Name"`
	Rack       ident.Rack       `yaml:"Rack"`
	DataCentre ident.DataCentre `yaml:"DataCentre"`
	// Rate is the probability that a call is affected, from 0 to 1; 0 means 1. Die, Freeze and Leave ignore it.
	Rate float64 `yaml:"Rate"`
	// Calls is the number of affected calls after which the fault is cleared; 0 means no limit.
	Calls int `yaml:"Calls"`
	// Delay is the delay that Slow and Late add.
	Delay ident.Duration `yaml:"Delay"`
	// For is the time after which the fault is cleared; 0 means no limit.
	For ident.Duration `yaml:"For"`
}

// Component identifies a component of the stand-in by its type, and a machine also by its name and location.
type Component struct {
	Peer       Peer
	Name       string
	Rack       ident.Rack
	DataCentre ident.DataCentre
}

// Set holds the active faults of all components. It is safe for concurrent use. The zero value is empty and ready to
// use.
type Set struct {
	mu        sync.Mutex
	faults    []Fault
	random    *rand.Rand
	changed   chan struct{}
	listeners []func()
	triggered map[Kind]uint64
}

// New creates an empty Set. The seed determines its random choices of affected calls.
func New(seed uint64) *Set {
	return &Set{random: rand.New(rand.NewPCG(seed, seed))}
}

// Inject activates a fault. It replaces an active fault of the same type with the same restriction.
func (s *Set) Inject(f Fault) error {
	if f.Rate < 0 || f.Rate > 1 {
		return fault.New(fault.Invalid, "switch fault", "", "Rate must be between 0 and 1, got %v", f.Rate)
	}
	if (f.Kind == Slow || f.Kind == Late) && f.Delay <= 0 {
		return fault.New(fault.Invalid, "switch fault", "", "%s requires a positive Delay", f.Kind)
	}
	s.mu.Lock()
	s.faults = slices.DeleteFunc(s.faults, f.sameScope)
	s.faults = append(s.faults, f)
	s.mu.Unlock()
	s.notify()
	if f.For > 0 {
		time.AfterFunc(f.For.Std(), func() { s.Clear(f) })
	}
	return nil
}

// Clear removes the active fault of the same type and with the same restriction as f.
func (s *Set) Clear(f Fault) {
	s.mu.Lock()
	s.faults = slices.DeleteFunc(s.faults, f.sameScope)
	s.mu.Unlock()
	s.notify()
}

// ClearAll removes all active faults.
func (s *Set) ClearAll() {
	s.mu.Lock()
	s.faults = nil
	s.mu.Unlock()
	s.notify()
}

// List returns the active faults.
func (s *Set) List() []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.faults)
}

// TriggerCounts returns the number of calls affected so far, by the name of the fault type.
func (s *Set) TriggerCounts() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]uint64{}
	for kind, n := range s.triggered {
		counts[kind.String()] = n
	}
	return counts
}

// Trigger reports whether an active fault of the type kind affects this call to the component, and returns that fault.
// It makes the random choice for the fault's Rate and counts the affected call.
func (s *Set) Trigger(component Component, kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, f := range s.faults {
		if f.Kind != kind || !f.appliesTo(component) {
			continue
		}
		if f.Rate == 0 || s.randomFloat() < f.Rate {
			s.countTrigger(i)
			return f, true
		}
	}
	return Fault{}, false
}

// countTrigger counts a call that the active fault at index affects, and removes the fault after the last of its Calls.
func (s *Set) countTrigger(index int) {
	if s.triggered == nil {
		s.triggered = map[Kind]uint64{}
	}
	s.triggered[s.faults[index].Kind]++
	if s.faults[index].Calls == 0 {
		return
	}
	if s.faults[index].Calls--; s.faults[index].Calls == 0 {
		s.faults = slices.Delete(s.faults, index, index+1)
	}
}

// Has reports whether a fault of the type kind is active for the component, regardless of its Rate.
func (s *Set) Has(component Component, kind Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.faults, func(f Fault) bool { return f.Kind == kind && f.appliesTo(component) })
}

// OnChange registers fn to be called after each change of the active faults.
func (s *Set) OnChange(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, fn)
}

// Changed returns a channel that is closed at the next change of the active faults.
func (s *Set) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// notify closes the channel that Changed returned and calls the functions registered with OnChange.
func (s *Set) notify() {
	s.mu.Lock()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	listeners := slices.Clone(s.listeners)
	s.mu.Unlock()
	for _, fn := range listeners {
		fn()
	}
}

// randomFloat returns a random number in [0, 1). A zero Set uses seed 0.
func (s *Set) randomFloat() float64 {
	if s.random == nil {
		s.random = rand.New(rand.NewPCG(0, 0))
	}
	return s.random.Float64()
}

// sameScope reports whether two faults have the same type and the same restriction.
func (f Fault) sameScope(other Fault) bool {
	return f.Peer == other.Peer && f.Kind == other.Kind && f.Name == other.Name && f.Rack == other.Rack && f.DataCentre == other.DataCentre
}

// appliesTo reports whether the component is among those that the fault is restricted to.
func (f Fault) appliesTo(component Component) bool {
	return f.Peer == component.Peer &&
		(f.Name == "" || f.Name == component.Name) &&
		(f.Rack == "" || f.Rack == component.Rack) &&
		(f.DataCentre == "" || f.DataCentre == component.DataCentre)
}
