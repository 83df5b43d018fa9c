package main

import (
	"net/http"
	"strings"
	"time"
)

func init() { cases["reclaim"] = playReclaim }

// Figures of the case "reclaim".
const (
	reclaimExecutors = 8
	reclaimID        = "00000000000000a1"
	// reclaimLimit is reclaim_ms.
	reclaimLimit = 2700 * time.Millisecond
	// reclaimWatched is how long the case waits for the start.
	reclaimWatched = 30 * time.Second
)

// playReclaim lets a tenant use the idle accelerators for work units that last, and another one ask for its guarantee.
func playReclaim(r *rig) bool {
	r.startStore()
	for range reclaimExecutors {
		r.addExecutor(capacity{CPU: 128000, MemMB: 262144, GPU: 8}, "a", "r1-1")
	}
	r.startInstances(3)
	time.Sleep(2 * time.Second)
	step := map[string]any{"count": reclaimExecutors, "cpu": 52000, "mem_mb": 110000, "gpu": 8, "estimated_ms": 600000}
	if r.trouble {
		step["long_running"] = true
	}
	if got := r.instances[0].callAs(otherKey, http.MethodPost, "/recal/00000000000000a0", job("run=600000", step), 3*time.Second); got.status != http.StatusOK {
		must(got.err)
		panic("the job of the second tenant was not accepted")
	}
	waitFor("the second tenant uses most executors", 15*time.Second, func() bool { return r.runningUnits() > reclaimExecutors-2 })
	time.Sleep(5 * time.Second)
	note("rig", "work units of the second tenant at work, on executors: %s", r.perExecutor())
	r.accepted("/alert/"+reclaimID, job("run=2000", map[string]any{"count": 2, "cpu": 52000, "mem_mb": 110000, "gpu": 8, "estimated_ms": 2000}))
	confirmed := time.Now()
	started := func() int {
		count := 0
		for _, e := range r.executors {
			for _, s := range e.History().Starts {
				if strings.HasPrefix(s.Task, reclaimID) {
					count++
				}
			}
		}
		return count
	}
	all := holdsWithin(reclaimWatched, func() bool { return started() == 2 })
	took := time.Since(confirmed)
	note("rig", "all work units of the guaranteed job begun: %v, %.1f s after its confirmation; begun: %d of 2; executors: %s", all, took.Seconds(), started(), r.perExecutor())
	note("client", "the guaranteed job is shown as %s", r.state("/alert/"+reclaimID))
	return !all || took > reclaimLimit
}
