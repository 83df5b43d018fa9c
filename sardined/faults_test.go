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

// shortScript is the number of steps when SYSTEM_STEPS is not set; outages of up to an hour come in longer scripts.
const shortScript = 6

// script draws faults and load.
type script struct {
	*load
	steps  int
	faults int
}

// TestSystemUnderAllFaults runs instances, callers and operators through a random script of faults in virtual time.
// SYSTEM_SEEDS is the number of scripts (1), SYSTEM_FIRST the seed of the first (1), SYSTEM_STEPS the length of each
// (6), and SYSTEM_LOG a file for the log lines of the instances. A seed repeats the script; calls at the same moment
// may change places. The table is down for up to an hour in longer scripts only.
func TestSystemUnderAllFaults(t *testing.T) {
	first := number(t, "SYSTEM_FIRST", 1)
	for seed := first; seed < first+number(t, "SYSTEM_SEEDS", 1); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			inSystem(t, uint64(seed), 3+seed%7, func(s *system) {
				r := &script{load: newLoad(s), steps: number(t, "SYSTEM_STEPS", shortScript)}
				for range r.steps {
					r.step()
				}
				r.heal()
				r.settle(3 * time.Hour)
				t.Logf("faults %d, instances %d", r.faults, len(s.running))
			})
		})
	}
}

func number(t *testing.T, name string, preset int) int {
	text := os.Getenv(name)
	if text == "" {
		return preset
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}

// step causes a fault, adds load and lets some time pass.
func (r *script) step() {
	r.faults++
	r.fault()
	for range 1 + r.intN(3) {
		r.submit(r.spec())
		r.request("/quotes")
		r.request("/claims")
	}
	switch r.intN(4) {
	case 0:
		r.cancel()
	case 1:
		r.race()
	}
	time.Sleep(time.Duration(1+r.intN(8000)) * time.Millisecond)
	for i := range r.running {
		if r.gone(i) && r.intN(2) == 0 {
			r.launch(i)
		}
	}
}

func (r *script) spec() gang.JobSpec {
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

// race has two operators put different documents in force.
func (r *script) race() {
	for range 2 {
		weight := 1 + r.intN(9)
		r.group.Go(func() error {
			r.apply(weight)
			return nil
		})
	}
}

// heal ends all faults and starts the instances that are down.
func (r *script) heal() {
	r.links.release()
	r.world.Faults.ClearAll()
	for i := range r.running {
		if r.at(i) == nil {
			r.await(2*time.Minute, "the end of a planned stop", func() bool { return r.gone(i) })
			r.launch(i)
		}
	}
}

// fault causes one fault that ends by itself.
func (r *script) fault() {
	length := time.Duration(1+r.intN(15)) * time.Second
	victim := r.some()
	switch kind := r.intN(14); kind {
	case 0, 1:
		r.kill(victim)
	case 2:
		r.group.Go(func() error {
			r.stop(victim)
			return nil
		})
	case 3:
		r.apart(pair{instanceName(victim), ""}, 7*time.Second+length)
	case 4:
		r.apart(pair{instanceName(victim), tableName}, length)
	case 5:
		for _, other := range r.live() {
			if other%2 != victim%2 {
				r.apart(pair{instanceName(victim), instanceName(other)}, length)
			}
		}
	case 6:
		for i := range r.running {
			r.kill(i)
		}
	case 7:
		r.outage(length)
	case 8, 9, 10:
		r.machines(length)
	default:
		r.table(length)
	}
}

// outage has the table down, now and then for up to an hour.
func (r *script) outage(length time.Duration) {
	if r.intN(3) == 0 && r.steps > shortScript {
		length *= 240
	}
	r.turn(faults.Fault{Peer: faults.Table, Kind: faults.Down}, length)
	time.Sleep(length / 2)
}

func (r *script) table(length time.Duration) {
	kinds := []faults.Kind{faults.Slow, faults.Throttle, faults.LoseAnswer, faults.Stale, faults.Cut}
	f := faults.Fault{Peer: faults.Table, Kind: kinds[r.intN(len(kinds))], Rate: 0.5}
	if f.Kind == faults.Slow {
		f.Delay = ident.Duration(800 * time.Millisecond)
	}
	r.turn(f, length)
}

// machines has a worker, a rack, a data centre or a server fail.
func (r *script) machines(length time.Duration) {
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
	r.turn(choices[r.intN(len(choices))], length)
}

func (r *script) turn(f faults.Fault, length time.Duration) {
	f.For = ident.Duration(length)
	assert.NilError(r.t, r.world.Faults.Inject(f))
}

// apart holds all between two names for a time.
func (r *script) apart(p pair, length time.Duration) {
	r.links.hold(p, true)
	time.AfterFunc(length, func() { r.links.hold(p, false) })
}
