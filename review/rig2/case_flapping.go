package main

import (
	"fmt"
	"time"
)

func init() { cases["flapping"] = playFlapping }

// playFlapping lets an executor go down and up by turns while a job waits that only this executor may run. Each process is a
// new life with an id of its own.
func playFlapping(r *rig) error {
	const (
		executors = 8
		// up and down are how long the executor is up and down in each period, and turns the number of periods.
		up, down, turns = 350 * time.Millisecond, 500 * time.Millisecond, 8
		job             = "00000000000000c1"
		finish          = 20 * time.Second
	)
	for range executors {
		kind := "a"
		if len(r.executors) == 0 {
			kind = "b"
		}
		if _, err := r.addDirectExecutor(kind); err != nil {
			return err
		}
	}
	flapping := r.executors[0]
	if err := r.start(3); err != nil {
		return err
	}
	r.sleep(2 * time.Second)
	if r.trouble {
		r.record.notef("executor "+flapping.id, "begins to go down and up, every %v", up+down)
		flapping.kill()
	}
	if err := r.submit(job, "1500", step{Count: 1, CPU: 1000, MemMB: 1024, GPU: 1, EstimatedMs: 1500, Requires: "b"}); err != nil {
		return err
	}
	if r.trouble {
		if err := r.flap(flapping, up, down, turns); err != nil {
			return err
		}
	}
	last := ""
	err := r.await("the end of job "+job, finish, func() bool {
		if now := r.state(job); now != last {
			last = now
			r.record.notef("client", "GET %s: %s", job, now)
		}
		return last == "completed" || last == "failed"
	})
	if err != nil {
		return err
	}
	failed := r.seen(func(ev seenEvent) bool { return ev.What == "end" && ev.How == "failed" })
	if last == "failed" && len(failed) == 0 {
		return broken("LOST: job %s is shown as failed, and no run of it has ended failed", job)
	}
	return nil
}

// flap lets an executor go up and down; at last it is up.
func (r *rig) flap(e *executorProcess, up, down time.Duration, turns int) error {
	base := e.id
	for turn := range turns {
		r.sleep(down)
		e.id = fmt.Sprintf("%s-%d", base, turn+1)
		if err := r.startExecutor(e, 0); err != nil {
			return err
		}
		if turn == turns-1 {
			break
		}
		r.sleep(up)
		e.kill()
		r.record.notef("executor "+e.id, "is down")
	}
	r.record.notef("executor "+e.id, "stays up from now on")
	return nil
}
