package main

import (
	"net/http"
	"strings"
	"time"
)

func init() { cases["pieces"] = playPieces }

// playPieces lets a guaranteed job of small work units take the rest of each executor, and another tenant ask for its
// guarantee in whole executors.
func playPieces(r *rig) bool {
	r.startStore()
	for range reclaimExecutors {
		r.addExecutor(capacity{CPU: 128000, MemMB: 262144, GPU: 8}, "a", "r1-1")
	}
	r.startInstances(3)
	time.Sleep(2 * time.Second)
	as := func(key, path string, step map[string]any) {
		step["estimated_ms"], step["mem_mb"] = 60000, 1000
		if r.instances[0].callAs(key, http.MethodPost, path, job("run=60000", step), 3*time.Second).status != http.StatusOK {
			panic("a job was not accepted")
		}
	}
	if r.trouble {
		as(otherKey, "/recal/00000000000000a4", map[string]any{"count": reclaimExecutors, "cpu": 11000, "gpu": 7})
		waitFor("the job of low priority runs", 20*time.Second, func() bool { return r.runningUnits() == reclaimExecutors })
	}
	before := r.runningUnits()
	as(otherKey, "/alert/00000000000000a5", map[string]any{"count": 8, "cpu": 1000, "gpu": 1})
	waitFor("the small guaranteed work units run", 10*time.Second, func() bool { return r.runningUnits() == before+8 })
	note("rig", "work units on executors: %s", r.perExecutor())
	as(apiKey, "/alert/00000000000000a6", map[string]any{"count": 2, "cpu": 11000, "gpu": 8})
	confirmed := time.Now()
	begun := func() int {
		count := 0
		for _, e := range r.executors {
			for _, s := range e.History().Starts {
				if strings.HasPrefix(s.Task, "00000000000000a6") {
					count++
				}
			}
		}
		return count
	}
	all := holdsWithin(20*time.Second, func() bool { return begun() == 2 })
	took := time.Since(confirmed)
	note("rig", "all work units of the other guaranteed job begun: %v, %.1f s after its confirmation; executors: %s", all, took.Seconds(), r.perExecutor())
	return !all || took > reclaimLimit
}
