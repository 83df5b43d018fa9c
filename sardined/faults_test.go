package main

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/standin/faults"
)

// defaultSteps is the number of steps of a script if SYSTEM_STEPS is not set. Only longer scripts have outages of up to
// an hour.
const defaultSteps = 6

// faultScript generates a random sequence of steps, each of which injects a fault and adds jobs and requests.
type faultScript struct {
	*workload
	stepCount  int
	faultCount int
}

// TestSystemUnderAllFaults runs instances, callers and operators through a random script of faults in virtual time, and
// checks that all jobs end and no invariant is violated. SYSTEM_SEEDS sets the number of scripts (default 1),
// SYSTEM_FIRST the seed of the first (1), SYSTEM_STEPS the number of steps of each (6), and SYSTEM_LOG a file for the
// logs of the instances. A seed reproduces the script, but not the order of calls at the same time. The table is down
// for up to an hour only in scripts longer than the default.
func TestSystemUnderAllFaults(t *testing.T) {
	first := envInt(t, "SYSTEM_FIRST", 1)
	for seed := first; seed < first+envInt(t, "SYSTEM_SEEDS", 1); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runSystem(t, uint64(seed), 3+seed%7, func(s *system) {
				r := &faultScript{workload: newWorkload(s), stepCount: envInt(t, "SYSTEM_STEPS", defaultSteps)}
				for range r.stepCount {
					r.runStep()
				}
				r.heal()
				r.finish(3 * time.Hour)
				t.Logf("faults %d, instances %d", r.faultCount, len(s.running))
			})
		})
	}
}

// envInt returns the value of an environment variable as an integer, or defaultValue if the variable is not set.
func envInt(t *testing.T, name string, defaultValue int) int {
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}

// runStep injects a fault, adds jobs and requests, waits for up to 8 s and restarts some of the instances that are
// down.
func (r *faultScript) runStep() {
	r.faultCount++
	r.injectRandomFault()
	for range 1 + r.intN(3) {
		r.startJob(r.randomSpec())
		r.startRequest("/quotes")
		r.startRequest("/claims")
	}
	switch r.intN(4) {
	case 0:
		r.cancelLastJob()
	case 1:
		r.applyConcurrently()
	}
	time.Sleep(time.Duration(1+r.intN(8000)) * time.Millisecond)
	for i := range r.running {
		if r.isDown(i) && r.intN(2) == 0 {
			r.launch(i)
		}
	}
}

// randomSpec returns the specification of a gang with random properties.
func (r *faultScript) randomSpec() gang.JobSpec {
	command := fmt.Sprintf("run %ds", 1+r.intN(20))
	if r.intN(20) == 0 {
		command = "fail 1s"
	}
	return gang.JobSpec{
		Kind:           ident.JobKind(fmt.Sprintf("kind-%d", r.intN(3))),
		Accelerators:   1 << r.intN(6),
		RunTime:        ident.Duration(5 * time.Second),
		Checkpointable: r.intN(4) > 0,
		Urgent:         r.intN(10) == 0,
		Command:        command,
	}
}

// applyConcurrently lets two operators apply different documents at the same time.
func (r *faultScript) applyConcurrently() {
	for range 2 {
		weight := 1 + r.intN(9)
		r.group.Go(func() error {
			r.applyDocument(weight)
			return nil
		})
	}
}

// heal clears all faults and starts all instances that are down.
func (r *faultScript) heal() {
	r.network.unblockAll()
	r.world.Faults.ClearAll()
	for i := range r.running {
		if r.runningAt(i) == nil {
			r.await(2*time.Minute, "the end of a graceful shutdown", func() bool { return r.isDown(i) })
			r.launch(i)
		}
	}
}

// injectRandomFault injects a random fault, which ends after a random time.
func (r *faultScript) injectRandomFault() {
	length := time.Duration(1+r.intN(15)) * time.Second
	victim := r.randomInstance()
	switch kind := r.intN(14); kind {
	case 0, 1:
		r.kill(victim)
	case 2:
		r.group.Go(func() error {
			r.stop(victim)
			return nil
		})
	case 3:
		r.partition(namePair{instanceName(victim), ""}, 7*time.Second+length)
	case 4:
		r.partition(namePair{instanceName(victim), tableEndpoint}, length)
	case 5:
		for _, other := range r.liveInstances() {
			if other%2 != victim%2 {
				r.partition(namePair{instanceName(victim), instanceName(other)}, length)
			}
		}
	case 6:
		for i := range r.running {
			r.kill(i)
		}
	case 7:
		r.injectTableOutage(length)
	case 8, 9, 10:
		r.injectMachineFault(length)
	default:
		r.injectTableFault(length)
	}
}

// injectTableOutage takes the table service down for length or, in long scripts, sometimes for up to an hour.
func (r *faultScript) injectTableOutage(length time.Duration) {
	if r.intN(3) == 0 && r.stepCount > defaultSteps {
		length *= 240
	}
	r.inject(faults.Fault{Peer: faults.Table, Kind: faults.Down}, length)
	time.Sleep(length / 2)
}

// injectTableFault makes the table service slow or some of its calls fail, for the duration length.
func (r *faultScript) injectTableFault(length time.Duration) {
	kinds := []faults.Kind{faults.Slow, faults.Throttle, faults.LoseAnswer, faults.Stale, faults.Cut}
	f := faults.Fault{Peer: faults.Table, Kind: kinds[r.intN(len(kinds))], Rate: 0.5}
	if f.Kind == faults.Slow {
		f.Delay = ident.Duration(800 * time.Millisecond)
	}
	r.inject(f, length)
}

// injectMachineFault makes workers, racks, data centres, backend servers or the platform's list fail for the duration
// length.
func (r *faultScript) injectMachineFault(length time.Duration) {
	dc := dataCentres[r.intN(len(dataCentres))]
	rack := fmt.Sprintf("%s-r%d", dc, 1+r.intN(2))
	name := fmt.Sprintf("%s-w%d", rack, r.intN(2))
	choices := []faults.Fault{
		{Peer: faults.Worker, Kind: faults.Die, Name: name},
		{Peer: faults.Worker, Kind: faults.Freeze, Name: name},
		{Peer: faults.Worker, Kind: faults.FailAll, Name: name},
		{Peer: faults.Worker, Kind: faults.Die, Rack: ident.Rack(rack)},
		{Peer: faults.Worker, Kind: faults.Die, DataCentre: ident.DataCentre(dc)},
		{Peer: faults.Worker, Kind: faults.LoseAnswer, Rate: 0.3},
		{Peer: faults.Worker, Kind: faults.Cut, Rate: 0.3},
		{Peer: faults.Server, Kind: faults.Leave, DataCentre: ident.DataCentre(dc)},
		{Peer: faults.Server, Kind: faults.Die, DataCentre: ident.DataCentre(dc)},
		{Peer: faults.Server, Kind: faults.Stall, Rate: 0.3},
		{Peer: faults.Server, Kind: faults.Truncate, Rate: 0.3},
		{Peer: faults.Server, Kind: faults.Cross, Rate: 0.3},
		{Peer: faults.Server, Kind: faults.Twice, Rate: 0.3},
		{Peer: faults.Server, Kind: faults.LoseAnswer, Rate: 0.3},
		{Peer: faults.Fleet, Kind: faults.Down},
	}
	r.inject(choices[r.intN(len(choices))], length)
}

// inject injects a fault into the simulated platform for the duration length.
func (r *faultScript) inject(f faults.Fault, length time.Duration) {
	f.For = ident.Duration(length)
	assert.NilError(r.t, r.world.Faults.Inject(f))
}

// partition blocks the connections between the endpoints of a pair for the duration length.
func (r *faultScript) partition(p namePair, length time.Duration) {
	r.network.setBlocked(p, true)
	time.AfterFunc(length, func() { r.network.setBlocked(p, false) })
}
