package main

import (
	"net/http"
	"time"
)

const (
	// crashes is how often the executor crashes, crashDelay how long after work has started on it, and downTime how long it is
	// down then.
	crashes    = 3
	crashDelay = 150 * time.Millisecond
	downTime   = time.Second
	lasting    = "00000000000000a2"
)

// crash lets one of eight executors crash a few times soon after it has got work, and looks at the job that lasts and needs it.
func crash(w *world) {
	w.behave = func(string, int) (time.Duration, string) { return 0, "" }
	w.putConfig(1, 3)
	for range 7 {
		w.addExecutor("a")
	}
	special := w.addExecutor("b")
	w.riseAll()
	w.startDaemons(3)
	step := map[string]any{"count": 1, "cpu": 4000, "mem_mb": 1024, "gpu": 1, "estimated_ms": 4000, "requires": "b", "long_running": true}
	if status, _ := w.call(w.daemons[0], http.MethodPost, "/q1/"+lasting, oneStep(step)); status/100 != 2 {
		w.note("the job was not accepted")
		return
	}
	for range crashes {
		if !w.trouble || !await(20*time.Second, func() bool { return special.runs(lasting) }) {
			break
		}
		time.Sleep(crashDelay)
		special.fall()
		time.Sleep(downTime)
		special.rise()
	}
	w.note("%s stays up from now on", special.id)
	for calm := time.Now(); time.Since(calm) < 20*time.Second; time.Sleep(time.Second) {
		if w.state("/q1/"+lasting) == "failed" {
			failed, starts := w.count(lasting)
			w.breaks("LOST: %s, which is long_running, is shown as failed; %d of the %d runs of its work unit have ended failed", lasting, failed, starts)
			return
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
