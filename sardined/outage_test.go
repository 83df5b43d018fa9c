package main

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/standin/faults"
)

// instanceCount is the number of instances in the tests of this file.
const instanceCount = 3

// startJobs submits four checkpointable gangs that run command, and waits until they have started.
func startJobs(w *workload, command string) {
	for range 4 {
		w.startJob(gang.JobSpec{Kind: "k", Accelerators: 8, RunTime: ident.Duration(5 * time.Second), Checkpointable: true, Command: command})
	}
	w.await(time.Minute, "the start of the jobs", func() bool { return w.world.Ledger.Report().Totals.JobsStarted >= w.jobCount })
}

// checkOneAttempt checks that each job succeeded and that all its parts ran to the end in the first attempt.
func checkOneAttempt(w *workload) {
	w.t.Helper()
	for _, a := range w.world.Ledger.Report().Attempts {
		assert.Check(w.t, a.Attempt == 1 && a.Complete, "%+v", a)
	}
	assert.Check(w.t, len(w.jobsByEndState[ident.Succeeded]) == w.jobCount, "ended %s", w.formatEndStates())
}

// TestAllInstancesKilledAtOnce checks that running gangs survive when all instances are killed at once: the restarted
// instances find the gangs and do not start them again.
func TestAllInstancesKilledAtOnce(t *testing.T) {
	runSystem(t, 1, instanceCount, func(s *system) {
		w := newWorkload(s)
		startJobs(w, "run 40s")
		for i := range instanceCount {
			s.kill(i)
		}
		time.Sleep(time.Second)
		for i := range instanceCount {
			s.launch(i)
		}
		t.Logf("ready and all domains held after %s", s.awaitReady(time.Minute))
		w.finish(10 * time.Minute)
		checkOneAttempt(w)
	})
}

// TestRollingRestart checks that restarting the instances gracefully, one after another, interrupts no gang and fails
// no request.
func TestRollingRestart(t *testing.T) {
	runSystem(t, 1, instanceCount, func(s *system) {
		w := newWorkload(s)
		startJobs(w, "run 90s")
		for i := range instanceCount {
			w.startRequest("/quotes")
			w.startRequest("/claims")
			s.stop(i)
			s.launch(i)
			s.awaitReady(time.Minute)
		}
		w.finish(10 * time.Minute)
		checkOneAttempt(w)
		assert.Equal(t, w.outcomes[ident.Answered.String()], w.requestCount)
	})
}

// TestPartitionOfHalfTheInstances checks that all jobs succeed when half of the instances cannot reach the other half
// and the table service for 30 s.
func TestPartitionOfHalfTheInstances(t *testing.T) {
	runSystem(t, 1, instanceCount+1, func(s *system) {
		w := newWorkload(s)
		startJobs(w, "run 60s")
		for _, cut := range []int{0, 1} {
			s.network.setBlocked(namePair{instanceName(cut), tableEndpoint}, true)
			for _, other := range []int{2, 3} {
				s.network.setBlocked(namePair{instanceName(cut), instanceName(other)}, true)
			}
		}
		w.startJob(gang.JobSpec{Kind: "k", Accelerators: 8, Checkpointable: true, Command: "run 5s"})
		time.Sleep(30 * time.Second)
		s.network.unblockAll()
		w.finish(10 * time.Minute)
		assert.Check(t, len(w.jobsByEndState[ident.Succeeded]) == w.jobCount, "ended %s", w.formatEndStates())
	})
}

// maxTableCallsPerSecond is the sum of the limits of all instances on reads and writes per second, by the defaults of
// the table client.
const maxTableCallsPerSecond = instanceCount * (160 + 50)

// TestTableOutage checks that gangs keep running and requests are answered while the table service is down, and that
// the calls to it stay under the rate limits afterwards. SYSTEM_OUTAGE sets the length of the outage in minutes; the
// default is 2.
func TestTableOutage(t *testing.T) {
	minutes := envInt(t, "SYSTEM_OUTAGE", 2)
	length := time.Duration(minutes) * time.Minute
	runSystem(t, 1, instanceCount, func(s *system) {
		w := newWorkload(s)
		startJobs(w, fmt.Sprintf("run %s", length/2))
		down := faults.Fault{Peer: faults.Table, Kind: faults.Down, For: ident.Duration(length)}
		assert.NilError(t, s.world.Faults.Inject(down))
		for range 6 {
			w.startRequest("/quotes")
			time.Sleep(length / 6)
		}
		callsBefore := s.tableCalls()
		var maxCalls uint64
		for range 60 {
			before := s.tableCalls()
			time.Sleep(time.Second)
			maxCalls = max(maxCalls, s.tableCalls()-before)
		}
		t.Logf("%d table calls in the minute after the outage, at most %d per second", s.tableCalls()-callsBefore, maxCalls)
		assert.Check(t, maxCalls <= maxTableCallsPerSecond)
		w.finish(time.Hour)
		checkOneAttempt(w)
	})
}

// tableCalls returns the number of calls that the table service has processed so far.
func (s *system) tableCalls() uint64 {
	var sum uint64
	for _, n := range s.world.Table.Counts() {
		sum += n
	}
	return sum
}

// TestGuaranteedJobWaitsForItsDomain checks that a job without checkpoints succeeds when it is submitted just after
// the holder of the only domain that guarantees its capacity was killed. The job must wait for the next holder.
func TestGuaranteedJobWaitsForItsDomain(t *testing.T) {
	runSystem(t, 1, instanceCount, func(s *system) {
		w := newWorkload(s)
		s.kill(s.domainHolder(s.guaranteeDomain("pricing")))
		w.startJob(gang.JobSpec{Kind: "k", Accelerators: 16, Command: "run 5s"})
		w.finish(10 * time.Minute)
		assert.Check(t, len(w.jobsByEndState[ident.Succeeded]) == w.jobCount, "ended %s", w.formatEndStates())
	})
}

// guaranteeDomain returns the data centre in which an account has its guaranteed capacity.
func (s *system) guaranteeDomain(account ident.Account) ident.DataCentre {
	for _, share := range s.runningAt(0).daemon.agent.Current().Plan {
		for _, a := range share.Accounts {
			if a.Name == account && len(a.Guarantees) > 0 {
				return share.DataCentre
			}
		}
	}
	s.t.Fatalf("%s has no guarantee", account)
	return ""
}

// domainHolder returns the number of the instance that holds the domain of a data centre.
func (s *system) domainHolder(dc ident.DataCentre) int {
	for _, i := range s.liveInstances() {
		for _, dom := range s.runningAt(i).daemon.domains.HeldDomains() {
			if dom.DataCentre == dc {
				return i
			}
		}
	}
	s.t.Fatalf("no instance holds domain %s", dc)
	return 0
}
