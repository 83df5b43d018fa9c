package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["pending"] = playPending }

// Figures of the case "pending".
const (
	pendingExecutors = 8
	pendingJobs      = 8
	// pendingUnhealthy is how long an executor refuses starts, at most the 6.5 s of the site file.
	pendingUnhealthy = 6500 * time.Millisecond
	// pendingAge is visible_ms and 2 s, after which waiting jobs have to be counted.
	pendingAge = 5 * time.Second
)

// playPending lets one executor of eight refuse starts while the others are in use, and asks how many jobs wait.
func playPending(r *rig) bool {
	r.startStore()
	for range pendingExecutors {
		r.addExecutor(capacity{CPU: 128000, MemMB: 262144, GPU: 8}, "a", "r1-1")
	}
	r.startInstances(3)
	time.Sleep(2 * time.Second)
	whole := map[string]any{"count": pendingExecutors - 1, "cpu": 52000, "mem_mb": 110000, "gpu": 8, "estimated_ms": 60000}
	r.accepted("/recal/00000000000000c1", job("run=60000", whole))
	waitFor("the other executors are in use", 15*time.Second, func() bool { return r.runningUnits() == pendingExecutors-1 })
	last := r.idleExecutor()
	if r.trouble {
		last.SetUnhealthy(true)
	}
	for n := range pendingJobs {
		r.accepted(fmt.Sprintf("/fit/%016x", 0xd0+n), job("run=2000", map[string]any{"count": 1, "cpu": 11000, "mem_mb": 16000, "gpu": 1, "estimated_ms": 2000}))
	}
	accepted := time.Now()
	broken := false
	for time.Since(accepted) < 14*time.Second {
		time.Sleep(250 * time.Millisecond)
		if r.trouble && time.Since(accepted) > pendingUnhealthy && last.unhealthy {
			last.SetUnhealthy(false)
		}
		begun := r.begunJobs("00000000000000d")
		counts := ""
		for _, i := range r.instances {
			got := i.call(http.MethodGet, "/fit/", nil, 3*time.Second)
			counts += fmt.Sprintf(" %d", got.pending)
			if time.Since(accepted) > pendingAge+time.Second && got.status == http.StatusOK && 2*got.pending < pendingJobs-begun {
				broken = true
			}
		}
		note("rig", "accepted %.1f s ago: %d jobs, of which begun: %d; pending by instance:%s", time.Since(accepted).Seconds(), pendingJobs, begun, counts)
	}
	return broken
}

// begunJobs returns how many jobs of one work unit have begun whose ids begin with a prefix.
func (r *rig) begunJobs(prefix string) int {
	begun := map[string]bool{}
	for _, e := range r.executors {
		for _, s := range e.History().Starts {
			if strings.HasPrefix(s.Task, prefix) {
				begun[s.Task] = true
			}
		}
	}
	return len(begun)
}
