package main

import (
	"os"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["holder"] = playHolder }

// playHolder kills the leader, or two in a row if TWO is set, as the executor of a long-running work unit is lost for good.
func playHolder(r *rig) bool {
	r.startStore()
	for range 8 {
		r.addExecutor(capacity{CPU: 128000, MemMB: 262144, GPU: 8}, "a", "r1-1")
	}
	r.startInstances(3)
	time.Sleep(2 * time.Second)
	r.accepted("/recal/00000000000000b7", job("run=600000", map[string]any{"count": 1, "cpu": 4000, "mem_mb": 1000, "gpu": 1, "estimated_ms": 600000, "long_running": true}))
	waitFor("the work unit runs", 15*time.Second, func() bool { return r.runningUnits() == 1 })
	time.Sleep(15 * time.Second)
	var at *Executor
	for _, e := range r.executors {
		if e.Running() == 1 {
			at = e
		}
	}
	at.GoSilent()
	time.AfterFunc(4500*time.Millisecond, func() { r.store.Remove("servers", at.id) })
	lost := time.Now()
	for range 2 {
		var leader *instance
		waitFor("there is a leader", 5*time.Second, func() bool {
			for _, i := range r.instances {
				data, _ := os.ReadFile(filepath.Join(r.dir, i.name+".log"))
				if strings.Contains(string(data), "lease won") && i.command.ProcessState == nil {
					leader = i
				}
			}
			return leader != nil
		})
		if r.trouble {
			note(leader.name, "the leader is killed")
			_ = leader.command.Process.Kill()
			_ = leader.command.Wait()
		}
		if os.Getenv("TWO") == "" {
			break
		}
	}
	waitFor("it runs again", 40*time.Second, func() bool { return r.runningUnits() == 1 })
	note("rig", "nothing has run for %.2f s", time.Since(lost).Seconds())
	return time.Since(lost) > 9*time.Second
}
