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

// labelPair is a label name and value of a metric gathered from a Prometheus registry.
type labelPair = *dto.LabelPair

// Times of a load run.
const (
	// A load run first sends requests for the time warmUp, which are not measured, and then for measureDuration.
	warmUp          = 2 * time.Second
	measureDuration = 6 * time.Second
	// arrivalInterval is the time between two batches of new requests.
	arrivalInterval = 2 * time.Millisecond
)

// Sizes and service times of a load run. The mean service time is minServiceTime + serviceTimeRange/2.
const (
	instanceCount    = 9
	serverCount      = 50
	lostServerCount  = 5
	minServiceTime   = 100 * time.Millisecond
	serviceTimeRange = 200 * time.Millisecond
)

// Result reports how nine instances and fifty servers handled a load.
type Result struct {
	// WaitP50 and WaitP99 are percentiles of the latency of answered requests minus their service time.
	WaitP50, WaitP99 time.Duration
	// Goodput is the number of requests that were answered during the measurement, as a fraction of those that were
	// offered or, if less, of those that the servers had the capacity to answer.
	Goodput float64
	// RefusedAttempts is the number of attempts that a backend server refused, per request.
	RefusedAttempts float64
	// NotRun is the fraction of all requests that no server has run. Unknown is the fraction for which it is unknown
	// whether a server has run them.
	NotRun, Unknown float64
	// NotRepeatedNotRun is about the requests that must not be repeated: it is the fraction of them that no server has
	// run.
	NotRepeatedNotRun float64
	// RejectionP50 and RejectionP99 are percentiles of the time until a request that did not run got its response.
	RejectionP50, RejectionP99 time.Duration
}

// sample is the measurement of one request of a load run.
type sample struct {
	outcome ident.Outcome
	// notRepeated is set for a request that must not be repeated.
	notRepeated bool
	sentAt      time.Time
	endedAt     time.Time
	// wait is the latency minus the service time; set for answered requests only.
	wait time.Duration
}

// loadRun holds the instances, the requests in progress and the samples of a call of Run.
type loadRun struct {
	instances *instances
	requests  errgroup.Group

	mu      sync.Mutex
	samples []sample
	// liveRouters are the routers that requests are sent to.
	liveRouters []*route.Router
	// cancelDoomed ends doomedCtx, the context of all requests to the instance that is lost.
	cancelDoomed context.CancelFunc
	doomedCtx    context.Context
}

// Run sends requests to nine instances with fifty backend servers and measures how they are handled. share is the rate
// of requests as a fraction of the total capacity. If loss is set, one instance and five servers fail in the middle of
// the measurement.
func Run(share float64, loss bool) (Result, error) {
	backends, err := startBackends(serverCount, minServiceTime, serviceTimeRange, nil)
	if err != nil {
		return Result{}, err
	}
	defer backends.stop()
	run := &loadRun{instances: startInstances(instanceCount, backends.serverList(), newDocument(0, routeTimeout))}
	defer run.instances.stop()
	run.doomedCtx, run.cancelDoomed = context.WithCancel(context.Background())
	defer run.cancelDoomed()
	run.liveRouters = slices.Clone(run.instances.routers)
	capacity := serverCount * slotsPerBackend / (minServiceTime + serviceTimeRange/2).Seconds()
	start := time.Now()
	var losses errgroup.Group
	if loss {
		losses.Go(func() error { return run.injectLoss(backends) })
	}
	run.generateArrivals(share * capacity)
	measureEnd := time.Now()
	_ = losses.Wait()
	_ = run.requests.Wait()
	possible := capacity * measureDuration.Seconds()
	if loss {
		possible *= 1 - float64(lostServerCount)/serverCount/2
	}
	return run.summarize(start.Add(warmUp), measureEnd, min(possible, share*capacity*measureDuration.Seconds())), nil
}

// injectLoss stops one instance and five servers in the middle of the measurement. The other instances learn of the
// lost instance one second later.
func (run *loadRun) injectLoss(backends *backendGroup) error {
	time.Sleep(warmUp + measureDuration/2)
	for _, b := range backends.servers[:lostServerCount] {
		_ = b.server.Close()
	}
	run.mu.Lock()
	run.liveRouters = run.liveRouters[1:]
	run.mu.Unlock()
	run.cancelDoomed()
	time.Sleep(time.Second)
	for i, r := range run.instances.routers[1:] {
		r.SetInstances(run.instances.names[i+1], run.instances.names[1:])
	}
	return nil
}

// generateArrivals sends requests as a Poisson process with the given rate per second, until warmUp and measureDuration
// have passed.
func (run *loadRun) generateArrivals(rate float64) {
	start := time.Now()
	// nextArrival is the time of the next arrival, in units of the mean time between arrivals.
	nextArrival := 0.0
	for elapsed := time.Duration(0); elapsed < warmUp+measureDuration; elapsed = time.Since(start) {
		for nextArrival < rate*elapsed.Seconds() {
			nextArrival += rand.ExpFloat64()
			run.requests.Go(run.sendRequest)
		}
		time.Sleep(arrivalInterval)
	}
}

// sendRequest sends one request to a random live instance and records its sample.
func (run *loadRun) sendRequest() error {
	run.mu.Lock()
	r := run.liveRouters[rand.IntN(len(run.liveRouters))]
	run.mu.Unlock()
	ctx := context.Background()
	if r == run.instances.routers[0] {
		ctx = run.doomedCtx
	}
	q := route.Request{Method: http.MethodGet, Path: requestPath, Account: "a", Header: http.Header{}}
	if rand.IntN(2) == 0 {
		q.Account = "b"
	}
	s := sample{sentAt: time.Now(), notRepeated: rand.IntN(4) == 0}
	if s.notRepeated {
		q.Path = notRepeatedPath
	}
	result := r.Do(ctx, q)
	s.outcome = result.Outcome()
	if a, ok := result.(route.Answered); ok {
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
		s.wait = time.Since(s.sentAt) - serviceTime(a.Header)
	}
	s.endedAt = time.Now()
	run.mu.Lock()
	defer run.mu.Unlock()
	run.samples = append(run.samples, s)
	return nil
}

// summarize computes the Result from the samples. Goodput counts the responses received between start and end, as a
// fraction of possible, the number of requests that could have been answered. The other fields cover the requests sent
// after start.
func (run *loadRun) summarize(start, end time.Time, possible float64) Result {
	var waits, rejections []time.Duration
	var result Result
	total, notRepeated, answered := 0.0, 0.0, 0.0
	for _, s := range run.samples {
		if s.outcome == ident.Answered && s.endedAt.After(start) && s.endedAt.Before(end) {
			answered++
		}
		if s.sentAt.Before(start) {
			continue
		}
		total++
		if s.notRepeated {
			notRepeated++
		}
		switch s.outcome {
		case ident.Answered:
			waits = append(waits, s.wait)
		case ident.NotRun:
			result.NotRun++
			rejections = append(rejections, s.endedAt.Sub(s.sentAt))
			if s.notRepeated {
				result.NotRepeatedNotRun++
			}
		case ident.Unknown:
			result.Unknown++
		}
	}
	result.WaitP50, result.WaitP99 = quantile(waits, 0.5), quantile(waits, 0.99)
	result.RejectionP50, result.RejectionP99 = quantile(rejections, 0.5), quantile(rejections, 0.99)
	result.Goodput = answered / possible
	result.NotRun /= total
	result.Unknown /= total
	result.NotRepeatedNotRun /= notRepeated
	result.RefusedAttempts = run.instances.counter("sardine_request_attempts_total", "Refused") / float64(len(run.samples))
	return result
}

// quantile returns the q-quantile of the times, or 0 if there are none. It sorts the times in place.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(float64(len(times)-1)*q)]
}
