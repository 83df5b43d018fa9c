// Package load drives the request path on loopback and measures it.
//
// All instances, backend servers and callers of a measurement run in one process. Routers are called directly,
// but for the measurements of added time and memory, which go through the HTTP API of callers.
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

// headerService tells in an answer how long the request ran, in nanoseconds.
const headerService = "X-Service-Ns"

// backend is a backend server on loopback with a number of slots.
type backend struct {
	entry   fleet.Server
	server  *http.Server
	least   time.Duration
	spread  time.Duration
	busy    atomic.Int64
	failing bool
	hold    <-chan struct{}
}

// farm is a number of backend servers.
type farm struct {
	backends []*backend
	group    errgroup.Group
}

// Slots and connections of a backend server.
const (
	slots       = 8
	connections = 60
)

// startFarm starts servers whose requests run for a time drawn evenly from least to least + spread.
func startFarm(count int, least, spread time.Duration, set func(i int, b *backend)) (*farm, error) {
	f := &farm{}
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.stop()
			return nil, err
		}
		b := &backend{least: least, spread: spread, entry: fleet.Server{
			Name: ident.Server("b" + strconv.Itoa(i)), Address: l.Addr().String(), Slots: slots, Connections: connections,
		}}
		if set != nil {
			set(i, b)
		}
		b.server = &http.Server{Handler: b}
		f.backends = append(f.backends, b)
		f.group.Go(func() error { return b.server.Serve(l) })
	}
	return f, nil
}

// entries lists the servers as the platform does.
func (f *farm) entries() []fleet.Server {
	var list []fleet.Server
	for _, b := range f.backends {
		list = append(list, b.entry)
	}
	return list
}

func (f *farm) stop() {
	for _, b := range f.backends {
		_ = b.server.Close()
	}
	_ = f.group.Wait()
}

// ServeHTTP runs a request when a slot is free.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(server.HeaderRequest, r.Header.Get(server.HeaderRequest))
	busy := b.busy.Add(1)
	defer b.busy.Add(-1)
	if busy > slots {
		w.Header().Set(server.HeaderRefused, server.RefusedBusy)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if b.failing {
		panic(http.ErrAbortHandler)
	}
	start := time.Now()
	b.run()
	w.Header().Set(server.HeaderFreeSlots, strconv.FormatInt(slots-busy, 10))
	w.Header().Set(headerService, strconv.FormatInt(int64(time.Since(start)), 10))
	_, _ = io.WriteString(w, "priced")
}

func (b *backend) run() {
	if b.hold != nil {
		<-b.hold
		return
	}
	d := b.least
	if b.spread > 0 {
		d += rand.N(b.spread)
	}
	time.Sleep(d)
}

// serviceOf reads how long a request ran.
func serviceOf(h http.Header) time.Duration {
	ns, _ := strconv.ParseInt(h.Get(headerService), 10, 64)
	return time.Duration(ns)
}
