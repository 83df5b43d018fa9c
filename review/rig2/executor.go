package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxListedEnds is the number of ends in an answer.
const maxListedEnds = 500

// executor is a stand-in of an executor process. All of its state is lost with the process.
type executor struct {
	id, machine, kind, rack, address, registry string
	holdMax, stopTime, firstBeat               time.Duration

	started time.Time
	mu      sync.Mutex
	fence   uint64
	// deadline is the end of the lease on the executor's clock, in milliseconds; 0 for none.
	deadline int64
	running  map[string]*run
	// finished holds the highest run of each work unit that was stopped or has ended here.
	finished map[string]int
	ends     []end
	lastEnd  int
	changed  chan struct{}
}

// run is a run of a work unit.
type run struct {
	task    string
	number  int
	began   time.Time
	length  time.Duration
	stopDue time.Time
}

// end is the end of a run.
type end struct {
	number, run int
	task, how   string
}

// order is the body of all calls to an executor.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	FenceToken uint64 `json:"fence_token"`
	LastSeen   int    `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
}

// event is a line that an executor prints for the record.
type event struct {
	What   string `json:"what"`
	Task   string `json:"task,omitempty"`
	Run    int    `json:"run,omitempty"`
	Number int    `json:"number,omitempty"`
	How    string `json:"how,omitempty"`
	Fence  uint64 `json:"fence,omitempty"`
}

// runExecutor runs an executor until it is killed.
func runExecutor(args []string) int {
	e := &executor{started: time.Now(), running: map[string]*run{}, finished: map[string]int{}, changed: make(chan struct{})}
	flags := flag.NewFlagSet("executor", flag.ExitOnError)
	listen := flags.String("listen", "", "address to listen on")
	flags.StringVar(&e.address, "address", "", "address to register")
	flags.StringVar(&e.id, "id", "", "id")
	flags.StringVar(&e.machine, "machine", "", "machine")
	flags.StringVar(&e.kind, "kind", "a", "kind")
	flags.StringVar(&e.rack, "rack", "r1", "rack")
	flags.StringVar(&e.registry, "registry", "", "address of the registry")
	flags.DurationVar(&e.holdMax, "hold-max", 6*time.Second, "longest lease")
	flags.DurationVar(&e.stopTime, "stop", 100*time.Millisecond, "time of a stop")
	flags.DurationVar(&e.firstBeat, "first-beat", 0, "time until the first heartbeat")
	_ = flags.Parse(args)
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", e.serve(e.start))
	mux.HandleFunc("POST /-/run-stop", e.serve(e.stop))
	mux.HandleFunc("POST /-/hold", e.serveHold)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	e.print(event{What: "up"})
	go e.beat()
	go e.tick()
	_ = http.Serve(listener, mux)
	return 0
}

// print prints an event.
func (e *executor) print(ev event) {
	line, _ := json.Marshal(ev)
	_, _ = os.Stdout.Write(append(line, '\n'))
}

// clock returns the executor's steady clock in milliseconds.
func (e *executor) clock() int64 { return time.Since(e.started).Milliseconds() + 1 }

// beat registers the executor in each heartbeat period.
func (e *executor) beat() {
	time.Sleep(e.firstBeat)
	for seq := 1; ; seq++ {
		entry := map[string]any{
			"service": serviceName, "address": e.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int{"cpu": 128000, "mem_mb": 262144, "gpu": 8}, "labels": []string{e.kind, e.rack},
			"clock_ms": e.clock(), "seq": seq, "born": e.started.UnixMilli(), "machine": e.machine,
		}
		body, _ := json.Marshal(entry)
		if resp, err := http.Post("http://"+e.registry+"/servers/"+e.id, "application/json", bytes.NewReader(body)); err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(heartbeat)
	}
}

// tick ends the runs that are due.
func (e *executor) tick() {
	for {
		time.Sleep(5 * time.Millisecond)
		e.mu.Lock()
		e.advance()
		e.mu.Unlock()
	}
}

// advance ends the runs that are due. The caller must hold mu.
func (e *executor) advance() {
	lapsed := e.clock() > e.deadline
	for _, r := range e.running {
		switch {
		case lapsed:
			e.endRun(r, "lapsed")
		case !r.stopDue.IsZero() && time.Now().After(r.stopDue):
			e.endRun(r, "stopped")
		case time.Since(r.began) >= r.length:
			e.endRun(r, "done")
		}
	}
}

// endRun ends a run. The caller must hold mu.
func (e *executor) endRun(r *run, how string) {
	delete(e.running, r.task)
	e.finished[r.task] = max(e.finished[r.task], r.number)
	e.lastEnd++
	e.ends = append(e.ends, end{number: e.lastEnd, run: r.number, task: r.task, how: how})
	e.print(event{What: "end", Task: r.task, Run: r.number, Number: e.lastEnd, How: how})
	close(e.changed)
	e.changed = make(chan struct{})
}

// admit checks what all calls have in common, and returns false if it has answered. The caller must hold mu.
func (e *executor) admit(w http.ResponseWriter, r *http.Request, o order) bool {
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
		writeJSON(w, http.StatusMisdirectedRequest, map[string]any{"clock_ms": e.clock()})
		return false
	}
	if o.FenceToken < e.fence {
		e.refuse(w, o, "fence")
		return false
	}
	e.fence = o.FenceToken
	e.advance()
	return true
}

// refuse answers 409 with a reason. The caller must hold mu.
func (e *executor) refuse(w http.ResponseWriter, o order, reason string) {
	if o.Task != "" {
		e.print(event{What: "refused", Task: o.Task, Run: o.Run, How: reason, Fence: o.FenceToken})
	}
	writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": e.clock(), "reason": reason})
}

// extend extends the lease to a deadline, by holdMax at most. The caller must hold mu.
func (e *executor) extend(deadline int64) {
	e.deadline = max(e.deadline, min(deadline, e.clock()+e.holdMax.Milliseconds()))
}

// serve returns a handler of orders.
func (e *executor) serve(carryOut func(http.ResponseWriter, order)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.admit(w, r, o) {
			carryOut(w, o)
		}
	}
}

// start carries out a start. The caller must hold mu.
func (e *executor) start(w http.ResponseWriter, o order) {
	if o.DeadlineMs != 0 && o.DeadlineMs <= e.clock() {
		e.refuse(w, o, "late")
		return
	}
	e.extend(o.DeadlineMs)
	current := e.running[o.Task]
	switch {
	case current != nil && current.number == o.Run:
	case o.Run <= e.finished[o.Task]:
		e.refuse(w, o, "old")
		return
	case current != nil:
		e.refuse(w, o, "room")
		return
	default:
		e.running[o.Task] = &run{task: o.Task, number: o.Run, began: time.Now(), length: runLength(o)}
		e.print(event{What: "start", Task: o.Task, Run: o.Run, Fence: o.FenceToken})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": e.clock()})
}

// runLength returns how long a work unit runs: the payload holds the milliseconds of each step, separated by spaces.
func runLength(o order) time.Duration {
	fields := strings.Fields(o.Spec)
	step, _ := strconv.Atoi(strings.Split(o.Task, ".")[2])
	ms, _ := strconv.Atoi(fields[min(step, len(fields)-1)])
	return time.Duration(ms) * time.Millisecond
}

// stop carries out a stop. The caller must hold mu.
func (e *executor) stop(w http.ResponseWriter, o order) {
	e.print(event{What: "stop", Task: o.Task, Run: o.Run, Fence: o.FenceToken})
	e.finished[o.Task] = max(e.finished[o.Task], o.Run)
	if r := e.running[o.Task]; r != nil && r.number == o.Run && r.stopDue.IsZero() {
		r.stopDue = time.Now().Add(e.stopTime)
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": e.clock()})
}

// serveHold carries out a hold, which may wait for an end.
func (e *executor) serveHold(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	defer timer.Stop()
	e.mu.Lock()
	if !e.admit(w, r, o) {
		e.mu.Unlock()
		return
	}
	if o.DeadlineMs != 0 {
		e.extend(o.DeadlineMs)
	}
	e.forget(o.LastSeen)
	for waiting := true; waiting && len(e.ends) == 0; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
		e.mu.Lock()
	}
	answer := e.lists()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

// forget forgets the ends up to a number, which have been taken note of. The caller must hold mu.
func (e *executor) forget(lastSeen int) {
	for len(e.ends) > 0 && e.ends[0].number <= lastSeen {
		noted := e.ends[0]
		e.ends = e.ends[1:]
		e.print(event{What: "noted", Task: noted.task, Run: noted.run, Number: noted.number, How: noted.how})
	}
}

// lists returns both lists. The caller must hold mu.
func (e *executor) lists() map[string]any {
	e.advance()
	running, ended := [][]any{}, [][]any{}
	for _, r := range e.running {
		percent := 100 * time.Since(r.began) / max(r.length, 1)
		running = append(running, []any{r.task, r.number, "", int(min(percent, 100)), 1000})
	}
	sort.Slice(running, func(a, b int) bool { return running[a][0].(string) < running[b][0].(string) })
	for _, d := range e.ends[:min(len(e.ends), maxListedEnds)] {
		ended = append(ended, []any{d.number, d.task, d.run, d.how, ""})
	}
	return map[string]any{"clock_ms": e.clock(), "born": e.started.UnixMilli(), "running": running, "ended": ended}
}
