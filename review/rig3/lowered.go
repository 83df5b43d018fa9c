package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	retried  = "00000000000000c1"
	blocking = "00000000000000c2"
)

// lowered kills the daemon that schedules right after a config that lowers attempts, while a work unit that has failed once waits
// for room, and looks at its job.
func lowered(w *world) {
	w.behave = func(unit string, number int) (time.Duration, string) {
		switch {
		case strings.HasPrefix(unit, retried) && number == 1:
			return 2 * time.Second, "failed"
		case strings.HasPrefix(unit, blocking):
			return 6 * time.Second, "done"
		}
		return 2 * time.Second, "done"
	}
	w.putConfig(1, 3)
	for range 7 {
		w.addExecutor("a")
	}
	w.addExecutor("b")
	w.riseAll()
	w.startDaemons(3)
	step := map[string]any{"count": 1, "cpu": 4000, "mem_mb": 1024, "gpu": 8, "estimated_ms": 2000, "requires": "b"}
	w.call(w.daemons[0], http.MethodPost, "/q2/"+retried, oneStep(step))
	time.Sleep(time.Second)
	w.call(w.daemons[0], http.MethodPost, "/q1/"+blocking, oneStep(step))
	unit := retried + ".0.0.0"
	if !await(10*time.Second, func() bool { return w.runsSomewhere(blocking) }) || w.starts(unit) != 1 {
		w.note("the second job did not run between the runs of the first one")
	}
	time.Sleep(time.Second)
	leader := w.leader()
	w.putConfig(2, 1)
	if w.trouble {
		leader.kill()
		time.AfterFunc(3*time.Second, leader.start)
	}
	await(10*time.Second, func() bool { return !w.runsSomewhere(blocking) })
	free := time.Now()
	for time.Since(free) < 25*time.Second {
		time.Sleep(time.Second)
		state := w.state("/q2/" + retried)
		if state == "completed" || state == "failed" {
			return
		}
		if !w.runsSomewhere(unit) && time.Since(free) > 20*time.Second {
			w.breaks("LOST: %s is shown as %s, and has had nothing running for %.0f s; all executors are idle", retried, state, time.Since(free).Seconds())
			return
		}
	}
}
