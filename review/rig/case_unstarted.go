package main

import (
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["unstarted"] = playUnstarted }

// Figures of the case "unstarted".
const (
	unstartedExecutors = 8
	unstartedID        = "00000000000000b5"
	// unstartedDown is how long the executor is silent after each crash, at most the 4.5 s of the site file.
	unstartedDown = 2500 * time.Millisecond
	// unstartedTimes is how often it crashes.
	unstartedTimes = 8
)

// playUnstarted lets the only executor with room crash each time before it carries out an order.
func playUnstarted(r *rig) bool {
	r.startStore()
	for range unstartedExecutors {
		r.addExecutor(capacity{CPU: 128000, MemMB: 262144, GPU: 8}, "a", "r1-1")
	}
	r.startInstances(3)
	time.Sleep(2 * time.Second)
	whole := map[string]any{"count": unstartedExecutors - 1, "cpu": 52000, "mem_mb": 110000, "gpu": 8, "estimated_ms": 90000}
	r.accepted("/recal/00000000000000b4", job("run=100000", whole))
	waitFor("the other executors are in use", 15*time.Second, func() bool { return r.runningUnits() == unstartedExecutors-1 })
	bad := r.idleExecutor()
	note("rig", "the idle executor is %s", bad.id)
	var crashes atomic.Int32
	if r.trouble {
		bad.mu.Lock()
		bad.beforeStart = func() {
			if crashes.Add(1) <= unstartedTimes {
				bad.GoSilent()
				time.AfterFunc(unstartedDown, bad.Up)
			}
		}
		bad.mu.Unlock()
	}
	path := "/recal/" + unstartedID
	r.accepted(path, job("run=2000", map[string]any{"count": 1, "cpu": 52000, "mem_mb": 110000, "gpu": 8, "estimated_ms": 2000}))
	state := ""
	holdsWithin(70*time.Second, func() bool {
		time.Sleep(time.Second)
		state = r.state(path)
		return state == "completed" || state == "failed" || state == "cancelled"
	})
	begun := 0
	for _, e := range r.executors {
		for _, s := range e.History().Starts {
			if strings.HasPrefix(s.Task, unstartedID) {
				begun++
				note(e.id, "began %s run %d at %.3f", s.Task, s.Run, s.At.Sub(record.started).Seconds())
			}
		}
	}
	note("rig", "crashes: %d; runs of the work unit that have begun: %d; the job is shown as %s; nobody has cancelled it", crashes.Load(), begun, state)
	return state == "failed" && begun == 0 || state == "cancelled"
}
