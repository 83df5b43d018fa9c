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

// FailingServersResult is what became of idempotent requests while a third of the servers failed all that they got.
type FailingServersResult struct {
	// Retries is the number of retries per request.
	Retries float64
	// Answered is the share of requests that were answered.
	Answered float64
}

// Sizes of the measurement of failing servers.
const (
	failingServers   = 12
	failingInstances = 3
	failingFor       = 4 * time.Second
	failingLoad      = 0.4
)

// MeasureFailingServers drives three instances before twelve servers, of which four fail.
func MeasureFailingServers() (FailingServersResult, error) {
	f, err := startFarm(failingServers, leastService/2, serviceSpread/4, func(i int, b *backend) { b.failing = i%3 == 0 })
	if err != nil {
		return FailingServersResult{}, err
	}
	defer f.stop()
	in := startInstances(failingInstances, f.entries(), documentOf(0, timeout))
	defer in.stop()
	var answered, all atomic.Int64
	var calls errgroup.Group
	rate := failingLoad * failingServers * slots / (leastService/2 + serviceSpread/8).Seconds()
	start, begun := time.Now(), 0.0
	for elapsed := time.Duration(0); elapsed < failingFor; elapsed = time.Since(start) {
		for begun < rate*elapsed.Seconds() {
			begun += rand.ExpFloat64()
			calls.Go(func() error {
				all.Add(1)
				if ask(in.routers[rand.IntN(failingInstances)]) == ident.Answered {
					answered.Add(1)
				}
				return nil
			})
		}
		time.Sleep(tick)
	}
	_ = calls.Wait()
	n := float64(all.Load())
	return FailingServersResult{Retries: in.counter("sardine_request_retries_total", "") / n, Answered: float64(answered.Load()) / n}, nil
}

func ask(r *route.Router) ident.Outcome {
	result := r.Do(context.Background(), route.Request{Method: http.MethodGet, Path: path, Account: "a", Header: http.Header{}})
	if a, ok := result.(route.Answered); ok {
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
	}
	return result.Outcome()
}
