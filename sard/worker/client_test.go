package worker_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/worker"
)

// TestClientErrors checks the error kind for each way in which a call that reached the worker can fail.
func TestClientErrors(t *testing.T) {
	rejectWith := func(code worker.ErrorCode) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(w).Encode(worker.ErrorReply{Code: code, Epoch: 9})
		}
	}
	hang := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	closeConn := func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		_ = conn.Close()
	}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    fault.Kind
	}{
		{"stale epoch", rejectWith(worker.StaleEpoch), fault.Fenced},
		{"occupied", rejectWith(worker.Occupied), fault.Conflict},
		{"unknown part", rejectWith(worker.UnknownPart), fault.NotFound},
		{"bad request", rejectWith(worker.BadRequest), fault.Invalid},
		{"broken", rejectWith(worker.Broken), fault.Internal},
		{"no response before the timeout", hang, fault.OutcomeUnknown},
		{"connection closed without a response", closeConn, fault.OutcomeUnknown},
		{"truncated response", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"Worker"`)) }, fault.OutcomeUnknown},
		{"error response of another program", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "?", http.StatusBadGateway) }, fault.OutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			client := worker.New(worker.Config{Worker: "w1", Address: server.Listener.Addr().String(), Timeout: 100 * time.Millisecond})
			_, err := client.Start(t.Context(), worker.StartRequest{Epoch: 1})
			assert.Equal(t, fault.KindOf(err), test.want)
			assert.Assert(t, strings.Contains(err.Error(), "start at worker w1"), "%v", err)
		})
	}
}

// TestClientConnectionRefused checks that a call is reported as not sent if no connection can be established.
func TestClientConnectionRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = worker.New(worker.Config{Worker: "w1", Address: address}).Fence(t.Context(), worker.FenceRequest{})
	assert.Equal(t, fault.KindOf(err), fault.Unavailable)
}

func TestClientRenew(t *testing.T) {
	var path string
	var got worker.RenewRequest
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path = r.URL.Path
		_ = json.NewDecoder(r.Body).Decode(&got)
		_ = json.NewEncoder(w).Encode(worker.Report{Worker: "w1", Sequence: 7})
	}))
	defer server.Close()
	client := worker.New(worker.Config{Worker: "w1", Address: server.Listener.Addr().String()})
	report, err := client.Renew(t.Context(), worker.RenewRequest{Epoch: 3, Parts: []worker.Part{{Job: "j", Attempt: 2}}})
	assert.NilError(t, err)
	assert.Equal(t, path, "/v1/renew")
	assert.Equal(t, got.Epoch, worker.RenewRequest{Epoch: 3}.Epoch)
	assert.Equal(t, report.Sequence, uint64(7))
}
