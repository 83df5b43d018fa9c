package bench

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

const (
	// maxDecisionTime and maxStateBytes are the bounds for an engine with 3,400 workers.
	maxDecisionTime = 20 * time.Millisecond
	maxStateBytes   = 16 << 20
	// waitingGangs is the number of gangs that wait when timing begins, timedEvents the number of events whose
	// processing is then timed.
	waitingGangs = 1000
	timedEvents  = 2000
	// tasksPerWorker is the number of running gangs per worker up to which a domain is filled: 17,000 on 3,400 workers.
	tasksPerWorker = 5
)

// DecisionCost measures the time that the engine takes to process an event and the memory of its state, for sites with
// three different numbers of workers.
func DecisionCost() []Figure {
	var figures []Figure
	for _, workers := range []int{500, 3400, 10000} {
		bounds := [2]Bound{}
		if workers == 3400 {
			bounds = [2]Bound{UpperBound(maxDecisionTime.Seconds() * 1000), UpperBound(maxStateBytes / (1 << 20))}
		}
		d := newLoadedDomain(workers)
		times := d.timeEvents()
		name := fmt.Sprintf("decision.workers_%d", workers)
		figures = append(figures,
			Figure{name + ".p50", float64(times.ValueAtQuantile(50)) / 1e6, "ms", Bound{}},
			Figure{name + ".p99", float64(times.ValueAtQuantile(99)) / 1e6, "ms", bounds[0]},
			Figure{name + ".max", float64(times.Max()) / 1e6, "ms", Bound{}},
			Figure{name + ".state", d.stateBytes / (1 << 20), "MiB", bounds[1]},
			Figure{name + ".placed", float64(d.engine.Summary().Placed), "gangs", Bound{}},
			Figure{name + ".waiting", float64(d.engine.Summary().Waiting), "gangs", Bound{}},
			Figure{name + ".breaches", float64(d.engine.Summary().Breaches), "decisions", UpperBound(0)},
		)
	}
	return figures
}

// loadedDomain is a domain with running and waiting gangs, to which a steady stream of events is applied.
type loadedDomain struct {
	engine *place.Engine
	rand   *rand.Rand
	now    time.Time
	// submitted is the number of jobs so far; it also numbers them.
	submitted int
	site      site
	placed    []place.Place
	// stateBytes is the heap memory that the engine takes before events are timed.
	stateBytes float64
}

// newLoadedDomain fills a domain until tasksPerWorker gangs run for each worker, or no accelerator is free, and
// waitingGangs gangs wait.
func newLoadedDomain(workers int) *loadedDomain {
	d := &loadedDomain{
		engine: place.New(place.Config{}), rand: rand.New(rand.NewPCG(defaultSeed, 3)), now: startTime,
		site: site{workers: workers, acceleratorsPerWorker: 8, config: teams(place.Objective{CompletionTime: 1, Fragmentation: 1})},
	}
	before := heapBytes()
	d.apply(d.site.config)
	d.apply(d.site.topology())
	for d.engine.Summary().Placed < tasksPerWorker*workers && d.engine.Summary().Free > 0 {
		for range 100 {
			d.submit(runningSizes)
		}
	}
	for d.engine.Summary().Waiting < waitingGangs {
		d.submit(waitingSizes)
	}
	d.stateBytes = heapBytes() - before
	return d
}

// runningSizes are the sizes of running gangs, modelled on 17,000 gangs on 27,200 accelerators. waitingSizes are those
// of waiting gangs.
var (
	runningSizes = []sizeShare{{1, 720}, {2, 140}, {4, 90}, {8, 50}}
	waitingSizes = []sizeShare{{8, 300}, {16, 250}, {32, 200}, {64, 150}, {128, 80}, {256, 20}}
)

// heapBytes returns the size of the live heap objects. It collects twice, since objects with finalizers are freed by
// the second collection only.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// submit submits a job of a random account, size and run time.
func (d *loadedDomain) submit(sizes []sizeShare) {
	d.submitted++
	account := d.site.config.Accounts[d.rand.IntN(len(d.site.config.Accounts))].Name
	d.apply(place.Submit{Job: place.Job{
		ID: ident.Job(fmt.Sprintf("j%06d", d.submitted)), Account: account, Kind: "k",
		Accelerators: (&generator{rand: d.rand}).drawSize(sizes), Checkpointable: true,
		RunTime: time.Duration(1+d.rand.IntN(300)) * time.Minute, Submitted: d.now,
	}})
}

// apply applies an event. Reclaimed gangs end as requeued one millisecond later.
func (d *loadedDomain) apply(ev place.Event) {
	for _, out := range d.engine.Apply(d.now, ev) {
		switch out := out.(type) {
		case place.Place:
			d.placed = append(d.placed, out)
		case place.Reclaim:
			d.now = d.now.Add(time.Millisecond)
			defer d.apply(place.Ended{Job: out.Job, Attempt: out.Attempt, Result: place.Requeued})
		default:
		}
	}
}

// timeEvents applies timedEvents events and records the time of each in nanoseconds.
func (d *loadedDomain) timeEvents() *hdrhistogram.Histogram {
	times := hdrhistogram.New(1, int64(time.Minute), 3)
	for i := range timedEvents {
		d.now = d.now.Add(500 * time.Millisecond)
		ev := d.nextEvent(i)
		begin := time.Now()
		out := d.engine.Apply(d.now, ev)
		_ = times.RecordValue(int64(time.Since(begin)))
		for _, o := range out {
			switch o := o.(type) {
			case place.Place:
				d.placed = append(d.placed, o)
			case place.Reclaim:
				d.apply(place.Ended{Job: o.Job, Attempt: o.Attempt, Result: place.Requeued})
			default:
			}
		}
	}
	return times
}

// nextEvent returns the i-th event of a steady stream: gangs end and others are submitted, ticks pass, and at times a
// worker is lost or recovers.
func (d *loadedDomain) nextEvent(i int) place.Event {
	switch {
	case i%200 == 50:
		return place.WorkerLost{Worker: d.site.topology().Workers[d.rand.IntN(d.site.workers)].Name}
	case i%200 == 150:
		return place.WorkerRecovered{Worker: d.site.topology().Workers[d.rand.IntN(d.site.workers)].Name}
	case i%10 == 0:
		return place.Tick{}
	case i%2 == 0:
		d.submitted++
		return place.Submit{Job: place.Job{
			ID: ident.Job(fmt.Sprintf("j%06d", d.submitted)), Account: d.site.config.Accounts[i%46].Name, Kind: "k",
			Accelerators: (&generator{rand: d.rand}).drawSize(closingSizes), Checkpointable: true,
			RunTime: time.Duration(1+d.rand.IntN(300)) * time.Minute, Submitted: d.now,
		}}
	default:
		index := d.rand.IntN(len(d.placed))
		ended := d.placed[index]
		d.placed[index] = d.placed[len(d.placed)-1]
		d.placed = d.placed[:len(d.placed)-1]
		return place.Ended{Job: ended.Job, Attempt: ended.Attempt, Result: place.Succeeded}
	}
}
