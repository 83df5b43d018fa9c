// Package ledger keeps what really ran on the stand-in's workers and backend servers.
package ledger

import (
	"strings"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/worker"
)

// Ledger records runs. It is safe for concurrent use.
type Ledger struct {
	notRepeated []string

	mu       sync.Mutex
	attempts map[worker.Part]*attempt
	requests map[ident.Request]*Request
	keys     map[keyed]*Request
	expected Expected
	refused  map[string]uint64
}

type attempt struct {
	size     int
	lease    time.Duration
	reserved map[ident.Worker]bool
	runs     []*run
}

type run struct {
	worker  ident.Worker
	started time.Time
	ended   time.Time
	state   ident.PartState
}

type keyed struct {
	path string
	key  ident.IdempotencyKey
}

// Request is what ran of a request id or of an idempotency key.
type Request struct {
	Request ident.Request
	Key     ident.IdempotencyKey
	Path    string
	Servers []ident.Server
	Runs    int
}

// New makes a Ledger. Requests under the path prefixes of notRepeated must run at most once.
func New(notRepeated []string) *Ledger {
	return &Ledger{
		notRepeated: notRepeated,
		attempts:    map[worker.Part]*attempt{},
		requests:    map[ident.Request]*Request{},
		keys:        map[keyed]*Request{},
		refused:     map[string]uint64{},
	}
}

// RecordReservation records that a worker set accelerators aside for a part under a lease.
func (l *Ledger) RecordReservation(at ident.Worker, part worker.Part, parts int, lease time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempt(part)
	a.reserved[at] = true
	a.lease = max(a.lease, lease)
	a.size = max(a.size, parts, len(a.reserved))
}

// RecordStart records that a part runs from now on.
func (l *Ledger) RecordStart(at ident.Worker, part worker.Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempt(part)
	a.runs = append(a.runs, &run{worker: at, started: time.Now(), state: ident.PartRunning})
}

// RecordEnd records how and when a running part ended.
func (l *Ledger) RecordEnd(at ident.Worker, part worker.Part, state ident.PartState, when time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.attempt(part).runs {
		if r.worker == at && r.ended.IsZero() {
			r.ended = when
			r.state = state
		}
	}
}

// RecordRequest records that a backend server began to run a request.
func (l *Ledger) RecordRequest(at ident.Server, request ident.Request, key ident.IdempotencyKey, path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[request]
	if r == nil {
		r = &Request{Request: request, Key: key, Path: path}
		l.requests[request] = r
	}
	r.Runs++
	r.Servers = append(r.Servers, at)
	if key == "" {
		return
	}
	k := l.keys[keyed{path, key}]
	if k == nil {
		k = &Request{Request: request, Key: key, Path: path}
		l.keys[keyed{path, key}] = k
	}
	k.Runs++
	k.Servers = append(k.Servers, at)
}

// RecordRefusal counts a request or connection that a backend server refused, by reason.
func (l *Ledger) RecordRefusal(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[reason]++
}

// AddExpected adds what callers were told.
func (l *Ledger) AddExpected(e Expected) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected.Succeeded = append(l.expected.Succeeded, e.Succeeded...)
	l.expected.Answered = append(l.expected.Answered, e.Answered...)
	l.expected.NotRun = append(l.expected.NotRun, e.NotRun...)
}

func (l *Ledger) attempt(part worker.Part) *attempt {
	a := l.attempts[part]
	if a == nil {
		a = &attempt{reserved: map[ident.Worker]bool{}}
		l.attempts[part] = a
	}
	return a
}

func (l *Ledger) once(path string) bool {
	for _, prefix := range l.notRepeated {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// RunCount counts the runs of requests to a path.
func (l *Ledger) RunCount(path string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.requests {
		if r.Path == path {
			n += r.Runs
		}
	}
	return n
}
