package main

import (
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["crash"] = playCrash }

// Figures of the case "crash".
const (
	crashExecutors = 8
	crashID        = "00000000000000c0"
	// crashAfter is how long after the start of a work unit the bad executor crashes, and crashDown how long it is down.
	crashAfter, crashDown = 150 * time.Millisecond, 500 * time.Millisecond
	// crashTimes is how often it crashes.
	crashTimes = 5
)

// playCrash lets one executor of eight crash soon after each start, while the others are in use.
func playCrash(r *rig) bool {
	r.startStore()
	for range crashExecutors {
		r.addExecutor(capacity{CPU: 128000, MemMB: 262144, GPU: 8}, "a", "r1-1")
	}
	r.startInstances(3)
	time.Sleep(2 * time.Second)
	whole := map[string]any{"count": crashExecutors - 1, "cpu": 52000, "mem_mb": 110000, "gpu": 8, "estimated_ms": 60000}
	r.accepted("/recal/00000000000000c1", job("run=60000", whole))
	waitFor("the other executors are in use", 10*time.Second, func() bool { return r.runningUnits() == crashExecutors-1 })
	bad := r.idleExecutor()
	note("rig", "the idle executor is %s", bad.id)
	var crashes atomic.Int32
	if r.trouble {
		bad.onStart = func(string, int) {
			if crashes.Add(1) > crashTimes {
				return
			}
			time.AfterFunc(crashAfter, func() {
				bad.Crash()
				time.AfterFunc(crashDown, bad.Up)
			})
		}
	}
	path := "/recal/" + crashID
	r.accepted(path, job("run=2000", map[string]any{"count": 1, "cpu": 52000, "mem_mb": 110000, "gpu": 8, "estimated_ms": 2000}))
	state := ""
	holdsWithin(40*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		state = r.state(path)
		return state == "completed" || state == "failed" || state == "cancelled"
	})
	failures := 0
	for _, e := range r.executors {
		h := e.History()
		for _, s := range h.Starts {
			if strings.HasPrefix(s.Task, crashID) {
				note(e.id, "started %s run %d at %.3f", s.Task, s.Run, s.At.Sub(record.started).Seconds())
			}
		}
		for _, x := range h.Ends {
			if !strings.HasPrefix(x.Task, crashID) {
				continue
			}
			note(e.id, "run %d of %s ended: %s", x.Run, x.Task, x.How)
			if x.How == "failed" {
				failures++
			}
		}
	}
	note("rig", "the job is shown as %s; runs that ended failed: %d, of 4 attempts; nobody has cancelled it", state, failures)
	return state == "failed" && failures == 0 || state == "cancelled"
}

// idleExecutor returns an executor on which nothing runs.
func (r *rig) idleExecutor() *Executor {
	for _, e := range r.executors {
		if e.Running() == 0 {
			return e
		}
	}
	panic("no executor is idle")
}
