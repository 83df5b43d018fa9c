// Package ledger records what the simulated workers and backend servers executed, and compares it with the results that
// were reported to callers.
//
// A gang is a job whose parts run on one or more workers at the same time. Each try to run a job is an attempt, and a
// run is the execution of one part, or of one request on a backend server.
package ledger

import (
	"strings"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/worker"
)

// Ledger records reservations and runs of job attempts, and runs of requests. It is safe for concurrent use.
type Ledger struct {
	notRepeatedPrefixes []string

	mu       sync.Mutex
	attempts map[worker.Part]*attempt
	requests map[ident.Request]*Request
	keys     map[scopedKey]*Request
	expected Expected
	refusals map[string]uint64
}

// attempt records one attempt of a job: the size of its gang, the longest lease and the workers of its reservations,
// and its runs.
type attempt struct {
	gangSize     int
	longestLease time.Duration
	reservedOn   map[ident.Worker]bool
	runs         []*run
}

// run is one run of a part on a worker; ended is zero while the part is running.
type run struct {
	worker  ident.Worker
	started time.Time
	ended   time.Time
	state   ident.PartState
}

// scopedKey is an idempotency key together with the path of its requests. The same key on another path is another key.
type scopedKey struct {
	path string
	key  ident.IdempotencyKey
}

// Request records the runs of all requests with the same request id, or with the same idempotency key and path.
type Request struct {
	Request ident.Request
	Key     ident.IdempotencyKey
	Path    string
	Servers []ident.Server
	Runs    int
}

// New creates an empty Ledger. Requests must run at most once if their path starts with one of the prefixes in
// notRepeated.
func New(notRepeated []string) *Ledger {
	return &Ledger{
		notRepeatedPrefixes: notRepeated,
		attempts:            map[worker.Part]*attempt{},
		requests:            map[ident.Request]*Request{},
		keys:                map[scopedKey]*Request{},
		refusals:            map[string]uint64{},
	}
}

// RecordReservation records that a worker reserved accelerators for a part, with the duration of the lease. parts is
// the number of parts in the gang.
func (l *Ledger) RecordReservation(workerName ident.Worker, part worker.Part, parts int, lease time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempt(part)
	a.reservedOn[workerName] = true
	a.longestLease = max(a.longestLease, lease)
	a.gangSize = max(a.gangSize, parts, len(a.reservedOn))
}

// RecordStart records that a part started on a worker now.
func (l *Ledger) RecordStart(workerName ident.Worker, part worker.Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempt(part)
	a.runs = append(a.runs, &run{worker: workerName, started: time.Now(), state: ident.PartRunning})
}

// RecordEnd records the final state and the end time of a part that was running on a worker.
func (l *Ledger) RecordEnd(workerName ident.Worker, part worker.Part, state ident.PartState, endedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.attempt(part).runs {
		if r.worker == workerName && r.ended.IsZero() {
			r.ended = endedAt
			r.state = state
		}
	}
}

// RecordRequest records that a backend server started to process a request.
func (l *Ledger) RecordRequest(server ident.Server, request ident.Request, key ident.IdempotencyKey, path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byID := l.requests[request]
	if byID == nil {
		byID = &Request{Request: request, Key: key, Path: path}
		l.requests[request] = byID
	}
	byID.Runs++
	byID.Servers = append(byID.Servers, server)
	if key == "" {
		return
	}
	byKey := l.keys[scopedKey{path, key}]
	if byKey == nil {
		byKey = &Request{Request: request, Key: key, Path: path}
		l.keys[scopedKey{path, key}] = byKey
	}
	byKey.Runs++
	byKey.Servers = append(byKey.Servers, server)
}

// RecordRefusal counts, by reason, a request or connection that a backend server refused.
func (l *Ledger) RecordRefusal(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals[reason]++
}

// AddExpected adds results that were reported to callers. Report compares them with what ran.
func (l *Ledger) AddExpected(e Expected) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected.Succeeded = append(l.expected.Succeeded, e.Succeeded...)
	l.expected.Answered = append(l.expected.Answered, e.Answered...)
	l.expected.NotRun = append(l.expected.NotRun, e.NotRun...)
}

// attempt returns the record of the attempt that a part belongs to, and creates it if necessary.
func (l *Ledger) attempt(part worker.Part) *attempt {
	a := l.attempts[part]
	if a == nil {
		a = &attempt{reservedOn: map[ident.Worker]bool{}}
		l.attempts[part] = a
	}
	return a
}

// mustRunOnce reports whether requests to the path must run at most once.
func (l *Ledger) mustRunOnce(path string) bool {
	for _, prefix := range l.notRepeatedPrefixes {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// RunCount returns the total number of runs of requests to a path.
func (l *Ledger) RunCount(path string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, r := range l.requests {
		if r.Path == path {
			total += r.Runs
		}
	}
	return total
}
