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

// Overhead is what an instance adds to requests over loopback at half load, compared to requests sent directly to the
// servers.
type Overhead struct {
	// P50 and P99 are percentiles of the latency minus the service time through the instance, less the same percentiles
	// of direct requests.
	P50, P99 time.Duration
	// CPUTime is the CPU time per request that the instance adds, including its HTTP API for callers.
	CPUTime time.Duration
}

// Parameters of MeasureOverhead.
const (
	overheadServers     = 4
	overheadServiceTime = 20 * time.Millisecond
	// overheadRounds is the number of rounds of MeasureOverhead. Each round sends direct and then routed requests, for
	// overheadRoundDuration each, so that both are equally affected by other load on the machine.
	overheadRounds        = 6
	overheadRoundDuration = time.Second
	bearerToken           = "token"
)

// measurement holds the latencies, without service times, of a series of requests and the CPU time that the process
// used for them.
type measurement struct {
	latencies []time.Duration
	cpuTime   time.Duration
}

// MeasureOverhead sends requests at half the capacity of the servers, alternately directly to the servers and through
// an instance, and returns the difference.
func MeasureOverhead() (Overhead, error) {
	backends, err := startBackends(overheadServers, overheadServiceTime, 0, nil)
	if err != nil {
		return Overhead{}, err
	}
	defer backends.stop()
	in := startInstances(1, backends.serverList(), newDocument(0, routeTimeout))
	defer in.stop()
	api, address, err := startAPIServer(in.routers[0])
	if err != nil {
		return Overhead{}, err
	}
	defer api.stop()
	rate := overheadServers * slotsPerBackend / overheadServiceTime.Seconds() / 2
	var direct, routed measurement
	for range overheadRounds {
		err := direct.run(rate, func() string { return backends.servers[rand.IntN(overheadServers)].info.Address + requestPath })
		if err != nil {
			return Overhead{}, err
		}
		if err := routed.run(rate, func() string { return address + "/r" + requestPath }); err != nil {
			return Overhead{}, err
		}
	}
	n := time.Duration(len(routed.latencies))
	return Overhead{
		P50:     quantile(routed.latencies, 0.5) - quantile(direct.latencies, 0.5),
		P99:     quantile(routed.latencies, 0.99) - quantile(direct.latencies, 0.99),
		CPUTime: (routed.cpuTime - direct.cpuTime) / n,
	}, nil
}

// apiServer serves the callers' HTTP API of a router on loopback.
type apiServer struct {
	server *http.Server
	group  errgroup.Group
}

// startAPIServer starts to serve the callers' HTTP API of a router on loopback. It returns the server and its address.
func startAPIServer(r *route.Router) (*apiServer, string, error) {
	tokens, err := creds.NewTokens([]creds.TokenEntry{{Sha256: creds.HashToken(bearerToken), Account: "a"}})
	if err != nil {
		return nil, "", err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	a := &apiServer{server: &http.Server{Handler: caller.New(caller.Config{Router: r, Tokens: tokens})}}
	a.group.Go(func() error { return a.server.Serve(l) })
	return a, l.Addr().String(), nil
}

// stop closes the server and waits for it to end.
func (a *apiServer) stop() {
	_ = a.server.Close()
	_ = a.group.Wait()
}

// run sends requests for overheadRoundDuration and adds their latencies and the CPU time used to m. It sends rate
// requests per second on average, each to the result of address.
func (m *measurement) run(rate float64, address func() string) error {
	round, err := measureRound(rate, address)
	m.latencies = append(m.latencies, round.latencies...)
	m.cpuTime += round.cpuTime
	return err
}

// measureRound sends requests for overheadRoundDuration and returns their latencies and the CPU time used. The requests
// are a Poisson process with the given rate per second, each sent to the result of address. The first quarter of the
// time is a warm-up and isn't measured.
func measureRound(rate float64, address func() string) (measurement, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connectionsPerBackend}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var m measurement
	var requests errgroup.Group
	var cpuBefore time.Duration
	// nextArrival is the time of the next arrival, in units of the mean time between arrivals.
	start, nextArrival := time.Now(), 0.0
	for elapsed := time.Duration(0); elapsed < overheadRoundDuration; elapsed = time.Since(start) {
		warmedUp := elapsed > overheadRoundDuration/4
		if warmedUp && cpuBefore == 0 {
			cpuBefore = processCPUTime()
		}
		for nextArrival < rate*elapsed.Seconds() {
			nextArrival += rand.ExpFloat64()
			requests.Go(func() error {
				d, err := timeRequest(client, address())
				if err != nil || !warmedUp {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				m.latencies = append(m.latencies, d)
				return nil
			})
		}
		time.Sleep(arrivalInterval / 2)
	}
	err := requests.Wait()
	m.cpuTime = processCPUTime() - cpuBefore
	return m, err
}

// timeRequest sends a request and returns its latency minus the service time.
func timeRequest(client *http.Client, address string) (time.Duration, error) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address, nil)
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+bearerToken)
	r.Header.Set(server.HeaderRequest, "r")
	start := time.Now()
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return time.Since(start) - serviceTime(response.Header), err
}

// processCPUTime returns the CPU time that this process has used, or 0 if it is not available.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
