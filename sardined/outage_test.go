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

// instances is the number of instances in the tests of one failure.
const instances = 3

// someJobs has callers submit gangs that run for a time, and waits until they run.
func someJobs(l *load, command string) {
	for range 4 {
		l.submit(gang.JobSpec{Kind: "k", Accelerators: 8, RunTime: ident.Duration(5 * time.Second), Checkpointable: true, Command: command})
	}
	l.await(time.Minute, "the start of the jobs", func() bool { return l.world.Ledger.Report().Totals.JobsStarted >= l.jobs })
}

// checkOneAttempt checks that each job ran once and whole.
func checkOneAttempt(l *load) {
	l.t.Helper()
	for _, a := range l.world.Ledger.Report().Attempts {
		assert.Check(l.t, a.Attempt == 1 && a.Complete, "%+v", a)
	}
	assert.Check(l.t, len(l.ended[ident.Succeeded]) == l.jobs, "ended %s", l.ends())
}

// TestAllInstancesKilledAtOnce checks that the gangs that run are found again and run on.
func TestAllInstancesKilledAtOnce(t *testing.T) {
	inSystem(t, 1, instances, func(s *system) {
		l := newLoad(s)
		someJobs(l, "run 40s")
		for i := range instances {
			s.kill(i)
		}
		time.Sleep(time.Second)
		for i := range instances {
			s.launch(i)
		}
		t.Logf("ready and all domains held after %s", s.awaitReady(time.Minute))
		l.settle(10 * time.Minute)
		checkOneAttempt(l)
	})
}

// TestInstancesReplacedOneAfterAnother checks that planned stops disturb no gang and no request.
func TestInstancesReplacedOneAfterAnother(t *testing.T) {
	inSystem(t, 1, instances, func(s *system) {
		l := newLoad(s)
		someJobs(l, "run 90s")
		for i := range instances {
			l.request("/quotes")
			l.request("/claims")
			s.stop(i)
			s.launch(i)
			s.awaitReady(time.Minute)
		}
		l.settle(10 * time.Minute)
		checkOneAttempt(l)
		assert.Equal(t, l.outcomes[ident.Answered.String()], l.requests)
	})
}

// TestHalfIsCutOff cuts half of the instances off from the others and from the table.
func TestHalfIsCutOff(t *testing.T) {
	inSystem(t, 1, instances+1, func(s *system) {
		l := newLoad(s)
		someJobs(l, "run 60s")
		for _, cut := range []int{0, 1} {
			s.links.hold(pair{instanceName(cut), tableName}, true)
			for _, other := range []int{2, 3} {
				s.links.hold(pair{instanceName(cut), instanceName(other)}, true)
			}
		}
		l.submit(gang.JobSpec{Kind: "k", Accelerators: 8, Checkpointable: true, Command: "run 5s"})
		time.Sleep(30 * time.Second)
		s.links.release()
		l.settle(10 * time.Minute)
		assert.Check(t, len(l.ended[ident.Succeeded]) == l.jobs, "ended %s", l.ends())
	})
}

// The caps of a system of 3 instances by the table client's defaults, in calls a second.
const callsPerSecond = instances * (160 + 50)

// TestTableDown checks that gangs run on through an outage of the table, that requests are answered, and that the
// calls after it stay under the caps. SYSTEM_OUTAGE is the length of the outage in minutes (2).
func TestTableDown(t *testing.T) {
	minutes := number(t, "SYSTEM_OUTAGE", 2)
	length := time.Duration(minutes) * time.Minute
	inSystem(t, 1, instances, func(s *system) {
		l := newLoad(s)
		someJobs(l, fmt.Sprintf("run %s", length/2))
		down := faults.Fault{Peer: faults.Table, Kind: faults.Down, For: ident.Duration(length)}
		assert.NilError(t, s.world.Faults.Inject(down))
		for range 6 {
			l.request("/quotes")
			time.Sleep(length / 6)
		}
		begun := s.tableCalls()
		var most uint64
		for range 60 {
			before := s.tableCalls()
			time.Sleep(time.Second)
			most = max(most, s.tableCalls()-before)
		}
		t.Logf("%d table calls in the minute after the outage, at most %d a second", s.tableCalls()-begun, most)
		assert.Check(t, most <= callsPerSecond)
		l.settle(time.Hour)
		checkOneAttempt(l)
	})
}

func (s *system) tableCalls() uint64 {
	var sum uint64
	for _, n := range s.world.Table.Counts() {
		sum += n
	}
	return sum
}

// TestGuaranteedJobWaitsForItsDomain submits a job that can't be checkpointed while the holder of the only domain
// with its guarantee is being replaced.
func TestGuaranteedJobWaitsForItsDomain(t *testing.T) {
	inSystem(t, 1, instances, func(s *system) {
		l := newLoad(s)
		s.kill(s.holder(s.guaranteed("pricing")))
		l.submit(gang.JobSpec{Kind: "k", Accelerators: 16, Command: "run 5s"})
		l.settle(10 * time.Minute)
		assert.Check(t, len(l.ended[ident.Succeeded]) == l.jobs, "ended %s", l.ends())
	})
}

// guaranteed returns the domain in which an account has its guarantees.
func (s *system) guaranteed(account ident.Account) ident.DataCentre {
	for _, share := range s.at(0).daemon.agent.Current().Plan {
		for _, a := range share.Accounts {
			if a.Name == account && len(a.Guarantees) > 0 {
				return share.DataCentre
			}
		}
	}
	s.t.Fatalf("%s has no guarantee", account)
	return ""
}

// holder returns the instance that holds a domain.
func (s *system) holder(dc ident.DataCentre) int {
	for _, i := range s.live() {
		for _, dom := range s.at(i).daemon.domains.HeldDomains() {
			if dom.DataCentre == dc {
				return i
			}
		}
	}
	s.t.Fatalf("nobody holds %s", dc)
	return 0
}
