package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	serving = "00000000000000b1"
	filling = "00000000000000b2"
	// lastingLimit is how long a work unit that lasts may have no run after its last one: 6 s, and 3 s on end without one.
	lastingLimit = 9 * time.Second
	// calmAfter is how long after a disturbance the rule on work units that last holds again: stable_window_ms, the 4 s that
	// must be calm before, and the 3 s on end.
	calmAfter = 10 * time.Second
)

// apart takes an executor away for good that runs a work unit which serves, while work units that fill are on the executors that
// run none.
func apart(w *world) {
	w.behave = func(string, int) (time.Duration, string) { return 0, "" }
	w.putConfig(1, 3)
	for range 8 {
		w.addExecutor("a")
	}
	w.riseAll()
	w.startDaemons(3)
	serve := map[string]any{"count": 4, "cpu": 4000, "mem_mb": 1024, "gpu": 1, "estimated_ms": 1000, "long_running": true, "max_per_server": 1, "image": "shop", "target_ms": 200}
	fill := map[string]any{"count": 4, "cpu": 64000, "mem_mb": 1024, "estimated_ms": 1000, "long_running": true, "max_per_server": 1, "image": "index", "fills": true}
	for _, job := range []struct {
		path string
		step map[string]any
	}{{"/q1/" + serving, serve}, {"/q2/" + filling, fill}} {
		w.call(w.daemons[0], http.MethodPost, job.path, oneStep(job.step))
		time.Sleep(2 * time.Second)
	}
	if w.trouble {
		for _, e := range w.executes {
			if e.runs(serving) {
				e.fall()
				time.AfterFunc(3*heartbeat, func() { w.store.remove("servers", e.id) })
				break
			}
		}
	}
	fell := time.Now()
	since := map[string]time.Time{}
	told := map[string]bool{}
	for time.Since(fell) < 40*time.Second {
		time.Sleep(100 * time.Millisecond)
		for n := range 4 {
			unit := fmt.Sprintf("%s.0.0.%d", serving, n)
			if w.runsSomewhere(unit) {
				delete(since, unit)
				continue
			}
			if _, ok := since[unit]; !ok {
				since[unit] = time.Now()
			}
			if idle := time.Since(since[unit]); idle > lastingLimit && time.Since(fell) > calmAfter && !told[unit] {
				told[unit] = true
				w.breaks("LOST: %s has nothing running for %.1f s; 7 executors of 128 cores and 8 GPUs are up", unit, idle.Seconds())
			}
		}
	}
	w.state("/q1/" + serving)
	for unit, at := range since {
		w.note("%s has had no run for %.1f s", unit, time.Since(at).Seconds())
	}
}
