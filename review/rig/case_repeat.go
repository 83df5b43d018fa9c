package main

import "time"

func init() { cases["repeat"] = playRepeat }

// Figures of the case "repeat".
const (
	repeatExecutors = 8
	repeatInterval  = 2
	repeatTimes     = 30000
	repeatTimesFew  = 2000
)

// playRepeat lets a job repeat so often that the numbers of its occurrences don't fit in a row of the store.
func playRepeat(r *rig) bool {
	r.startStore()
	for range repeatExecutors {
		r.addExecutor(capacity{CPU: 128000, MemMB: 262144, GPU: 8}, "a", "r1-1")
	}
	r.startInstances(3)
	time.Sleep(2 * time.Second)
	times := repeatTimes
	if !r.trouble {
		times = repeatTimesFew
	}
	body := job("run=20", map[string]any{"count": 1, "cpu": 500, "mem_mb": 256, "estimated_ms": 20})
	body["repeat_count"], body["start_at_ms"], body["interval_ms"] = times, time.Now().UnixMilli(), repeatInterval
	r.accepted("/recal/00000000000000a0", body)
	begun := time.Now()
	for time.Since(begun) < 80*time.Second {
		time.Sleep(4 * time.Second)
		done := 0
		for _, e := range r.executors {
			done += len(e.History().Ends)
		}
		note("rig", "occurrences ended: %d, running %d", done, r.runningUnits())
	}
	r.accepted("/fit/00000000000000a1", job("run=2000", map[string]any{"count": 2, "cpu": 52000, "mem_mb": 110000, "gpu": 4, "estimated_ms": 2000}))
	time.Sleep(20 * time.Second)
	state := r.state("/fit/00000000000000a1")
	note("client", "the other job is shown as %s", state)
	return state != "completed"
}
