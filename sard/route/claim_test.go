package route_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/route"
	"github.com/sardineline/sardineline/sard/server"
)

// settleHandler counts the requests that it runs. The request body selects its behaviour.
type settleHandler struct{ runs atomic.Int64 }

// handle refuses, delays, aborts or answers the request.
func (h *settleHandler) handle(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if string(body) == "refuse" {
		w.Header().Set(server.HeaderRefused, server.RefusedBusy)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.runs.Add(1)
	switch string(body) {
	case "slow":
		time.Sleep(testTimeout / 2)
	case "reset":
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "settled "+string(body))
}

// TestIdempotencyKeys checks the result of a second request with the same key that is sent through another instance.
func TestIdempotencyKeys(t *testing.T) {
	tests := []struct {
		name          string
		first, second string
		// wait is the time between the two requests; 0 sends the second while the first is running.
		wait     time.Duration
		status   int
		outcome  ident.Outcome
		wantBody string
		wantRuns int64
	}{
		{"repeat returns the first response", "claim", "claim", time.Second, 200, ident.Answered, "settled claim", 1},
		{"repeat while the first is running", "slow", "slow", 0, 409, ident.Unknown, "", 1},
		{"different request with the same key", "claim", "other", time.Second, 422, ident.NotRun, "", 1},
		{"response lost", "reset", "reset", time.Second, 502, ident.Unknown, "", 1},
		{"refused request releases the key", "refuse", "claim", time.Second, 200, ident.Answered, "settled claim", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var handler settleHandler
				cluster := newTestCluster(t, handler.handle)
				a := cluster.newRouter(route.Config{Instance: "a"}, "b")
				b := cluster.newRouter(route.Config{Instance: "b"}, "a")
				waitForJoin()
				cluster.group.Go(func() error {
					post(a, "/settle", "key", tt.first)
					return http.ErrServerClosed
				})
				time.Sleep(max(tt.wait, testTimeout/4))
				result, answer := post(b, "/settle", "key", tt.second)
				assert.Equal(t, statusOf(result), tt.status)
				assert.Equal(t, result.Outcome(), tt.outcome)
				assert.Equal(t, answer, tt.wantBody)
				cluster.stop(t, a, b)
				assert.Equal(t, handler.runs.Load(), tt.wantRuns)
			})
		})
	}
}

// TestIdempotencyKeyAfterCrash checks the results of repeated requests when the first instance loses the store after
// writing its claim, so that the end of its request is never recorded.
func TestIdempotencyKeyAfterCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var handler settleHandler
		var applied atomic.Int64
		cluster := newTestCluster(t, handler.handle)
		a := cluster.newRouter(route.Config{Instance: "a"}, "b")
		b := cluster.newRouter(route.Config{Instance: "b"}, "a")
		waitForJoin()
		cluster.store.InjectError = func(op string, _ bool) error {
			if op == "apply" && applied.Add(1) > 2 {
				return fault.New(fault.Unavailable, "apply batch", "table", "store unreachable")
			}
			return nil
		}
		post(a, "/settle", "key", "claim")
		cluster.store.InjectError = nil
		result, _ := post(b, "/settle", "key", "claim")
		assert.Equal(t, statusOf(result), http.StatusConflict, "in progress")
		time.Sleep(time.Minute)
		result, _ = post(b, "/settle", "key", "claim")
		assert.Equal(t, result.Outcome(), ident.Unknown)
		assert.Equal(t, statusOf(result), http.StatusBadGateway)
		cluster.stop(t, a, b)
		assert.Equal(t, handler.runs.Load(), int64(1))
	})
}

// TestClaimStoreUnavailable checks that a request with a key does not run if its claim cannot be written or
// confirmed, and that the key can be used again.
func TestClaimStoreUnavailable(t *testing.T) {
	tests := []struct {
		name string
		kind fault.Kind
	}{
		{"down", fault.Unavailable},
		{"throttled", fault.Throttled},
		{"response lost", fault.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var handler settleHandler
				cluster := newTestCluster(t, handler.handle)
				a := cluster.newRouter(route.Config{Instance: "a"})
				waitForJoin()
				failed := false
				cluster.store.InjectError = func(op string, after bool) error {
					if op == "apply" && !failed && after == (tt.kind == fault.OutcomeUnknown) {
						failed = true
						return fault.New(tt.kind, "apply batch", "table", "%s", tt.name)
					}
					return nil
				}
				result, _ := post(a, "/settle", "key", "claim")
				assert.Equal(t, result.Outcome(), ident.NotRun)
				assert.Assert(t, fault.RetryAfterOf(result.(route.NotRun).Fault) > 0)
				assert.Equal(t, handler.runs.Load(), int64(0))
				result, _ = post(a, "/settle", "key", "claim")
				assert.Equal(t, result.Outcome(), ident.Answered, "key can be used again")
				cluster.stop(t, a)
			})
		})
	}
}
