package route_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/route"
)

// TestFullQueueRejectsImmediately checks that a request is rejected without delay if the queue of its account is
// full.
func TestFullQueueRejectsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(testTimeout / 2)
			_, _ = io.WriteString(w, "priced")
		})
		a := cluster.newRouter(route.Config{Instance: "a"})
		limited := *document
		limited.Accounts = []envdoc.Account{{Name: "a", MaxWaitingRequests: 1}, {Name: "b"}}
		a.SetDocument(&limited)
		waitForJoin()
		var callers errgroup.Group
		for range 3 {
			callers.Go(func() error {
				post(a, "/price", "", "x")
				return nil
			})
		}
		time.Sleep(time.Millisecond)
		start := time.Now()
		result, _ := post(a, "/price", "", "x")
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Equal(t, statusOf(result), http.StatusTooManyRequests)
		assert.Assert(t, fault.RetryAfterOf(result.(route.NotRun).Fault) >= time.Second)
		assert.NilError(t, callers.Wait())
		cluster.stop(t, a)
	})
}

// TestConnectionLimit checks that the connections to a server stay within its limit while instances join and fail
// under load. The other instances learn of a change two seconds late, and lost instances keep sending requests for
// some time.
func TestConnectionLimit(t *testing.T) {
	const (
		initialInstances, totalInstances, maxConnections = 7, 12, 60
		notificationDelay                                = 2 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Second / 2)
			_, _ = io.WriteString(w, "priced")
		})
		longTimeout := *document
		longTimeout.Routes = []envdoc.Route{{Name: "price", Path: "/price", Timeout: ident.Duration(time.Minute)}}
		cluster.servers[0].Slots, cluster.servers[0].Connections = 8, maxConnections
		var names []ident.Instance
		for i := range totalInstances {
			names = append(names, ident.Instance(fmt.Sprintf("i%d", i)))
		}
		var routers []*route.Router
		var callers errgroup.Group
		var answered atomic.Int64
		stopRemaining, stopFailed := make(chan struct{}), make(chan struct{})
		start := func(name ident.Instance, known []ident.Instance, stop <-chan struct{}) {
			r := cluster.newRouter(route.Config{Instance: name}, known...)
			r.SetDocument(&longTimeout)
			routers = append(routers, r)
			for range 10 {
				callers.Go(func() error { return sendUntil(stop, r, &answered) })
			}
		}
		announce := func(known []ident.Instance) {
			time.Sleep(notificationDelay)
			for i, r := range routers[:len(known)] {
				r.SetInstances(names[i], known)
			}
			time.Sleep(12 * time.Second)
		}
		for _, name := range names[:initialInstances] {
			start(name, names[:initialInstances], stopRemaining)
		}
		waitForJoin()
		for _, name := range names[initialInstances:] {
			start(name, names, stopFailed)
		}
		announce(names)
		callers.Go(func() error {
			time.Sleep(8 * time.Second)
			close(stopFailed)
			for _, r := range routers[initialInstances:] {
				if err := r.Drain(t.Context()); err != nil {
					return err
				}
				r.Close()
			}
			return nil
		})
		announce(names[:initialInstances])
		close(stopRemaining)
		assert.NilError(t, callers.Wait())
		assert.Assert(t, answered.Load() > 1000)
		assert.Assert(t, cluster.maxOpenConns["s0"] <= maxConnections, "%d connections were open at once", cluster.maxOpenConns["s0"])
		cluster.stop(t, routers...)
	})
}

// sendUntil sends requests until stop is closed and counts the answered ones.
func sendUntil(stop <-chan struct{}, r *route.Router, answered *atomic.Int64) error {
	for {
		select {
		case <-stop:
			return nil
		default:
		}
		if result, _ := post(r, "/price", "", "x"); result.Outcome() == ident.Answered {
			answered.Add(1)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestCircuitBreakerProtectsFailingServer checks that a server that fails every request gets few of them, and that it
// gets requests again after it has recovered.
func TestCircuitBreakerProtectsFailingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var failing atomic.Bool
		var failed, served atomic.Int64
		failing.Store(true)
		cluster := newTestCluster(t, func(w http.ResponseWriter, _ *http.Request) {
			if failing.Load() {
				failed.Add(1)
				panic(http.ErrAbortHandler)
			}
			served.Add(1)
		}, func(w http.ResponseWriter, _ *http.Request) { time.Sleep(time.Millisecond) })
		a := cluster.newRouter(route.Config{Instance: "a"})
		waitForJoin()
		send := func(count int) {
			for range count {
				result, _ := post(a, "/price", "", "x")
				assert.Equal(t, result.Outcome(), ident.Answered)
				time.Sleep(10 * time.Millisecond)
			}
		}
		send(1000)
		assert.Assert(t, failed.Load() <= 12, "%d requests failed in 10 s", failed.Load())
		failing.Store(false)
		send(3000)
		assert.Assert(t, served.Load() > 100, "%d requests after it recovered", served.Load())
		cluster.stop(t, a)
	})
}
