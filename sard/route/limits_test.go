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

// TestGivenUpAtOnce fills an account's line and checks that one more request is answered in no time.
func TestGivenUpAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(t, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(testTimeout / 2)
			_, _ = io.WriteString(w, "priced")
		})
		a := site.instance(route.Config{Instance: "a"})
		limited := *document
		limited.Accounts = []envdoc.Account{{Name: "a", MaxWaitingRequests: 1}, {Name: "b"}}
		a.SetDocument(&limited)
		joined()
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
		site.stop(t, a)
	})
}

// TestConnections lets instances join and fail under load, and counts the connections to a server. The others
// learn of a change two seconds late, and lost instances go on for a while.
func TestConnections(t *testing.T) {
	const (
		first, all, most = 7, 12, 60
		news             = 2 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		site := newSite(t, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Second / 2)
			_, _ = io.WriteString(w, "priced")
		})
		patient := *document
		patient.Routes = []envdoc.Route{{Name: "price", Path: "/price", Timeout: ident.Duration(time.Minute)}}
		site.servers[0].Slots, site.servers[0].Connections = 8, most
		var names []ident.Instance
		for i := range all {
			names = append(names, ident.Instance(fmt.Sprintf("i%d", i)))
		}
		var routers []*route.Router
		var callers errgroup.Group
		var answered atomic.Int64
		ended, failed := make(chan struct{}), make(chan struct{})
		start := func(name ident.Instance, known []ident.Instance, ended <-chan struct{}) {
			r := site.instance(route.Config{Instance: name}, known...)
			r.SetDocument(&patient)
			routers = append(routers, r)
			for range 10 {
				callers.Go(func() error { return sendUntil(ended, r, &answered) })
			}
		}
		tell := func(known []ident.Instance) {
			time.Sleep(news)
			for i, r := range routers[:len(known)] {
				r.SetInstances(names[i], known)
			}
			time.Sleep(12 * time.Second)
		}
		for _, name := range names[:first] {
			start(name, names[:first], ended)
		}
		joined()
		for _, name := range names[first:] {
			start(name, names, failed)
		}
		tell(names)
		callers.Go(func() error {
			time.Sleep(8 * time.Second)
			close(failed)
			for _, r := range routers[first:] {
				if err := r.Drain(t.Context()); err != nil {
					return err
				}
				r.Close()
			}
			return nil
		})
		tell(names[:first])
		close(ended)
		assert.NilError(t, callers.Wait())
		assert.Assert(t, answered.Load() > 1000)
		assert.Assert(t, site.most["s0"] <= most, "%d connections", site.most["s0"])
		site.stop(t, routers...)
	})
}

func sendUntil(ended <-chan struct{}, r *route.Router, answered *atomic.Int64) error {
	for {
		select {
		case <-ended:
			return nil
		default:
		}
		if result, _ := post(r, "/price", "", "x"); result.Outcome() == ident.Answered {
			answered.Add(1)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestFailingServer checks that a server that fails everything gets few requests, and work again once it is well.
func TestFailingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var failing atomic.Bool
		var failed, healed atomic.Int64
		failing.Store(true)
		site := newSite(t, func(w http.ResponseWriter, _ *http.Request) {
			if failing.Load() {
				failed.Add(1)
				panic(http.ErrAbortHandler)
			}
			healed.Add(1)
		}, func(w http.ResponseWriter, _ *http.Request) { time.Sleep(time.Millisecond) })
		a := site.instance(route.Config{Instance: "a"})
		joined()
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
		assert.Assert(t, healed.Load() > 100, "%d requests after it was well", healed.Load())
		site.stop(t, a)
	})
}
