// Package fleets simulates the platform's fleet list, the list of all workers, backend servers and entry instances. It
// shows changes only after a delay, the lag.
package fleets

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/standin/faults"
)

// Config configures a List.
type Config struct {
	Workers   []fleet.Worker
	Servers   []fleet.Server
	Instances []fleet.Instance
	// Lag is the delay with which the list shows a change.
	Lag time.Duration
	// Faults holds the simulated faults that are active; nil for none. The list leaves out machines with a Die fault
	// and marks those with a Leave fault as leaving.
	Faults *faults.Set
}

// List is the simulated fleet list. It implements http.Handler for GET /v1/fleet.
type List struct {
	config Config

	mu        sync.Mutex
	instances []fleet.Instance
	history   []version
}

// version is a state of the list and the time of the change that led to it.
type version struct {
	since    time.Time
	snapshot fleet.Snapshot
}

// New creates a list, which shows the machines and instances of config immediately.
func New(config Config) *List {
	if config.Faults == nil {
		config.Faults = faults.New(0)
	}
	l := &List{config: config, instances: slices.Clone(config.Instances)}
	l.mu.Lock()
	l.recordVersion(time.Time{})
	l.mu.Unlock()
	config.Faults.OnChange(l.recordChange)
	return l
}

// Register adds or replaces an entry instance. The list shows the change after its lag.
func (l *List) Register(instance fleet.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeInstance(instance.Name)
	l.instances = append(l.instances, instance)
	l.recordVersion(time.Now())
}

// Remove removes an entry instance. The list shows the change after its lag.
func (l *List) Remove(name ident.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeInstance(name)
	l.recordVersion(time.Now())
}

// Current returns the state of the list with all changes, also those that it does not show yet.
func (l *List) Current() fleet.Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.history[len(l.history)-1].snapshot
}

// Snapshot returns the state that the list shows now. While a Stale fault is active, that state does not change.
func (l *List) Snapshot() fleet.Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	visibleAt := time.Now().Add(-l.config.Lag)
	for len(l.history) > 1 && !l.history[1].since.After(visibleAt) && !l.isStale() {
		l.history = l.history[1:]
	}
	return l.history[0].snapshot
}

// ServeHTTP handles GET /v1/fleet, which returns Snapshot. It supports conditional requests.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	component := faults.Component{Peer: faults.Fleet}
	l.config.Faults.Delay(r.Context(), component)
	if _, ok := l.config.Faults.Trigger(component, faults.Cut); ok {
		faults.Abort()
	}
	if _, ok := l.config.Faults.Trigger(component, faults.Down); ok {
		http.Error(w, "the list is down", http.StatusInternalServerError)
		return
	}
	if r.URL.Path != "/v1/fleet" || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	snapshot := l.Snapshot()
	etag := fmt.Sprintf("%q", strconv.FormatUint(snapshot.Sequence, 10))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(snapshot)
}

func (l *List) isStale() bool {
	return l.config.Faults.Has(faults.Component{Peer: faults.Fleet}, faults.Stale)
}

// recordChange records a new version of the list if a change of the active faults affects it.
func (l *List) recordChange() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordVersion(time.Now())
}

func (l *List) removeInstance(name ident.Instance) {
	l.instances = slices.DeleteFunc(slices.Clone(l.instances), func(i fleet.Instance) bool { return i.Name == name })
}

// recordVersion adds a version to the history if the list has changed. Sequence numbers start at the current Unix time
// in seconds, so that they also increase across restarts of the stand-in.
func (l *List) recordVersion(since time.Time) {
	next := l.buildSnapshot()
	if len(l.history) > 0 {
		last := l.history[len(l.history)-1].snapshot
		if sameMembers(last, next) {
			return
		}
		next.Sequence = last.Sequence + 1
	} else {
		next.Sequence = uint64(time.Now().Unix())
	}
	l.history = append(l.history, version{since: since, snapshot: next})
}

// buildSnapshot returns the current state of the list: the configured machines, as changed by the active faults, and
// the registered instances.
func (l *List) buildSnapshot() fleet.Snapshot {
	var snapshot fleet.Snapshot
	for _, worker := range l.config.Workers {
		component := faults.Component{Peer: faults.Worker, Name: string(worker.Name), Rack: worker.Rack, DataCentre: worker.DataCentre}
		if worker.State = l.memberState(component, worker.State); !l.config.Faults.Has(component, faults.Die) {
			snapshot.Workers = append(snapshot.Workers, worker)
		}
	}
	for _, server := range l.config.Servers {
		component := faults.Component{Peer: faults.Server, Name: string(server.Name), DataCentre: server.DataCentre}
		if server.State = l.memberState(component, server.State); !l.config.Faults.Has(component, faults.Die) {
			snapshot.Servers = append(snapshot.Servers, server)
		}
	}
	snapshot.Instances = slices.Clone(l.instances)
	return snapshot
}

func (l *List) memberState(component faults.Component, state ident.MemberState) ident.MemberState {
	if l.config.Faults.Has(component, faults.Leave) {
		return ident.Leaving
	}
	return state
}

// sameMembers reports whether two snapshots list the same machines and instances. It ignores their sequence numbers.
func sameMembers(a, b fleet.Snapshot) bool {
	return slices.Equal(a.Workers, b.Workers) && slices.Equal(a.Servers, b.Servers) && slices.Equal(a.Instances, b.Instances)
}
