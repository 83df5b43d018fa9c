package main

import (
	"net/http"
	"strings"
	"time"
)

func init() { cases["apart"] = playApart }

// Figures of the case "apart".
const (
	apartExecutors = 8
	apartID        = "00000000000000a3"
	// apartWatched is how long the case waits for the second job, beyond finish_s and the 3 s of the rule.
	apartWatched = 25 * time.Second
)

// playApart lets work units that fill run on each executor, and then submits a job that serves, for which there is room
// everywhere.
func playApart(r *rig) bool {
	r.startStore()
	for range apartExecutors {
		r.addExecutor(capacity{CPU: 128000, MemMB: 262144, GPU: 8}, "a", "r1-1")
	}
	r.startInstances(3)
	time.Sleep(2 * time.Second)
	filling := map[string]any{"count": apartExecutors, "cpu": 4000, "mem_mb": 1000, "estimated_ms": 600000, "long_running": true, "max_per_server": 1, "image": "x"}
	if r.trouble {
		filling["fills"] = true
	}
	if got := r.instances[0].callAs(otherKey, http.MethodPost, "/recal/00000000000000a2", job("run=600000", filling), 3*time.Second); got.status != http.StatusOK {
		panic("the first job was not accepted")
	}
	waitFor("the first job runs on all executors", 15*time.Second, func() bool { return r.runningUnits() == apartExecutors })
	serving := map[string]any{"count": 2, "cpu": 4000, "mem_mb": 1000, "gpu": 1, "estimated_ms": 600000, "long_running": true, "image": "y", "target_ms": 50}
	r.accepted("/fit/"+apartID, job("run=600000", serving))
	accepted := time.Now()
	begun := func() int {
		count := 0
		for _, e := range r.executors {
			for _, s := range e.History().Starts {
				if strings.HasPrefix(s.Task, apartID) {
					count++
				}
			}
		}
		return count
	}
	all := holdsWithin(apartWatched, func() bool { return begun() == 2 })
	note("rig", "the second job's work units have begun: %d of 2, %.1f s after its confirmation; executors: %s", begun(), time.Since(accepted).Seconds(), r.perExecutor())
	note("rig", "in use: 32 of 1024 cores and 8 of 2048 GB, 0 of 64 GPUs")
	note("client", "the second job is shown as %s", r.state("/fit/"+apartID))
	return !all
}
