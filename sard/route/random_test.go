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

// testTimeout is the timeout of the routes of the randomised runs.
const testTimeout = 200 * time.Millisecond

// The environment variables of the randomised runs.
const (
	seedVariable  = "SARD_ROUTE_SEED"
	countVariable = "SARD_ROUTE_REQUESTS"
)

func setting(name string, preset int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return preset
}

var document = &envdoc.Document{
	Accounts: []envdoc.Account{{Name: "a", Weight: 2}, {Name: "b"}},
	Routes: []envdoc.Route{
		{Name: "price", Path: "/price", Timeout: ident.Duration(testTimeout)},
		{Name: "settle", Path: "/settle", Class: ident.NotRepeated, Timeout: ident.Duration(testTimeout)},
	},
}

// told is what a caller of the randomised run asked and was told.
type told struct {
	request route.Request
	token   string
	size    int
	outcome ident.Outcome
	status  int
	body    string
	err     error
}

// world is a number of routers before a number of faulty servers.
type world struct {
	ledger  *ledger
	routers []*route.Router
	group   *errgroup.Group

	mu   sync.Mutex
	told []told
}

func (w *world) add(t told) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.told = append(w.told, t)
}

// flakyStore fails at random, before writes and after they took effect.
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
			return fault.New(fault.OutcomeUnknown, "apply batch", "table", "the answer was lost")
		}
		return fault.New(fault.Unavailable, "call", "table", "the table is down")
	}}
}

const (
	worldRouters = 3
	worldServers = 6
)

func newWorld(seed uint64, ledger *ledger, servers []fleet.Server, dial func(context.Context, string) (net.Conn, error)) *world {
	w := &world{ledger: ledger, group: &errgroup.Group{}}
	store := flakyStore(seed)
	var names []ident.Instance
	for i := range worldRouters {
		names = append(names, ident.Instance(fmt.Sprintf("i%d", i)))
	}
	for _, name := range names {
		r := route.New(route.Config{
			Instance: name, Dial: dial, Store: store, JoinDelay: time.Millisecond, LeavingMarkTTL: 50 * time.Millisecond,
		})
		r.SetDocument(document)
		r.SetServers(servers)
		r.SetInstances(name, names)
		w.routers = append(w.routers, r)
	}
	time.Sleep(2 * time.Millisecond)
	return w
}

// drive sends requests at random times and waits for all.
func (w *world) drive(t *testing.T, seed uint64, count int) {
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
			router := w.routers[random.IntN(len(w.routers))]
			leaves := random.IntN(20) == 0
			callers.Go(func() error {
				w.add(ask(router, q, token, size, leaves))
				return nil
			})
		}
		time.Sleep(time.Duration(random.IntN(400)) * time.Microsecond)
	}
	assert.NilError(t, callers.Wait())
}

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

// ask makes one call and reads its answer. A caller that leaves does so after a while.
func ask(router *route.Router, q route.Request, token string, size int, leaves bool) told {
	ctx := context.Background()
	if leaves {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, 3*time.Millisecond)
		defer cancel()
	}
	q.Body = strings.NewReader(token)
	q.ContentLength = int64(len(token))
	result := router.Do(ctx, q)
	t := told{request: q, token: token, size: size, outcome: result.Outcome()}
	if a, ok := result.(route.Answered); ok {
		body, err := io.ReadAll(a.Body)
		t.err = errors.Join(err, a.Body.Close())
		t.body = string(body)
		t.status = a.Status
	}
	return t
}

// check compares what callers were told with what the servers ran.
func (w *world) check(t *testing.T) {
	t.Helper()
	outcomes := map[ident.Outcome]int{}
	for _, told := range w.told {
		outcomes[told.outcome]++
		ran := w.ledger.byID[told.request.ID]
		once := strings.HasPrefix(told.request.Path, "/settle")
		switch {
		case told.outcome == ident.NotRun && ran > 0:
			t.Errorf("%s to %s was told NotRun and ran %d times", told.request.ID, told.request.Path, ran)
		case once && w.ledger.byToken[told.token] > 1:
			t.Errorf("%s is not to be repeated and ran %d times", told.request.ID, w.ledger.byToken[told.token])
		case once && w.ledger.received[told.request.ID] > 1:
			t.Errorf("%s was sent %d times", told.request.ID, w.ledger.received[told.request.ID])
		case told.outcome == ident.Answered && told.err == nil && told.body != expected(told.token, told.size):
			t.Errorf("%s got %.40q… (%d bytes) as a whole answer", told.request.ID, told.body, len(told.body))
		case told.outcome == ident.Answered && w.ledger.byToken[told.token] == 0:
			t.Errorf("%s was answered and never ran", told.request.ID)
		}
	}
	t.Logf("%d requests: %v", len(w.told), outcomes)
	for _, o := range []ident.Outcome{ident.Answered, ident.NotRun, ident.Unknown} {
		assert.Assert(t, outcomes[o] > 0, "no request ended %s", o)
	}
}

// TestRandomVirtualTime runs random requests against servers with every fault in virtual time.
func TestRandomVirtualTime(t *testing.T) {
	seed := uint64(setting(seedVariable, 1))
	count := setting(countVariable, 3000)
	synctest.Test(t, func(t *testing.T) {
		ledger := newLedger()
		group := &errgroup.Group{}
		listeners := map[string]*pipeListener{}
		var servers []fleet.Server
		var running []*http.Server
		for i := range worldServers {
			name := fmt.Sprintf("s%d", i)
			listener := newPipeListener()
			listeners[name] = listener
			s := &http.Server{Handler: newFaulty(ledger, seed+uint64(i), 0.2)}
			running = append(running, s)
			group.Go(func() error { return s.Serve(listener) })
			servers = append(servers, fleet.Server{Name: ident.Server(name), Address: name, Slots: faultySlots, Connections: 20})
		}
		w := newWorld(seed, ledger, servers, func(_ context.Context, address string) (net.Conn, error) {
			return listeners[address].dial()
		})
		w.drive(t, seed, count)
		for _, r := range w.routers {
			assert.NilError(t, r.Drain(t.Context()))
			r.Close()
		}
		for _, s := range running {
			_ = s.Close()
		}
		assert.ErrorIs(t, group.Wait(), http.ErrServerClosed)
		time.Sleep(time.Minute)
		w.check(t)
	})
}

// TestRandomLoopback runs random requests against servers with every fault over TCP.
func TestRandomLoopback(t *testing.T) {
	seed := uint64(setting(seedVariable, 1))
	count := setting(countVariable, 1000)
	ledger := newLedger()
	group := &errgroup.Group{}
	var servers []fleet.Server
	for i := range worldServers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		s := &http.Server{Handler: newFaulty(ledger, seed+uint64(i), 0.2)}
		group.Go(func() error { return s.Serve(l) })
		t.Cleanup(func() { _ = s.Close() })
		servers = append(servers, fleet.Server{
			Name: ident.Server(fmt.Sprintf("s%d", i)), Address: l.Addr().String(), Slots: faultySlots, Connections: 20,
		})
	}
	w := newWorld(seed, ledger, servers, nil)
	w.drive(t, seed, count)
	for _, r := range w.routers {
		assert.NilError(t, r.Drain(t.Context()))
		r.Close()
	}
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	w.check(t)
}
