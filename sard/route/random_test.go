package route_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/route"
	"github.com/sardineline/sardineline/sard/table"
)

// testTimeout is the timeout of the routes in the tests.
const testTimeout = 200 * time.Millisecond

// Environment variables that configure the randomized runs.
const (
	seedVariable  = "SARD_ROUTE_SEED"
	countVariable = "SARD_ROUTE_REQUESTS"
)

// envInt returns an environment variable as a number, or the default value if it is not set.
func envInt(name string, defaultValue int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return defaultValue
}

// document is the environment document of the tests.
var document = &envdoc.Document{
	Accounts: []envdoc.Account{{Name: "a", Weight: 2}, {Name: "b"}},
	Routes: []envdoc.Route{
		{Name: "price", Path: "/price", Timeout: ident.Duration(testTimeout)},
		{Name: "settle", Path: "/settle", Class: ident.NotRepeated, Timeout: ident.Duration(testTimeout)},
	},
}

// callRecord is a request of a randomized run with the result that the caller got.
type callRecord struct {
	request route.Request
	token   string
	size    int
	outcome ident.Outcome
	status  int
	body    string
	err     error
}

// testRun is a randomized run of several routers with faulty servers.
type testRun struct {
	requests *requestLog
	routers  []*route.Router
	group    *errgroup.Group

	mu    sync.Mutex
	calls []callRecord
}

// add appends a call.
func (run *testRun) add(c callRecord) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.calls = append(run.calls, c)
}

// flakyStore returns a store with random failures, before or after a write takes effect.
func flakyStore(seed uint64) *table.Memory {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 2))
	return &table.Memory{InjectError: func(_ string, after bool) error {
		mu.Lock()
		defer mu.Unlock()
		if random.IntN(20) > 0 {
			return nil
		}
		if after {
			return fault.New(fault.OutcomeUnknown, "apply batch", "table", "response was lost")
		}
		return fault.New(fault.Unavailable, "call", "table", "table is unavailable")
	}}
}

// Sizes of a randomized run.
const (
	runRouters = 3
	runServers = 6
)

// newTestRun starts the routers and waits until they have joined.
func newTestRun(seed uint64, requests *requestLog, servers []fleet.Server, dial func(context.Context, string) (net.Conn, error)) *testRun {
	run := &testRun{requests: requests, group: &errgroup.Group{}}
	store := flakyStore(seed)
	var names []ident.Instance
	for i := range runRouters {
		names = append(names, ident.Instance(fmt.Sprintf("i%d", i)))
	}
	for _, name := range names {
		r := route.New(route.Config{
			Instance: name, Dial: dial, Store: store, JoinDelay: time.Millisecond, LeavingMarkTTL: 50 * time.Millisecond,
		})
		r.SetDocument(document)
		r.SetServers(servers)
		r.SetInstances(name, names)
		run.routers = append(run.routers, r)
	}
	time.Sleep(2 * time.Millisecond)
	return run
}

// sendRequests sends requests at random times and waits for their results.
func (run *testRun) sendRequests(t *testing.T, seed uint64, count int) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 3))
	callers := &errgroup.Group{}
	callers.SetLimit(200)
	for n := range count {
		request, size := drawRequest(random, n)
		token := fmt.Sprintf("token-%d-%d", seed, n)
		copies := 1
		if request.IdempotencyKey != "" {
			copies += random.IntN(3)
		}
		for i := range copies {
			q := request
			q.ID = ident.Request(fmt.Sprintf("%s-%d", token, i))
			router := run.routers[random.IntN(len(run.routers))]
			cancels := random.IntN(20) == 0
			callers.Go(func() error {
				run.add(sendAndRecord(router, q, token, size, cancels))
				return nil
			})
		}
		time.Sleep(time.Duration(random.IntN(400)) * time.Microsecond)
	}
	assert.NilError(t, callers.Wait())
}

// drawRequest returns a random request and its response size.
func drawRequest(random *rand.Rand, n int) (route.Request, int) {
	q := route.Request{Method: http.MethodPost, Path: "/price/x", Header: http.Header{}, Account: "a"}
	if random.IntN(2) == 0 {
		q.Account = "b"
	}
	size := []int{10, 1000, 100_000}[random.IntN(3)]
	q.Header.Set(headerSize, strconv.Itoa(size))
	switch random.IntN(3) {
	case 0:
		q.Path = "/settle/x"
		q.Header.Set("Idempotency-Key", "looks safe to repeat")
	case 1:
		q.Path = "/settle/y"
		q.IdempotencyKey = ident.IdempotencyKey(fmt.Sprintf("key-%d", n))
	}
	return q, size
}

// sendAndRecord sends a request and reads its response. If cancels is set, the caller gives up after 3 ms.
func sendAndRecord(router *route.Router, q route.Request, token string, size int, cancels bool) callRecord {
	ctx := context.Background()
	if cancels {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, 3*time.Millisecond)
		defer cancel()
	}
	q.Body = strings.NewReader(token)
	q.ContentLength = int64(len(token))
	result := router.Do(ctx, q)
	c := callRecord{request: q, token: token, size: size, outcome: result.Outcome()}
	if a, ok := result.(route.Answered); ok {
		body, err := io.ReadAll(a.Body)
		c.err = errors.Join(err, a.Body.Close())
		c.body = string(body)
		c.status = a.Status
	}
	return c
}

// check compares the results of the callers with what the servers ran.
func (run *testRun) check(t *testing.T) {
	t.Helper()
	outcomes := map[ident.Outcome]int{}
	for _, call := range run.calls {
		outcomes[call.outcome]++
		runs := run.requests.runsByID[call.request.ID]
		notRepeated := strings.HasPrefix(call.request.Path, "/settle")
		switch {
		case call.outcome == ident.NotRun && runs > 0:
			t.Errorf("%s to %s was reported as NotRun but ran %d times", call.request.ID, call.request.Path, runs)
		case notRepeated && run.requests.runsByToken[call.token] > 1:
			t.Errorf("%s must not be repeated but ran %d times", call.request.ID, run.requests.runsByToken[call.token])
		case notRepeated && run.requests.received[call.request.ID] > 1:
			t.Errorf("%s was sent %d times", call.request.ID, run.requests.received[call.request.ID])
		case call.outcome == ident.Answered && call.err == nil && call.body != expectedBody(call.token, call.size):
			t.Errorf("%s got %.40q… (%d bytes) as a complete response", call.request.ID, call.body, len(call.body))
		case call.outcome == ident.Answered && run.requests.runsByToken[call.token] == 0:
			t.Errorf("%s was answered but never ran", call.request.ID)
		}
	}
	t.Logf("%d requests: %v", len(run.calls), outcomes)
	for _, o := range []ident.Outcome{ident.Answered, ident.NotRun, ident.Unknown} {
		assert.Assert(t, outcomes[o] > 0, "no request had the outcome %s", o)
	}
}

// TestRandomVirtualTime runs random requests against servers with all kinds of faults, in virtual time.
func TestRandomVirtualTime(t *testing.T) {
	seed := uint64(envInt(seedVariable, 1))
	count := envInt(countVariable, 3000)
	synctest.Test(t, func(t *testing.T) {
		requests := newRequestLog()
		group := &errgroup.Group{}
		listeners := map[string]*pipeListener{}
		var servers []fleet.Server
		var running []*http.Server
		for i := range runServers {
			name := fmt.Sprintf("s%d", i)
			listener := newPipeListener()
			listeners[name] = listener
			s := &http.Server{Handler: newFaultyServer(requests, seed+uint64(i), 0.2)}
			running = append(running, s)
			group.Go(func() error { return s.Serve(listener) })
			servers = append(servers, fleet.Server{Name: ident.Server(name), Address: name, Slots: faultySlots, Connections: 20})
		}
		run := newTestRun(seed, requests, servers, func(_ context.Context, address string) (net.Conn, error) {
			return listeners[address].dial()
		})
		run.sendRequests(t, seed, count)
		for _, r := range run.routers {
			assert.NilError(t, r.Drain(t.Context()))
			r.Close()
		}
		for _, s := range running {
			_ = s.Close()
		}
		assert.ErrorIs(t, group.Wait(), http.ErrServerClosed)
		time.Sleep(time.Minute)
		run.check(t)
	})
}

// TestRandomLoopback runs random requests against servers with all kinds of faults, over TCP.
func TestRandomLoopback(t *testing.T) {
	seed := uint64(envInt(seedVariable, 1))
	count := envInt(countVariable, 1000)
	requests := newRequestLog()
	group := &errgroup.Group{}
	var servers []fleet.Server
	for i := range runServers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		s := &http.Server{Handler: newFaultyServer(requests, seed+uint64(i), 0.2)}
		group.Go(func() error { return s.Serve(l) })
		t.Cleanup(func() { _ = s.Close() })
		servers = append(servers, fleet.Server{
			Name: ident.Server(fmt.Sprintf("s%d", i)), Address: l.Addr().String(), Slots: faultySlots, Connections: 20,
		})
	}
	run := newTestRun(seed, requests, servers, nil)
	run.sendRequests(t, seed, count)
	for _, r := range run.routers {
		assert.NilError(t, r.Drain(t.Context()))
		r.Close()
	}
	requests.mu.Lock()
	defer requests.mu.Unlock()
	run.check(t)
}
