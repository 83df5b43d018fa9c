package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two writes of an executor's entry.
	heartbeat = 1500 * time.Millisecond
	// maxHold is the longest lease that an executor grants.
	maxHold = 6 * time.Second
	// stopTime is how long an executor takes to stop a work unit; the limit is 400 ms.
	stopTime = 50 * time.Millisecond
	// maxEnds is the number of ends that an executor lists at a time.
	maxEnds = 500
)

// run is a work unit at work.
type run struct {
	unit      string
	number    int
	startedAt time.Time
	length    time.Duration
	how       string
	stopping  bool
}

// ended is the end of a run.
type ended struct {
	n      int
	unit   string
	number int
	how    string
}

// executor is a stand-in for an executor. It may be down, and starts again under the same id with a new life.
type executor struct {
	w                       *world
	id, machine, kind, rack string
	address                 string

	mu       sync.Mutex
	server   *http.Server
	conns    map[net.Conn]bool
	life     int
	up       bool
	born     time.Time
	fence    int64
	deadline int64
	seq      int
	lastEnd  int
	running  map[string]*run
	ends     []ended
	refused  map[string]int
	changed  chan struct{}
	// healed is closed when the executor is no longer cut off from the daemons; nil if it is not.
	healed chan struct{}
}

// clockMs returns the executor's steady clock, which starts with each life.
func (e *executor) clockMs() int64 { return time.Since(e.born).Milliseconds() + 1000 }

// rise starts a new life of the executor.
func (e *executor) rise() {
	e.mu.Lock()
	listener, err := net.Listen("tcp", e.address)
	check(err)
	e.life++
	life := e.life
	e.up, e.born, e.fence, e.deadline, e.seq, e.lastEnd = true, time.Now(), 0, 0, 0, 0
	e.running, e.ends, e.refused, e.conns = map[string]*run{}, nil, map[string]int{}, map[net.Conn]bool{}
	e.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", e.id) })
	mux.HandleFunc("/-/run-start", e.guard(life, e.start))
	mux.HandleFunc("/-/run-stop", e.guard(life, e.stop))
	mux.HandleFunc("/-/hold", e.guard(life, e.hold))
	e.server = &http.Server{Handler: mux, ConnState: func(c net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if state == http.StateClosed || state == http.StateHijacked {
			delete(e.conns, c)
		} else if e.life == life && e.up {
			e.conns[c] = true
		}
	}}
	server := e.server
	e.mu.Unlock()
	e.w.note("%s up, life %d", e.id, life)
	go func() { _ = server.Serve(listener) }()
	go e.beat(life)
	go e.expire(life)
}

// fall ends the life of the executor as a crash does: its connections are reset and everything that runs on it is gone.
func (e *executor) fall() {
	e.mu.Lock()
	e.up = false
	conns, server := e.conns, e.server
	gone := len(e.running)
	for unit, r := range e.running {
		e.w.note("%s crashes with %s run %d, %d ms after its start", e.id, unit, r.number, time.Since(r.startedAt).Milliseconds())
	}
	e.running, e.conns = map[string]*run{}, map[net.Conn]bool{}
	close(e.changed)
	e.mu.Unlock()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = server.Close()
	e.w.note("%s down, %d running", e.id, gone)
}

// beat writes the executor's entry while its life lasts.
func (e *executor) beat(life int) {
	for {
		e.mu.Lock()
		if !e.up || e.life != life {
			e.mu.Unlock()
			return
		}
		e.seq++
		entry := map[string]any{
			"service": "svc", "address": e.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int{"cpu": 128000, "mem_mb": 262144, "gpu": 8}, "labels": []string{e.kind, e.rack},
			"clock_ms": e.clockMs(), "born": e.born.UnixMilli(), "seq": e.seq, "machine": e.machine,
		}
		e.mu.Unlock()
		e.w.store.put("servers", e.id, entry)
		time.Sleep(heartbeat)
	}
}

// expire ends runs that are over, and all of them when the lease has expired.
func (e *executor) expire(life int) {
	for {
		time.Sleep(5 * time.Millisecond)
		e.mu.Lock()
		if !e.up || e.life != life {
			e.mu.Unlock()
			return
		}
		for _, r := range e.running {
			switch {
			case e.clockMs() > e.deadline:
				e.end(r, "lapsed")
			case r.length > 0 && time.Since(r.startedAt) >= r.length:
				e.end(r, r.how)
			}
		}
		e.mu.Unlock()
	}
}

// end ends a run. The caller must hold mu.
func (e *executor) end(r *run, how string) {
	if e.running[r.unit] != r {
		return
	}
	delete(e.running, r.unit)
	e.lastEnd++
	e.ends = append(e.ends, ended{n: e.lastEnd, unit: r.unit, number: r.number, how: how})
	e.refused[r.unit] = max(e.refused[r.unit], r.number)
	close(e.changed)
	e.changed = make(chan struct{})
	e.w.ended(e, r, how)
}

// order is the body of all calls to an executor.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	FenceToken int64  `json:"fence_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int    `json:"last_seen"`
	WaitMs     int    `json:"wait_ms"`
}

// guard decodes a call and rejects those for another executor or under a lower fence number.
func (e *executor) guard(life int, serve func(http.ResponseWriter, *http.Request, order)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if e.isLost(r) || e.w.isLate(e, r, o) {
			return
		}
		e.mu.Lock()
		if !e.up || e.life != life {
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
			e.mu.Unlock()
			reply(w, http.StatusMisdirectedRequest, map[string]any{"clock_ms": e.clockMs()})
			return
		}
		if o.FenceToken < e.fence {
			e.mu.Unlock()
			reply(w, http.StatusConflict, map[string]any{"clock_ms": e.clockMs(), "reason": "fence"})
			return
		}
		e.fence = o.FenceToken
		e.deadline = max(e.deadline, min(o.DeadlineMs, e.clockMs()+maxHold.Milliseconds()))
		e.mu.Unlock()
		serve(w, r, o)
	}
}

// start serves the order to start a work unit.
func (e *executor) start(w http.ResponseWriter, _ *http.Request, o order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	status, reason := http.StatusOK, ""
	r := e.running[o.Task]
	switch {
	case r != nil && r.number == o.Run:
	case o.Run <= e.refused[o.Task] || r != nil:
		status, reason = http.StatusConflict, "old"
	case o.DeadlineMs <= e.clockMs():
		status, reason = http.StatusConflict, "late"
	default:
		length, how := e.w.behaviour(o.Task, o.Run)
		r = &run{unit: o.Task, number: o.Run, startedAt: time.Now(), length: length, how: how}
		e.running[o.Task] = r
		e.w.beganRun(e, r, o)
	}
	body := map[string]any{"clock_ms": e.clockMs()}
	if reason != "" {
		body["reason"] = reason
	}
	reply(w, status, body)
}

// stop serves the order to stop a work unit.
func (e *executor) stop(w http.ResponseWriter, _ *http.Request, o order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.w.note("%s is told to stop %s run %d", e.id, o.Task, o.Run)
	if r := e.running[o.Task]; r != nil && r.number <= o.Run && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.end(r, "stopped")
		})
	}
	e.refused[o.Task] = max(e.refused[o.Task], o.Run)
	reply(w, http.StatusOK, map[string]any{"clock_ms": e.clockMs()})
}

// hold serves a lease renewal.
func (e *executor) hold(w http.ResponseWriter, r *http.Request, o order) {
	e.mu.Lock()
	for len(e.ends) > 0 && e.ends[0].n <= o.LastSeen {
		e.w.acknowledged(e, e.ends[0])
		e.ends = e.ends[1:]
	}
	life := e.life
	if o.WaitMs > 0 && len(e.ends) == 0 {
		timer := time.NewTimer(time.Duration(o.WaitMs) * time.Millisecond)
		defer timer.Stop()
	wait:
		for len(e.ends) == 0 && e.up && e.life == life {
			changed := e.changed
			e.mu.Unlock()
			select {
			case <-changed:
			case <-timer.C:
				e.mu.Lock()
				break wait
			case <-r.Context().Done():
				return
			}
			e.mu.Lock()
		}
	}
	e.mu.Unlock()
	if e.isLost(r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up || e.life != life {
		panic(http.ErrAbortHandler)
	}
	running, ends := [][]any{}, [][]any{}
	for _, r := range e.running {
		percent := 100
		if r.length > 0 {
			percent = int(min(100, 100*time.Since(r.startedAt)/r.length))
		}
		running = append(running, []any{r.unit, r.number, "", percent, 0})
	}
	sort.Slice(running, func(a, b int) bool { return fmt.Sprint(running[a][0]) < fmt.Sprint(running[b][0]) })
	for _, end := range e.ends[:min(len(e.ends), maxEnds)] {
		ends = append(ends, []any{end.n, end.unit, end.number, end.how, ""})
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": e.clockMs(), "born": e.born.UnixMilli(), "running": running, "ended": ends})
}

// runs reports whether a work unit of a job is at work on the executor.
func (e *executor) runs(job string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for unit := range e.running {
		if strings.HasPrefix(unit, job) {
			return true
		}
	}
	return false
}

// cut cuts the executor off from the daemons for a time: no call and no answer passes.
func (e *executor) cut(length time.Duration) {
	healed := make(chan struct{})
	e.mu.Lock()
	e.healed = healed
	e.mu.Unlock()
	e.w.note("%s is cut off from all daemons", e.id)
	time.AfterFunc(length, func() {
		e.mu.Lock()
		e.healed = nil
		e.mu.Unlock()
		close(healed)
		e.w.note("%s is reachable again", e.id)
	})
}

// isLost waits while the executor is cut off, and reports whether the caller of a request has given up meanwhile.
func (e *executor) isLost(r *http.Request) bool {
	e.mu.Lock()
	healed := e.healed
	e.mu.Unlock()
	if healed == nil {
		return false
	}
	select {
	case <-healed:
		return r.Context().Err() != nil
	case <-r.Context().Done():
		return true
	}
}

// startLate carries out a start that got no answer, in whatever life the executor has then.
func (e *executor) startLate(o order) {
	e.mu.Lock()
	up, fenced := e.up, o.FenceToken < e.fence
	if up && !fenced {
		e.fence = o.FenceToken
		e.deadline = max(e.deadline, min(o.DeadlineMs, e.clockMs()+maxHold.Milliseconds()))
	}
	e.mu.Unlock()
	e.w.note("%s carries the late start of %s run %d out; fence_token %d, refused for a higher one: %v", e.id, o.Task, o.Run, o.FenceToken, fenced)
	if up && !fenced {
		e.start(httptest.NewRecorder(), nil, o)
	}
}
