package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestWaitsAsksTheInstanceThatSchedules guards against operators who must know which instance schedules the pool.
func TestWaitsAsksTheInstanceThatSchedules(t *testing.T) {
	serve := func(status int, body string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}))
		t.Cleanup(server.Close)
		return server.URL
	}
	idle := serve(http.StatusServiceUnavailable, `{"Error":"this instance does not schedule the pool","Kind":"Unavailable"}`)
	holder := serve(http.StatusOK, `{"Job":"j1","State":"Queued","Epoch":7,"Waits":[{"Part":"j1.0.0.3","Reason":"AwaitsRack","WaitedMs":900,"EndedBy":"room on one rack","LimitMs":1500}],"Orders":[{"Part":"j1.0.0.0","Attempt":2,"Worker":"w1","Reason":"startWait","WaitedMs":40}]}`)
	code, out := runCommand(idle, "--address", holder, "waits", "j1")
	assert.Equal(t, code, exitOK, out)
	for _, want := range []string{"j1.0.0.3", "AwaitsRack", "900ms", "room on one rack", "1.5s", "startWait", "40ms"} {
		assert.Assert(t, strings.Contains(out, want), "%s lacks %s", out, want)
	}
	code, out = runCommand(idle, "waits", "j1")
	assert.Equal(t, code, exitUnavailable, out)
}
