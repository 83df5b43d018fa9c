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
	// maxDecision and maxStateBytes bound an engine of 3,400 workers.
	maxDecision   = 20 * time.Millisecond
	maxStateBytes = 16 << 20
	// waitingGangs is how many gangs wait while decisions are timed, timedEvents how many events are timed.
	waitingGangs = 1000
	timedEvents  = 2000
	// tasksPerWorker is the number of running tasks per worker: 17,000 on 3,400.
	tasksPerWorker = 5
)

// DecisionCost are the time of a decision and the state of an engine, at three sizes.
func DecisionCost() []Figure {
	var figures []Figure
	for _, workers := range []int{500, 3400, 10000} {
		bounds := [2]Bound{}
		if workers == 3400 {
			bounds = [2]Bound{UpperBound(maxDecision.Seconds() * 1000), UpperBound(maxStateBytes / (1 << 20))}
		}
		d := newDomain(workers)
		times := d.measure()
		name := fmt.Sprintf("decision.workers_%d", workers)
		figures = append(figures,
			Figure{name + ".p50", float64(times.ValueAtQuantile(50)) / 1e6, "ms", Bound{}},
			Figure{name + ".p99", float64(times.ValueAtQuantile(99)) / 1e6, "ms", bounds[0]},
			Figure{name + ".max", float64(times.Max()) / 1e6, "ms", Bound{}},
			Figure{name + ".state", d.state / (1 << 20), "MiB", bounds[1]},
			Figure{name + ".placed", float64(d.engine.Summary().Placed), "gangs", Bound{}},
			Figure{name + ".waiting", float64(d.engine.Summary().Waiting), "gangs", Bound{}},
			Figure{name + ".breaches", float64(d.engine.Summary().Breaches), "decisions", UpperBound(0)},
		)
	}
	return figures
}

// domain is a full domain under a steady stream of events.
type domain struct {
	engine *place.Engine
	rand   *rand.Rand
	now    time.Time
	serial int
	site   site
	placed []place.Place
	state  float64
}

func newDomain(workers int) *domain {
	d := &domain{
		engine: place.New(place.Config{}), rand: rand.New(rand.NewPCG(seed, 3)), now: epoch,
		site: site{workers: workers, each: 8, document: teams(place.Objective{CompletionTime: 1, Fragmentation: 1})},
	}
	before := heapBytes()
	d.apply(d.site.document)
	d.apply(d.site.topology())
	for d.engine.Summary().Placed < tasksPerWorker*workers && d.engine.Summary().Free > 0 {
		for range 100 {
			d.submit(fillSizes)
		}
	}
	for d.engine.Summary().Waiting < waitingGangs {
		d.submit(waitSizes)
	}
	d.state = heapBytes() - before
	return d
}

// fillSizes are those of 17,000 tasks on 27,200 accelerators, waitSizes those of the gangs that wait.
var (
	fillSizes = []sizeShare{{1, 720}, {2, 140}, {4, 90}, {8, 50}}
	waitSizes = []sizeShare{{8, 300}, {16, 250}, {32, 200}, {64, 150}, {128, 80}, {256, 20}}
)

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func (d *domain) submit(sizes []sizeShare) {
	d.serial++
	account := d.site.document.Accounts[d.rand.IntN(len(d.site.document.Accounts))].Name
	d.apply(place.Submit{Job: place.Job{
		ID: ident.Job(fmt.Sprintf("j%06d", d.serial)), Account: account, Kind: "k",
		Accelerators: (&generator{rand: d.rand}).size(sizes), Checkpointable: true,
		RunTime: time.Duration(1+d.rand.IntN(300)) * time.Minute, Submitted: d.now,
	}})
}

func (d *domain) apply(ev place.Event) {
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

// measure times events of a steady stream: gangs end, others come in, some are cancelled, workers go and come.
func (d *domain) measure() *hdrhistogram.Histogram {
	times := hdrhistogram.New(1, int64(time.Minute), 3)
	for i := range timedEvents {
		d.now = d.now.Add(500 * time.Millisecond)
		ev := d.next(i)
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

func (d *domain) next(i int) place.Event {
	switch {
	case i%200 == 50:
		return place.WorkerLost{Worker: d.site.topology().Workers[d.rand.IntN(d.site.workers)].Name}
	case i%200 == 150:
		return place.WorkerRecovered{Worker: d.site.topology().Workers[d.rand.IntN(d.site.workers)].Name}
	case i%10 == 0:
		return place.Tick{}
	case i%2 == 0:
		d.serial++
		return place.Submit{Job: place.Job{
			ID: ident.Job(fmt.Sprintf("j%06d", d.serial)), Account: d.site.document.Accounts[i%46].Name, Kind: "k",
			Accelerators: (&generator{rand: d.rand}).size(closingSizes), Checkpointable: true,
			RunTime: time.Duration(1+d.rand.IntN(300)) * time.Minute, Submitted: d.now,
		}}
	default:
		n := d.rand.IntN(len(d.placed))
		p := d.placed[n]
		d.placed[n] = d.placed[len(d.placed)-1]
		d.placed = d.placed[:len(d.placed)-1]
		return place.Ended{Job: p.Job, Attempt: p.Attempt, Result: place.Succeeded}
	}
}
