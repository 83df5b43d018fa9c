// Package fleets plays the platform's list of machines, which lags behind the truth.
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

// Config makes a list.
type Config struct {
	Workers   []fleet.Worker
	Servers   []fleet.Server
	Instances []fleet.Instance
	// Lag is how far the list lies back.
	Lag time.Duration
	// Faults are the faults that are on; dead machines vanish from the list and leaving ones are marked.
	Faults *faults.Set
}

// List is the list as an http.Handler of GET /v1/fleet.
type List struct {
	config Config

	mu        sync.Mutex
	instances []fleet.Instance
	history   []version
}

// version is the list from a time on.
type version struct {
	since    time.Time
	snapshot fleet.Snapshot
}

// New makes a list that shows its first content at once.
func New(config Config) *List {
	if config.Faults == nil {
		config.Faults = faults.New(0)
	}
	l := &List{config: config, instances: slices.Clone(config.Instances)}
	l.mu.Lock()
	l.record(time.Time{})
	l.mu.Unlock()
	config.Faults.OnChange(l.refresh)
	return l
}

// Register adds an entry instance or changes it. The list shows it after the lag.
func (l *List) Register(instance fleet.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(instance.Name)
	l.instances = append(l.instances, instance)
	l.record(time.Now())
}

// Remove takes an entry instance out.
func (l *List) Remove(name ident.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(name)
	l.record(time.Now())
}

// Current returns the list without its lag.
func (l *List) Current() fleet.Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.history[len(l.history)-1].snapshot
}

// Snapshot returns the list as it is shown now.
func (l *List) Snapshot() fleet.Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	shown := time.Now().Add(-l.config.Lag)
	for len(l.history) > 1 && !l.history[1].since.After(shown) && !l.held() {
		l.history = l.history[1:]
	}
	return l.history[0].snapshot
}

// ServeHTTP answers GET /v1/fleet.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := faults.Component{Peer: faults.Fleet}
	l.config.Faults.Delay(r.Context(), at)
	if _, ok := l.config.Faults.Trigger(at, faults.Cut); ok {
		faults.Abort()
	}
	if _, ok := l.config.Faults.Trigger(at, faults.Down); ok {
		http.Error(w, "the list is down", http.StatusInternalServerError)
		return
	}
	if r.URL.Path != "/v1/fleet" || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	shown := l.Snapshot()
	tag := fmt.Sprintf("%q", strconv.FormatUint(shown.Sequence, 10))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(shown)
}

func (l *List) held() bool {
	return l.config.Faults.Has(faults.Component{Peer: faults.Fleet}, faults.Stale)
}

func (l *List) refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(time.Now())
}

func (l *List) remove(name ident.Instance) {
	l.instances = slices.DeleteFunc(slices.Clone(l.instances), func(i fleet.Instance) bool { return i.Name == name })
}

// record adds a version when the truth has changed. Sequences start at the Unix time, so that they rise over restarts.
func (l *List) record(since time.Time) {
	next := l.truth()
	if len(l.history) > 0 {
		last := l.history[len(l.history)-1].snapshot
		if equal(last, next) {
			return
		}
		next.Sequence = last.Sequence + 1
	} else {
		next.Sequence = uint64(time.Now().Unix())
	}
	l.history = append(l.history, version{since: since, snapshot: next})
}

func (l *List) truth() fleet.Snapshot {
	var out fleet.Snapshot
	for _, w := range l.config.Workers {
		at := faults.Component{Peer: faults.Worker, Name: string(w.Name), Rack: w.Rack, DataCentre: w.DataCentre}
		if w.State = l.state(at, w.State); !l.config.Faults.Has(at, faults.Die) {
			out.Workers = append(out.Workers, w)
		}
	}
	for _, s := range l.config.Servers {
		at := faults.Component{Peer: faults.Server, Name: string(s.Name), DataCentre: s.DataCentre}
		if s.State = l.state(at, s.State); !l.config.Faults.Has(at, faults.Die) {
			out.Servers = append(out.Servers, s)
		}
	}
	out.Instances = slices.Clone(l.instances)
	return out
}

func (l *List) state(at faults.Component, state ident.MemberState) ident.MemberState {
	if l.config.Faults.Has(at, faults.Leave) {
		return ident.Leaving
	}
	return state
}

func equal(a, b fleet.Snapshot) bool {
	return slices.Equal(a.Workers, b.Workers) && slices.Equal(a.Servers, b.Servers) && slices.Equal(a.Instances, b.Instances)
}
