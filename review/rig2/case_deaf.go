package main

import (
	"fmt"
	"time"
)

// deafPayload is the payload of short work: each work unit of any step runs for 100 ms.
const deafPayload = "100"

func init() { cases["deaf"] = playDeaf }

// playDeaf cuts an executor off from the instances for longer than its lease while it gets work, twice in a row. The executor
// runs on. Then short jobs come which only this executor may run, until it has listed more ends than an answer holds.
func playDeaf(r *rig) error {
	const (
		executors = 8
		// cutLength is the length of each of the two cuts; the second begins overlap before the end of the first.
		cutLength, overlap = 5500 * time.Millisecond, 300 * time.Millisecond
		// jobsInCut jobs come while the executor is cut off.
		jobsInCut = 2
		// loadJobs jobs of loadWidth work units each come after the cuts.
		loadJobs, loadWidth = 14, 60
		// finish is how long after the end of the traffic jobs are asked for.
		finish = 14 * time.Second
	)
	var cutOff *executorProcess
	for n := range executors {
		kind := "a"
		if n == 0 {
			kind = "b"
		}
		e, err := r.addExecutor(kind)
		if err != nil {
			return err
		}
		if n == 0 {
			cutOff = e
		}
	}
	if err := r.start(3); err != nil {
		return err
	}
	r.sleep(2 * time.Second)
	if r.trouble {
		r.record.notef("network", "%s is cut off from the instances for %v, and again for %v", cutOff.id, cutLength, cutLength)
		cutOff.proxy.cut(cutLength)
		time.AfterFunc(cutLength-overlap, func() { cutOff.proxy.cut(cutLength) })
	}
	short := step{Count: 1, CPU: 500, MemMB: 256, EstimatedMs: 100, Requires: "b"}
	var submitted []string
	hand := func(id string, steps ...step) error {
		submitted = append(submitted, id)
		return r.submit(id, deafPayload, steps...)
	}
	for n := range jobsInCut {
		if err := hand(fmt.Sprintf("00000000000001%02x", n), short); err != nil {
			return err
		}
		r.sleep(250 * time.Millisecond)
	}
	r.sleep(2*cutLength - overlap)
	r.record.notef("network", "%s has been reachable again for 2 s", cutOff.id)
	wide := short
	wide.Count = loadWidth
	for n := range loadJobs {
		if err := hand(fmt.Sprintf("00000000000002%02x", n), wide); err != nil {
			return err
		}
		r.sleep(700 * time.Millisecond)
	}
	r.sleep(3 * time.Second)
	last := "0000000000000300"
	if err := hand(last, short, step{Count: 1, CPU: 500, MemMB: 256, EstimatedMs: 100, After: []int{0}}); err != nil {
		return err
	}
	r.record.notef("client", "end of the traffic")
	r.sleep(finish)
	return r.checkNoneHeldBack(submitted, map[string][]step{last: {short, {Count: 1, After: []int{0}}}}, wide)
}

// checkNoneHeldBack checks the rule LOST for jobs that have had time enough: each is completed, or something of it runs.
func (r *rig) checkNoneHeldBack(ids []string, plans map[string][]step, wide step) error {
	held := 0
	for _, id := range ids {
		state := r.state(id)
		r.record.notef("client", "GET %s: %s", id, state)
		if state == "completed" {
			continue
		}
		held++
	}
	for id, steps := range plans {
		if r.state(id) == "completed" {
			continue
		}
		waiting := r.turnHasCome(id, steps)
		r.sleep(4 * time.Second)
		again := r.turnHasCome(id, steps)
		if waiting != "" && waiting == again && r.runningNow() == 0 {
			return broken("LOST: nothing of job %s runs though the turn of %s has come and all executors are idle; state %s; %d of %d jobs are not completed",
				id, waiting, r.state(id), held, len(ids))
		}
	}
	if held > 0 {
		return broken("LOST: %d of %d jobs are not completed", held, len(ids))
	}
	return nil
}

// turnHasCome returns the first work unit of a job that has not ended done though all steps before have, as the executors saw it.
func (r *rig) turnHasCome(id string, steps []step) string {
	done := map[string]bool{}
	for _, ev := range r.seen(func(ev seenEvent) bool { return ev.What == "end" && ev.How == "done" }) {
		done[ev.Task] = true
	}
	stepDone := func(n int) bool {
		for index := range steps[n].Count {
			if !done[task(id, n, index)] {
				return false
			}
		}
		return true
	}
	for n, s := range steps {
		ready := true
		for _, before := range s.After {
			ready = ready && stepDone(before)
		}
		for index := range s.Count {
			if ready && !done[task(id, n, index)] {
				return task(id, n, index)
			}
		}
	}
	return ""
}

// runningNow returns the number of runs that executors have begun and not ended.
func (r *rig) runningNow() int {
	running := 0
	for _, ev := range r.seen(func(seenEvent) bool { return true }) {
		switch ev.What {
		case "start":
			running++
		case "end":
			running--
		}
	}
	return running
}
