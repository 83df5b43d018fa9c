package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/caller"
	"github.com/sardineline/sardineline/sard/creds"
	"github.com/sardineline/sardineline/sard/route"
	"github.com/sardineline/sardineline/sard/server"
)

// Overhead is what an instance adds to requests over loopback at half load: times that requests took through the
// instance less the times that they ran, less the same of requests sent straight to the servers.
type Overhead struct {
	P50, P99 time.Duration
	// CPUTime is the processor time per request that the instance adds, its caller's end included.
	CPUTime time.Duration
}

// Sizes of the measurement of added time.
const (
	addedServers = 4
	addedService = 20 * time.Millisecond
	// addedRounds are the rounds in which requests go straight and then through, so that both meet the same
	// disturbances of the machine.
	addedRounds = 6
	addedFor    = time.Second
	token       = "token"
)

// passage is what a run of requests took.
type passage struct {
	times     []time.Duration
	processor time.Duration
}

// MeasureOverhead sends requests at half the capacity straight to the servers and then through an instance.
func MeasureOverhead() (Overhead, error) {
	f, err := startFarm(addedServers, addedService, 0, nil)
	if err != nil {
		return Overhead{}, err
	}
	defer f.stop()
	in := startInstances(1, f.entries(), documentOf(0, timeout))
	defer in.stop()
	api, address, err := startAPI(in.routers[0])
	if err != nil {
		return Overhead{}, err
	}
	defer api.stop()
	rate := addedServers * slots / addedService.Seconds() / 2
	var straight, through passage
	for range addedRounds {
		err := straight.add(rate, func() string { return f.backends[rand.IntN(addedServers)].entry.Address + path })
		if err != nil {
			return Overhead{}, err
		}
		if err := through.add(rate, func() string { return address + "/r" + path }); err != nil {
			return Overhead{}, err
		}
	}
	n := time.Duration(len(through.times))
	return Overhead{
		P50:     quantile(through.times, 0.5) - quantile(straight.times, 0.5),
		P99:     quantile(through.times, 0.99) - quantile(straight.times, 0.99),
		CPUTime: (through.processor - straight.processor) / n,
	}, nil
}

// api is an HTTP server on loopback.
type api struct {
	server *http.Server
	group  errgroup.Group
}

func startAPI(r *route.Router) (*api, string, error) {
	tokens, err := creds.NewTokens([]creds.TokenEntry{{Sha256: creds.HashToken(token), Account: "a"}})
	if err != nil {
		return nil, "", err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	a := &api{server: &http.Server{Handler: caller.New(caller.Config{Router: r, Tokens: tokens})}}
	a.group.Go(func() error { return a.server.Serve(l) })
	return a, l.Addr().String(), nil
}

func (a *api) stop() {
	_ = a.server.Close()
	_ = a.group.Wait()
}

// add sends requests at random times at a rate per second and adds what they took.
func (p *passage) add(rate float64, address func() string) error {
	one, err := pass(rate, address)
	p.times = append(p.times, one.times...)
	p.processor += one.processor
	return err
}

// pass sends requests at random times at a rate per second.
func pass(rate float64, address func() string) (passage, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var p passage
	var calls errgroup.Group
	var began time.Duration
	start, begun := time.Now(), 0.0
	for elapsed := time.Duration(0); elapsed < addedFor; elapsed = time.Since(start) {
		warm := elapsed > addedFor/4
		if warm && began == 0 {
			began = processorTime()
		}
		for begun < rate*elapsed.Seconds() {
			begun += rand.ExpFloat64()
			calls.Go(func() error {
				d, err := get(client, address())
				if err != nil || !warm {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				p.times = append(p.times, d)
				return nil
			})
		}
		time.Sleep(tick / 2)
	}
	err := calls.Wait()
	p.processor = processorTime() - began
	return p, err
}

// get sends a request and returns the time that it took less the time that it ran.
func get(client *http.Client, address string) (time.Duration, error) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address, nil)
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set(server.HeaderRequest, "r")
	start := time.Now()
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return time.Since(start) - serviceOf(response.Header), err
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
