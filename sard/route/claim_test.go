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

// settler counts the requests that it ran. Bodies choose what it does.
type settler struct{ ran atomic.Int64 }

func (s *settler) handle(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if string(body) == "refuse" {
		w.Header().Set(server.HeaderRefused, server.RefusedBusy)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.ran.Add(1)
	switch string(body) {
	case "slow":
		time.Sleep(testTimeout / 2)
	case "reset":
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "settled "+string(body))
}

// TestKeys sends a request and then another with the same key through a second instance.
func TestKeys(t *testing.T) {
	tests := []struct {
		name          string
		first, second string
		// wait is the time between the two calls; 0 sends the second while the first runs.
		wait    time.Duration
		status  int
		outcome ident.Outcome
		answer  string
		ran     int64
	}{
		{"repeat gets the first answer", "claim", "claim", time.Second, 200, ident.Answered, "settled claim", 1},
		{"repeat at the same time", "slow", "slow", 0, 409, ident.Unknown, "", 1},
		{"another request", "claim", "other", time.Second, 422, ident.NotRun, "", 1},
		{"lost answer", "reset", "reset", time.Second, 502, ident.Unknown, "", 1},
		{"refused requests keep no key", "refuse", "claim", time.Second, 200, ident.Answered, "settled claim", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var s settler
				site := newSite(t, s.handle)
				a := site.instance(route.Config{Instance: "a"}, "b")
				b := site.instance(route.Config{Instance: "b"}, "a")
				joined()
				site.group.Go(func() error {
					post(a, "/settle", "key", tt.first)
					return http.ErrServerClosed
				})
				time.Sleep(max(tt.wait, testTimeout/4))
				result, answer := post(b, "/settle", "key", tt.second)
				assert.Equal(t, statusOf(result), tt.status)
				assert.Equal(t, result.Outcome(), tt.outcome)
				assert.Equal(t, answer, tt.answer)
				site.stop(t, a, b)
				assert.Equal(t, s.ran.Load(), tt.ran)
			})
		})
	}
}

// TestKeyAfterCrash cuts an instance off from the store after its claim, so that it never records the end.
func TestKeyAfterCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s settler
		var applied atomic.Int64
		site := newSite(t, s.handle)
		a := site.instance(route.Config{Instance: "a"}, "b")
		b := site.instance(route.Config{Instance: "b"}, "a")
		joined()
		site.store.InjectError = func(op string, _ bool) error {
			if op == "apply" && applied.Add(1) > 2 {
				return fault.New(fault.Unavailable, "apply batch", "table", "cut off")
			}
			return nil
		}
		post(a, "/settle", "key", "claim")
		site.store.InjectError = nil
		result, _ := post(b, "/settle", "key", "claim")
		assert.Equal(t, statusOf(result), http.StatusConflict, "in progress")
		time.Sleep(time.Minute)
		result, _ = post(b, "/settle", "key", "claim")
		assert.Equal(t, result.Outcome(), ident.Unknown)
		assert.Equal(t, statusOf(result), http.StatusBadGateway)
		site.stop(t, a, b)
		assert.Equal(t, s.ran.Load(), int64(1))
	})
}

// TestStoreDown sends a keyed request while the store is down or loses its answers.
func TestStoreDown(t *testing.T) {
	tests := []struct {
		name string
		kind fault.Kind
	}{
		{"down", fault.Unavailable},
		{"throttled", fault.Throttled},
		{"answer lost", fault.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var s settler
				site := newSite(t, s.handle)
				a := site.instance(route.Config{Instance: "a"})
				joined()
				failed := false
				site.store.InjectError = func(op string, after bool) error {
					if op == "apply" && !failed && after == (tt.kind == fault.OutcomeUnknown) {
						failed = true
						return fault.New(tt.kind, "apply batch", "table", "%s", tt.name)
					}
					return nil
				}
				result, _ := post(a, "/settle", "key", "claim")
				assert.Equal(t, result.Outcome(), ident.NotRun)
				assert.Assert(t, fault.RetryAfterOf(result.(route.NotRun).Fault) > 0)
				assert.Equal(t, s.ran.Load(), int64(0))
				result, _ = post(a, "/settle", "key", "claim")
				assert.Equal(t, result.Outcome(), ident.Answered, "the key is free again")
				site.stop(t, a)
			})
		})
	}
}
