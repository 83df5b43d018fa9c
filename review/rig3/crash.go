package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	// crashes is how often each executor crashes, crashDelay how long after work has started on it, and downTime how long it is
	// down then.
	crashes    = 3
	crashDelay = 150 * time.Millisecond
	downTime   = time.Second
	ordinary   = "00000000000000a1"
	lasting    = "00000000000000a2"
)

// crash lets two of sixteen executors crash a few times soon after they have got work, and looks at the jobs that need them.
func crash(w *world) {
	w.behave = func(unit string, _ int) (time.Duration, string) {
		if strings.HasPrefix(unit, lasting) {
			return 0, ""
		}
		return 4 * time.Second, "done"
	}
	w.putConfig(1, 3)
	for range 14 {
		w.addExecutor("a")
	}
	needs := map[string]*executor{ordinary: w.addExecutor("b"), lasting: w.addExecutor("c")}
	w.riseAll()
	w.startDaemons(3)
	open := map[string]bool{}
	for job, e := range needs {
		step := map[string]any{"count": 1, "cpu": 4000, "mem_mb": 1024, "gpu": 1, "estimated_ms": 4000, "requires": e.kind}
		if job == lasting {
			step["long_running"] = true
		}
		if status, _ := w.call(w.daemons[0], http.MethodPost, "/q1/"+job, oneStep(step)); status/100 == 2 {
			open[job] = true
		}
	}
	done := make(chan bool)
	for job, e := range needs {
		go func() {
			for range crashes {
				if !w.trouble || !await(20*time.Second, func() bool { return e.runs(job) }) {
					break
				}
				time.Sleep(crashDelay)
				e.fall()
				time.Sleep(downTime)
				e.rise()
			}
			w.note("%s stays up from now on", e.id)
			done <- true
		}()
	}
	<-done
	<-done
	for calm := time.Now(); time.Since(calm) < 15*time.Second; time.Sleep(time.Second) {
		for job := range open {
			if w.state("/q1/"+job) == "failed" {
				failed, starts := w.count(job)
				w.breaks("LOST: %s is shown as failed; %d of the %d runs of its work unit have ended failed", job, failed, starts)
				delete(open, job)
			}
		}
	}
}

// oneStep returns a job with a step.
func oneStep(step map[string]any) map[string]any {
	return map[string]any{"spec": "work", "steps": []any{step}}
}

// await waits until something holds, and returns false if it has not held for a time.
func await(limit time.Duration, holds func() bool) bool {
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(5 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
