package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of executors, as in the settings.
const (
	heartbeat = 1500 * time.Millisecond
	// maxEndsListed is how many ends a hold returns at a time.
	maxEndsListed = 500
)

// capacity is what an executor has room for.
type capacity struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"mem_mb"`
	GPU   int `json:"gpu"`
}

// runKey is a run of a work unit.
type runKey struct {
	task string
	run  int
}

// unit is a work unit that runs.
type unit struct {
	run     int
	started time.Time
	length  time.Duration
	timer   *time.Timer
}

// end is an entry of the list of ends.
type end struct {
	n    int
	task string
	run  int
	how  string
	at   time.Time
}

// lifeKey is the key of the start time of the lifetime to which a channel was opened, in the context of a request.
type lifeKey struct{}

// Executor is a stand-in of an executor. One value lives through several lifetimes under the same id.
type Executor struct {
	id, service string
	store       *Store
	address     string
	capacity    capacity
	// holdMax is hold_max_ms.
	holdMax time.Duration
	// beforeStart is called when a start arrives, before anything is done for it; nil for nothing.
	beforeStart func()
	// onStart is called after a work unit has started; nil for nothing.
	onStart func(task string, run int)
	// firstBeatDelay is how long after its start a lifetime writes its first entry.
	firstBeatDelay time.Duration

	mu     sync.Mutex
	labels []string
	// unhealthy makes the executor refuse starts with 503; it does nothing for them then.
	unhealthy bool
	// lateness makes the executor leave starts unanswered and execute them that much later, in whatever lifetime there is then.
	lateness time.Duration
	// late counts these starts.
	late     int
	up       bool
	server   *http.Server
	listener net.Listener
	born     time.Time
	seq      int
	lastBeat time.Time
	fence    uint64
	deadline int64
	running  map[string]*unit
	highest  map[string]int
	ended    []end
	nextEnd  int
	woken    chan struct{}
	history  History
}

// History is what an executor has run in all its lifetimes.
type History struct {
	Starts []startRecord
	Ends   []endRecord
}

// startRecord is a start of a work unit.
type startRecord struct {
	Task   string
	Run    int
	At     time.Time
	Labels []string
	Spec   string
}

// endRecord is an end of a work unit, with the time at which last_seen reached it.
type endRecord struct {
	Task    string
	Run     int
	How     string
	At      time.Time
	NotedAt time.Time
}

// NewExecutor returns an executor that is not up.
func NewExecutor(store *Store, id, service string, c capacity, labels ...string) *Executor {
	return &Executor{id: id, service: service, store: store, capacity: c, labels: labels, holdMax: 10 * time.Second}
}

// Up starts a lifetime that holds nothing of former ones.
func (e *Executor) Up() {
	if e.address == "" {
		e.address = freeAddress()
	}
	e.mu.Lock()
	former := e.listener
	e.mu.Unlock()
	if former != nil {
		// Channels to a lifetime that has gone silent stay as they are.
		_ = former.Close()
	}
	listener, err := net.Listen("tcp", e.address)
	must(err)
	e.mu.Lock()
	e.up, e.born, e.seq, e.fence, e.deadline = true, time.Now(), 0, 0, 0
	e.running, e.highest, e.ended, e.nextEnd = map[string]*unit{}, map[string]int{}, nil, 1
	e.woken = make(chan struct{})
	life := e.born
	ctx, cancel := context.WithCancel(context.Background())
	e.server = &http.Server{Handler: e, BaseContext: func(net.Listener) context.Context { return context.WithValue(ctx, lifeKey{}, life) }}
	server := e.server
	e.listener = listener
	server.RegisterOnShutdown(cancel)
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go e.live(life)
	note(e.id, "up, labels %v", e.labels)
}

// Crash ends the lifetime: everything that runs is gone and nothing is said any more.
func (e *Executor) Crash() {
	e.mu.Lock()
	server := e.server
	e.up = false
	e.dropRunningLocked()
	e.mu.Unlock()
	_ = server.Close()
	note(e.id, "crashed")
}

// GoSilent ends the lifetime as Crash does, but leaves the channels open, on which nothing comes any more.
func (e *Executor) GoSilent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.up = false
	e.dropRunningLocked()
	note(e.id, "crashed and is silent")
}

// dropRunningLocked ends all that runs, without listing it. The caller must hold mu.
func (e *Executor) dropRunningLocked() {
	now := time.Now()
	for task, u := range e.running {
		u.timer.Stop()
		e.history.Ends = append(e.history.Ends, endRecord{Task: task, Run: u.run, How: "gone with the executor", At: now})
	}
	e.running = map[string]*unit{}
}

// live writes the executor's entry and ends what runs when the lease has expired, as long as this lifetime lasts.
func (e *Executor) live(life time.Time) {
	nextBeat := life.Add(e.firstBeatDelay)
	for {
		e.mu.Lock()
		if !e.up || !e.born.Equal(life) {
			e.mu.Unlock()
			return
		}
		now := time.Now()
		if e.clock(now) > e.deadline {
			for task, u := range e.running {
				u.timer.Stop()
				e.endLocked(task, u.run, "lapsed")
			}
		}
		var entry map[string]any
		if !now.Before(nextBeat) {
			nextBeat = now.Add(heartbeat)
			e.seq++
			entry = map[string]any{
				"service": e.service, "address": e.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
				"cold_remaining_ms": 0, "capacity": e.capacity, "labels": e.labels, "clock_ms": e.clock(now), "seq": e.seq,
				"born": e.born.UnixMilli(),
			}
		}
		e.mu.Unlock()
		if entry != nil {
			e.store.Put("servers", e.id, entry)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// clock returns the time on the executor's own clock.
func (e *Executor) clock(now time.Time) int64 {
	return 1000 + now.Sub(e.born).Milliseconds()
}

// endLocked ends a work unit and lists its end. The caller must hold mu.
func (e *Executor) endLocked(task string, run int, how string) {
	now := time.Now()
	delete(e.running, task)
	e.ended = append(e.ended, end{n: e.nextEnd, task: task, run: run, how: how, at: now})
	e.nextEnd++
	e.history.Ends = append(e.history.Ends, endRecord{Task: task, Run: run, How: how, At: now})
	close(e.woken)
	e.woken = make(chan struct{})
}

// forgetLocked forgets the ends up to lastSeen. The caller must hold mu.
func (e *Executor) forgetLocked(lastSeen int) {
	now := time.Now()
	noted := map[runKey]bool{}
	for len(e.ended) > 0 && e.ended[0].n <= lastSeen {
		noted[runKey{e.ended[0].task, e.ended[0].run}] = true
		e.ended = e.ended[1:]
	}
	if len(noted) == 0 {
		return
	}
	for i := range e.history.Ends {
		r := &e.history.Ends[i]
		if noted[runKey{r.Task, r.Run}] && r.NotedAt.IsZero() && !r.At.Before(e.born) {
			r.NotedAt = now
		}
	}
}

// serving reports whether the lifetime to which a request was sent is up.
func (e *Executor) serving(r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up && r.Context().Value(lifeKey{}) == e.born
}

// request is the body of all calls.
type request struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fence_token"`
	LastSeen int    `json:"last_seen"`
	WaitMs   int    `json:"wait_ms"`
}

// ServeHTTP serves the executor's calls.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Target-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var q request
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !e.serving(r) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/-/run-start":
		e.mu.Lock()
		beforeStart := e.beforeStart
		e.mu.Unlock()
		if beforeStart != nil {
			beforeStart()
		}
		if !e.serving(r) || e.takesLate(q) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		e.serveStart(w, q)
	case "/-/run-stop":
		e.serveStop(w, q)
	case "/-/hold":
		e.serveHold(w, r, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// fenced reports whether a call has too low a fence number, and keeps the highest one. The caller must hold mu.
func (e *Executor) fenced(q request) bool {
	if q.Fence < e.fence {
		return true
	}
	e.fence = q.Fence
	return false
}

// extend extends the lease of everything that runs. The caller must hold mu.
func (e *Executor) extend(q request) {
	e.deadline = max(e.deadline, min(q.Deadline, e.clock(time.Now())+e.holdMax.Milliseconds()))
}

// serveStart serves a start.
func (e *Executor) serveStart(w http.ResponseWriter, q request) {
	e.mu.Lock()
	status, reason := http.StatusOK, ""
	started := false
	if e.unhealthy {
		e.mu.Unlock()
		note(e.id, "refuses the start of %s run %d (503)", q.Task, q.Run)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch u := e.running[q.Task]; {
	case e.fenced(q):
		status, reason = http.StatusConflict, "fence"
	case u != nil && u.run == q.Run:
		e.extend(q)
	case u != nil || q.Run <= e.highest[q.Task]:
		e.extend(q)
		status, reason = http.StatusConflict, "old"
	case q.Deadline <= e.clock(time.Now()):
		status, reason = http.StatusConflict, "late"
	default:
		e.extend(q)
		e.highest[q.Task] = q.Run
		started = true
		length, run, life := specLength(q.Spec), q.Run, e.born
		u := &unit{run: run, started: time.Now(), length: length}
		u.timer = time.AfterFunc(length, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if current := e.running[q.Task]; e.up && e.born.Equal(life) && current != nil && current.run == run {
				e.endLocked(q.Task, run, "done")
			}
		})
		e.running[q.Task] = u
		e.history.Starts = append(e.history.Starts, startRecord{Task: q.Task, Run: run, At: u.started, Labels: e.labels, Spec: q.Spec})
	}
	clock, onStart := e.clock(time.Now()), e.onStart
	e.mu.Unlock()
	if started && onStart != nil {
		onStart(q.Task, q.Run)
	}
	reply(w, status, map[string]any{"clock_ms": clock, "reason": reason})
}

// takesLate executes a start later, without an answer, if the executor is in that state.
func (e *Executor) takesLate(q request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lateness == 0 {
		return false
	}
	e.late++
	note(e.id, "leaves the start of %s run %d unanswered, executes it %v later", q.Task, q.Run, e.lateness)
	time.AfterFunc(e.lateness, func() {
		if e.mu.Lock(); !e.up {
			e.mu.Unlock()
			return
		}
		e.mu.Unlock()
		answer := unreadResponse{}
		e.serveStart(&answer, q)
		note(e.id, "executes the late start of %s run %d: %d %s", q.Task, q.Run, answer.status, answer.body)
	})
	return true
}

// SetLateness makes the executor leave starts unanswered and execute them that much later; 0 makes it answer them.
func (e *Executor) SetLateness(lateness time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lateness = lateness
}

// lateCount returns how many starts were left unanswered.
func (e *Executor) lateCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.late
}

// unreadResponse is a response that nobody reads.
type unreadResponse struct {
	status int
	body   string
}

// Header returns an empty header.
func (h *unreadResponse) Header() http.Header { return http.Header{} }

// WriteHeader keeps the status.
func (h *unreadResponse) WriteHeader(status int) { h.status = status }

// Write keeps the body.
func (h *unreadResponse) Write(p []byte) (int, error) {
	h.body += strings.TrimSpace(string(p))
	return len(p), nil
}

// serveStop serves a stop.
func (e *Executor) serveStop(w http.ResponseWriter, q request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(q) {
		reply(w, http.StatusConflict, map[string]any{"clock_ms": e.clock(time.Now()), "reason": "fence"})
		return
	}
	e.highest[q.Task] = max(e.highest[q.Task], q.Run)
	if u := e.running[q.Task]; u != nil && u.run <= q.Run {
		u.timer.Stop()
		e.endLocked(q.Task, u.run, "stopped")
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": e.clock(time.Now())})
}

// serveHold serves a hold.
func (e *Executor) serveHold(w http.ResponseWriter, r *http.Request, q request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(q) {
		reply(w, http.StatusConflict, map[string]any{"clock_ms": e.clock(time.Now()), "reason": "fence"})
		return
	}
	e.extend(q)
	e.forgetLocked(q.LastSeen)
	timeout := time.After(time.Duration(q.WaitMs) * time.Millisecond)
	for wait := q.WaitMs > 0; wait && len(e.ended) == 0; {
		woken := e.woken
		e.mu.Unlock()
		select {
		case <-woken:
		case <-timeout:
			wait = false
		case <-r.Context().Done():
			wait = false
		}
		e.mu.Lock()
	}
	if !e.up || r.Context().Value(lifeKey{}) != e.born {
		e.mu.Unlock()
		<-r.Context().Done()
		e.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	now := time.Now()
	for task, u := range e.running {
		percent := int(now.Sub(u.started) * 100 / u.length)
		running = append(running, []any{task, u.run, "", min(percent, 99), 0})
	}
	for _, x := range e.ended[:min(len(e.ended), maxEndsListed)] {
		ended = append(ended, []any{x.n, x.task, x.run, x.how, ""})
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": e.clock(now), "born": e.born.UnixMilli(), "running": running, "ended": ended})
}

// Running returns the number of work units that run, and Unnoted the number of ends that are not taken note of.
func (e *Executor) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// Unnoted returns the number of ends that are listed.
func (e *Executor) Unnoted() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.ended)
}

// SetUnhealthy makes the executor refuse starts, or take them again.
func (e *Executor) SetUnhealthy(unhealthy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unhealthy = unhealthy
	note(e.id, "unhealthy: %v", unhealthy)
}

// History returns a copy of what the executor has run.
func (e *Executor) History() History {
	e.mu.Lock()
	defer e.mu.Unlock()
	return History{Starts: append([]startRecord(nil), e.history.Starts...), Ends: append([]endRecord(nil), e.history.Ends...)}
}

// specLength returns the run time that a spec of the form "run=MILLISECONDS" asks for; the first of several fields counts.
func specLength(spec string) time.Duration {
	for _, field := range strings.Fields(spec) {
		if text, ok := strings.CutPrefix(field, "run="); ok {
			ms, err := strconv.Atoi(text)
			must(err)
			return time.Duration(ms) * time.Millisecond
		}
	}
	must(fmt.Errorf("spec %q names no run time", spec))
	return 0
}

// reply sends a response.
func reply(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
