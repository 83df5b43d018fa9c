package main

import (
	"fmt"
	"time"
)

func init() { cases["record"] = playRecord }

// Figures of the case "record".
const (
	recordExecutors = 8
	recordUnits     = 800
	// recordAfter is how long after the last start the executor crashes, and recordDown how long it is silent, at most the
	// 4.5 s of the site file.
	recordAfter, recordDown = 20 * time.Millisecond, 2 * time.Second
	// finishTime is finish_s.
	finishTime = 14 * time.Second
)

// playRecord lets one executor of eight crash right after many work units of one job have started there.
func playRecord(r *rig) bool {
	r.startStore()
	for range recordExecutors {
		r.addExecutor(capacity{CPU: 128000, MemMB: 262144, GPU: 8}, "a", "r1-1")
	}
	r.startInstances(3)
	time.Sleep(2 * time.Second)
	r.accepted("/recal/00000000000000f0", job("run=8000", map[string]any{"count": recordUnits, "cpu": 150, "mem_mb": 256, "estimated_ms": 8000}))
	waitFor("all work units run", 10*time.Second, func() bool { return r.runningUnits() == recordUnits })
	note("rig", "all %d work units run, on executors: %s", recordUnits, r.perExecutor())
	time.Sleep(recordAfter)
	if r.trouble {
		for _, e := range r.executors {
			if e.Running() > recordUnits/2 {
				e.GoSilent()
				time.Sleep(recordDown)
				e.Up()
				break
			}
		}
	}
	time.Sleep(2 * time.Second)
	for n := range 3 {
		r.accepted(fmt.Sprintf("/fit/%016x", 0xf1+n), job("run=2000", map[string]any{"count": 2, "cpu": 52000, "mem_mb": 110000, "gpu": 4, "estimated_ms": 2000}))
	}
	accepted := time.Now()
	lastRunning := time.Now()
	finished := holdsWithin(finishTime+25*time.Second, func() bool {
		if r.runningUnits() > 0 {
			lastRunning = time.Now()
		}
		done := 0
		for _, e := range r.executors {
			for _, x := range e.History().Ends {
				if x.How == "done" {
					done++
				}
			}
		}
		return done == recordUnits+6
	})
	idle := time.Since(lastRunning)
	note("rig", "finished: %v, %.1f s after the last jobs were accepted; nothing has run on any executor for the last %.1f s", finished, time.Since(accepted).Seconds(), idle.Seconds())
	for n := range 4 {
		path := fmt.Sprintf("/fit/%016x", 0xf0+n)
		note("client", "the job %s is shown as %s", path, r.state(path))
	}
	return !finished && idle > finishTime+3*time.Second
}
