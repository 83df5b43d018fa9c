package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/route"
)

// FailingServersResult reports the outcome of idempotent requests while a third of the servers failed every request.
type FailingServersResult struct {
	// Retries is the number of retries per request.
	Retries float64
	// Answered is the fraction of requests that were answered.
	Answered float64
}

// Parameters of MeasureFailingServers. failingLoadFactor is a fraction of the total capacity.
const (
	failingServers    = 12
	failingInstances  = 3
	failingDuration   = 4 * time.Second
	failingLoadFactor = 0.4
)

// MeasureFailingServers sends requests through three instances to twelve servers, four of which fail every request.
func MeasureFailingServers() (FailingServersResult, error) {
	backends, err := startBackends(failingServers, minServiceTime/2, serviceTimeRange/4, func(i int, b *backend) { b.failing = i%3 == 0 })
	if err != nil {
		return FailingServersResult{}, err
	}
	defer backends.stop()
	in := startInstances(failingInstances, backends.serverList(), newDocument(0, routeTimeout))
	defer in.stop()
	var answered, total atomic.Int64
	var requests errgroup.Group
	rate := failingLoadFactor * failingServers * slotsPerBackend / (minServiceTime/2 + serviceTimeRange/8).Seconds()
	// nextArrival is the time of the next arrival, in units of the mean time between arrivals.
	start, nextArrival := time.Now(), 0.0
	for elapsed := time.Duration(0); elapsed < failingDuration; elapsed = time.Since(start) {
		for nextArrival < rate*elapsed.Seconds() {
			nextArrival += rand.ExpFloat64()
			requests.Go(func() error {
				total.Add(1)
				if sendRequest(in.routers[rand.IntN(failingInstances)]) == ident.Answered {
					answered.Add(1)
				}
				return nil
			})
		}
		time.Sleep(arrivalInterval)
	}
	_ = requests.Wait()
	n := float64(total.Load())
	return FailingServersResult{Retries: in.counter("sardine_request_retries_total", "") / n, Answered: float64(answered.Load()) / n}, nil
}

// sendRequest sends an idempotent request and returns its outcome.
func sendRequest(r *route.Router) ident.Outcome {
	result := r.Do(context.Background(), route.Request{Method: http.MethodGet, Path: requestPath, Account: "a", Header: http.Header{}})
	if a, ok := result.(route.Answered); ok {
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
	}
	return result.Outcome()
}
