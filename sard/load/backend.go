// Package load measures the request path under load on loopback: the way of a request from a caller through an instance
// to a backend server and back.
//
// All instances, backend servers and callers of a measurement run in one process. Only the router of an instance is run
// (package route). Routers are called directly, except when measuring overhead and memory: these requests go through
// the callers' HTTP API. A backend server has a number of slots, which is the number of requests that it processes at
// the same time; it refuses further requests. The capacity is the number of requests per second that all servers can
// process together.
package load

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/server"
)

// serviceTimeHeader is the response header with the service time in nanoseconds.
const serviceTimeHeader = "X-Service-Ns"

// backend is a simulated backend server on loopback. It has slotsPerBackend slots. A request takes a slot for its
// service time, and is refused if no slot is free.
type backend struct {
	// info is the server's entry in the platform's server list.
	info   fleet.Server
	server *http.Server
	// minService and serviceRange define the uniform distribution of service times.
	minService   time.Duration
	serviceRange time.Duration
	// active counts the requests in progress, refused ones included.
	active atomic.Int64
	// failing makes the server abort the connection instead of responding.
	failing bool
	// release, if not nil, replaces the service time: all requests wait until the channel is closed.
	release <-chan struct{}
}

// backendGroup is the set of backend servers of a measurement.
type backendGroup struct {
	servers []*backend
	group   errgroup.Group
}

// Limits of each backend server.
const (
	slotsPerBackend       = 8
	connectionsPerBackend = 60
)

// startBackends starts count servers on loopback. Service times are drawn uniformly between minService and minService
// + serviceRange. configure, if not nil, is called for each server before it starts.
func startBackends(count int, minService, serviceRange time.Duration, configure func(i int, b *backend)) (*backendGroup, error) {
	g := &backendGroup{}
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			g.stop()
			return nil, err
		}
		b := &backend{minService: minService, serviceRange: serviceRange, info: fleet.Server{
			Name: ident.Server("b" + strconv.Itoa(i)), Address: l.Addr().String(), Slots: slotsPerBackend, Connections: connectionsPerBackend,
		}}
		if configure != nil {
			configure(i, b)
		}
		b.server = &http.Server{Handler: b}
		g.servers = append(g.servers, b)
		g.group.Go(func() error { return b.server.Serve(l) })
	}
	return g, nil
}

// serverList returns the servers in the form of the platform's server list.
func (g *backendGroup) serverList() []fleet.Server {
	var list []fleet.Server
	for _, b := range g.servers {
		list = append(list, b.info)
	}
	return list
}

// stop closes the servers and waits for their goroutines to end.
func (g *backendGroup) stop() {
	for _, b := range g.servers {
		_ = b.server.Close()
	}
	_ = g.group.Wait()
}

// ServeHTTP serves a request if a slot is free and refuses it otherwise.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(server.HeaderRequest, r.Header.Get(server.HeaderRequest))
	active := b.active.Add(1)
	defer b.active.Add(-1)
	if active > slotsPerBackend {
		w.Header().Set(server.HeaderRefused, server.RefusedBusy)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if b.failing {
		panic(http.ErrAbortHandler)
	}
	start := time.Now()
	b.serve()
	w.Header().Set(server.HeaderFreeSlots, strconv.FormatInt(slotsPerBackend-active, 10))
	w.Header().Set(serviceTimeHeader, strconv.FormatInt(int64(time.Since(start)), 10))
	_, _ = io.WriteString(w, "priced")
}

// serve sleeps for the service time of a request, which is drawn at random, or until release is closed if that is set.
func (b *backend) serve() {
	if b.release != nil {
		<-b.release
		return
	}
	d := b.minService
	if b.serviceRange > 0 {
		d += rand.N(b.serviceRange)
	}
	time.Sleep(d)
}

// serviceTime returns the service time in a response header, or 0 if there is none.
func serviceTime(h http.Header) time.Duration {
	ns, _ := strconv.ParseInt(h.Get(serviceTimeHeader), 10, 64)
	return time.Duration(ns)
}
