package route_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/route"
	"github.com/sardineline/sardineline/sard/server"
)

// TestLeavingServer checks that a server gets no more requests, also from other instances, once it shows that it is
// leaving, although the platform's list still shows it as live.
func TestLeavingServer(t *testing.T) {
	tests := []struct {
		name string
		sign func(w http.ResponseWriter)
	}{
		{"refusal while draining", func(w http.ResponseWriter) {
			w.Header().Set(server.HeaderRefused, server.RefusedDraining)
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		{"connection closed", func(w http.ResponseWriter) { w.Header().Set("Connection", "close") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var leaving atomic.Bool
				var last atomic.Int64
				cluster := newTestCluster(t, func(w http.ResponseWriter, _ *http.Request) {
					last.Store(time.Now().UnixNano())
					if leaving.Load() {
						tt.sign(w)
					}
				}, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "priced") })
				var b *route.Router
				a := cluster.newRouter(route.Config{Instance: "a", OnServerLeaving: func(s ident.Server) { b.MarkServerLeaving(s) }}, "b")
				b = cluster.newRouter(route.Config{Instance: "b", OnServerLeaving: func(s ident.Server) { a.MarkServerLeaving(s) }}, "a")
				waitForJoin()
				var since time.Time
				for i := range 300 {
					if i == 100 {
						since = time.Now()
						leaving.Store(true)
					}
					result, _ := post([]*route.Router{a, b}[i%2], "/price", "", "x")
					assert.Equal(t, result.Outcome(), ident.Answered)
					time.Sleep(100 * time.Millisecond)
				}
				assert.Assert(t, time.Unix(0, last.Load()).Sub(since) < 3*time.Second)
				assert.DeepEqual(t, a.LeavingServers(), []ident.Server{"s0"})
				assert.DeepEqual(t, b.LeavingServers(), []ident.Server{"s0"})
				cluster.stop(t, a, b)
			})
		})
	}
}

// TestLeavingMarksExpire checks that two instances that exchange their leaving marks do not renew them forever.
func TestLeavingMarksExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, func(http.ResponseWriter, *http.Request) {})
		a := cluster.newRouter(route.Config{Instance: "a"}, "b")
		b := cluster.newRouter(route.Config{Instance: "b"}, "a")
		a.MarkServerLeaving("s0")
		for range 200 {
			for _, s := range a.LeavingServers() {
				b.MarkServerLeaving(s)
			}
			for _, s := range b.LeavingServers() {
				a.MarkServerLeaving(s)
			}
			time.Sleep(time.Second)
		}
		assert.Equal(t, len(a.LeavingServers())+len(b.LeavingServers()), 0)
		cluster.stop(t, a, b)
	})
}

// TestDrain checks that draining a router waits for running and queued requests.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(testTimeout / 4)
			_, _ = io.WriteString(w, "priced")
		})
		a := cluster.newRouter(route.Config{Instance: "a"})
		waitForJoin()
		var answered atomic.Int64
		for range 5 {
			cluster.group.Go(func() error {
				if _, answer := post(a, "/price", "", "x"); answer == "priced" {
					answered.Add(1)
				}
				return http.ErrServerClosed
			})
		}
		time.Sleep(time.Millisecond)
		cluster.stop(t, a)
		assert.Equal(t, answered.Load(), int64(5))
	})
}
