package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	dto "github.com/prometheus/client_model/go"
	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/route"
)

type labelPair = *dto.LabelPair

// Times of the load on nine instances.
const (
	warmUp   = 2 * time.Second
	measured = 6 * time.Second
	// tick is the time between two groups of arrivals.
	tick = 2 * time.Millisecond
)

// Sizes and service times of the load on nine instances. The mean service time is least + spread/2.
const (
	nineInstances = 9
	fiftyServers  = 50
	lostServers   = 5
	leastService  = 100 * time.Millisecond
	serviceSpread = 200 * time.Millisecond
)

// Result is what nine instances before fifty servers made of a load.
type Result struct {
	// WaitP50 and WaitP99 are the times of answered requests less the times that they ran.
	WaitP50, WaitP99 time.Duration
	// Goodput is the answered requests as a share of what could be answered.
	Goodput float64
	// RefusedAttempts is the number of refused attempts per request.
	RefusedAttempts float64
	// NotRun and Unknown are shares of all requests.
	NotRun, Unknown float64
	// NotRepeatedNotRun is the share of requests not to be repeated that did not run.
	NotRepeatedNotRun float64
	// RejectionP50 and RejectionP99 are the times after which requests that were given up got their answers.
	RejectionP50, RejectionP99 time.Duration
}

// sample is one measured request.
type sample struct {
	outcome ident.Outcome
	settle  bool
	sent    time.Time
	ended   time.Time
	wait    time.Duration
}

// offer is a load under way.
type offer struct {
	instances *instances
	calls     errgroup.Group

	mu      sync.Mutex
	samples []sample
	alive   []*route.Router
	kill    context.CancelFunc
	doomed  context.Context
}

// Run drives a load, given as a share of the capacity. With loss, an instance and five servers are lost in the
// middle of the measured time.
func Run(share float64, loss bool) (Result, error) {
	f, err := startFarm(fiftyServers, leastService, serviceSpread, nil)
	if err != nil {
		return Result{}, err
	}
	defer f.stop()
	o := &offer{instances: startInstances(nineInstances, f.entries(), documentOf(0, timeout))}
	defer o.instances.stop()
	o.doomed, o.kill = context.WithCancel(context.Background())
	defer o.kill()
	o.alive = slices.Clone(o.instances.routers)
	capacity := fiftyServers * slots / (leastService + serviceSpread/2).Seconds()
	start := time.Now()
	var losing errgroup.Group
	if loss {
		losing.Go(func() error { return o.lose(f) })
	}
	o.arrivals(share * capacity)
	window := time.Now()
	_ = losing.Wait()
	_ = o.calls.Wait()
	possible := capacity * measured.Seconds()
	if loss {
		possible *= 1 - float64(lostServers)/fiftyServers/2
	}
	return o.result(start.Add(warmUp), window, min(possible, share*capacity*measured.Seconds())), nil
}

// lose ends an instance and five servers in the middle of the measured time.
func (o *offer) lose(f *farm) error {
	time.Sleep(warmUp + measured/2)
	for _, b := range f.backends[:lostServers] {
		_ = b.server.Close()
	}
	o.mu.Lock()
	o.alive = o.alive[1:]
	o.mu.Unlock()
	o.kill()
	time.Sleep(time.Second)
	for i, r := range o.instances.routers[1:] {
		r.SetInstances(o.instances.names[i+1], o.instances.names[1:])
	}
	return nil
}

// arrivals starts requests at a rate per second, at random times.
func (o *offer) arrivals(rate float64) {
	start := time.Now()
	begun := 0.0
	for elapsed := time.Duration(0); elapsed < warmUp+measured; elapsed = time.Since(start) {
		for begun < rate*elapsed.Seconds() {
			begun += rand.ExpFloat64()
			o.calls.Go(o.call)
		}
		time.Sleep(tick)
	}
}

// call sends one request to any live instance.
func (o *offer) call() error {
	o.mu.Lock()
	r := o.alive[rand.IntN(len(o.alive))]
	o.mu.Unlock()
	ctx := context.Background()
	if r == o.instances.routers[0] {
		ctx = o.doomed
	}
	q := route.Request{Method: http.MethodGet, Path: path, Account: "a", Header: http.Header{}}
	if rand.IntN(2) == 0 {
		q.Account = "b"
	}
	s := sample{sent: time.Now(), settle: rand.IntN(4) == 0}
	if s.settle {
		q.Path = settlePath
	}
	result := r.Do(ctx, q)
	s.outcome = result.Outcome()
	if a, ok := result.(route.Answered); ok {
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
		s.wait = time.Since(s.sent) - serviceOf(a.Header)
	}
	s.ended = time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.samples = append(o.samples, s)
	return nil
}

// result sums the samples up. Goodput counts the answers that came from start to end; the rest counts the
// requests sent in that time.
func (o *offer) result(start, end time.Time, possible float64) Result {
	var waits, gaveUp []time.Duration
	var out Result
	all, settles, answered := 0.0, 0.0, 0.0
	for _, s := range o.samples {
		if s.outcome == ident.Answered && s.ended.After(start) && s.ended.Before(end) {
			answered++
		}
		if s.sent.Before(start) {
			continue
		}
		all++
		if s.settle {
			settles++
		}
		switch s.outcome {
		case ident.Answered:
			waits = append(waits, s.wait)
		case ident.NotRun:
			out.NotRun++
			gaveUp = append(gaveUp, s.ended.Sub(s.sent))
			if s.settle {
				out.NotRepeatedNotRun++
			}
		case ident.Unknown:
			out.Unknown++
		}
	}
	out.WaitP50, out.WaitP99 = quantile(waits, 0.5), quantile(waits, 0.99)
	out.RejectionP50, out.RejectionP99 = quantile(gaveUp, 0.5), quantile(gaveUp, 0.99)
	out.Goodput = answered / possible
	out.NotRun /= all
	out.Unknown /= all
	out.NotRepeatedNotRun /= settles
	out.RefusedAttempts = o.instances.counter("sardine_request_attempts_total", "Refused") / float64(len(o.samples))
	return out
}

// quantile returns a quantile of times, or 0 for none.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(float64(len(times)-1)*q)]
}
