package server_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	wire "github.com/sardineline/sardineline/sard/server"
	"github.com/sardineline/sardineline/standin/faults"
	"github.com/sardineline/sardineline/standin/inmem"
	"github.com/sardineline/sardineline/standin/ledger"
	"github.com/sardineline/sardineline/standin/server"
)

// harness is a backend server with 2 slots and 3 connections, an HTTP client of it, and its faults and ledger.
type harness struct {
	faults *faults.Set
	ledger *ledger.Ledger
	server *server.Server
	client *http.Client
}

// runWithServer runs test in virtual time with a new harness.
func runWithServer(t *testing.T, test func(t *testing.T, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{faults: faults.New(1), ledger: ledger.New(nil)}
		h.server = server.New(server.Config{Name: "s0", Slots: 2, Connections: 3, Faults: h.faults, Ledger: h.ledger})
		network := &inmem.Network{}
		httpServer, err := network.Serve("s0:1", h.server, h.server.LimitListener)
		assert.NilError(t, err)
		h.client = network.Client()
		test(t, h)
		h.client.CloseIdleConnections()
		assert.NilError(t, httpServer.Close())
		time.Sleep(time.Minute)
	})
}

// clientResult is the outcome of a request as seen by the client. The zero value means that the connection was closed or
// the request timed out.
type clientResult struct {
	status   int
	refused  string
	echo     string
	response server.Response
	complete bool
}

// post sends a POST request with a request id and query parameters, and returns the result.
func (h *harness) post(id, query string) clientResult {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://s0:1/quotes/1?"+query, strings.NewReader("abc"))
	request.Header.Set(wire.HeaderRequest, id)
	response, err := h.client.Do(request)
	if err != nil {
		return clientResult{}
	}
	defer func() { _ = response.Body.Close() }()
	result := clientResult{
		status:  response.StatusCode,
		refused: response.Header.Get(wire.HeaderRefused),
		echo:    response.Header.Get(wire.HeaderRequest),
	}
	body, err := io.ReadAll(response.Body)
	result.complete = err == nil && json.Unmarshal(body, &result.response) == nil
	return result
}

func TestResponse(t *testing.T) {
	runWithServer(t, func(t *testing.T, h *harness) {
		started := time.Now()
		got := h.post("r1", "work=20ms&size=1000")
		assert.Equal(t, time.Since(started), 20*time.Millisecond)
		assert.Equal(t, got.echo, "r1")
		assert.Equal(t, got.response.Request, ident.Request("r1"))
		assert.Equal(t, got.response.Received, int64(3))
		encoded, err := json.Marshal(got.response)
		assert.NilError(t, err)
		assert.Equal(t, len(encoded), 1000)
		assert.Equal(t, h.post("r2", "work=soon").status, http.StatusBadRequest)
	})
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault faults.Fault
		want  clientResult
		ran   int
	}{
		{"machine dies", faults.Fault{Kind: faults.Die}, clientResult{}, 0},
		{"machine leaves", faults.Fault{Kind: faults.Leave}, clientResult{status: 503, refused: wire.RefusedDraining}, 0},
		{"connection cut", faults.Fault{Kind: faults.Cut}, clientResult{}, 0},
		{"response lost", faults.Fault{Kind: faults.LoseAnswer}, clientResult{}, 1},
		{"response never sent", faults.Fault{Kind: faults.Stall}, clientResult{}, 1},
		{"frozen", faults.Fault{Kind: faults.Freeze, For: ident.Duration(time.Minute)}, clientResult{}, 0},
		{"late response", faults.Fault{Kind: faults.Late, Delay: ident.Duration(time.Second)}, clientResult{status: 200, echo: "r2", complete: true}, 1},
		{"slow request", faults.Fault{Kind: faults.Slow, Delay: ident.Duration(time.Second)}, clientResult{status: 200, echo: "r2", complete: true}, 1},
		{"request fails", faults.Fault{Kind: faults.FailAll}, clientResult{status: 500, echo: "r2", complete: true}, 1},
		{"truncated body", faults.Fault{Kind: faults.Truncate}, clientResult{status: 200, echo: "r2"}, 1},
		{"response to another request", faults.Fault{Kind: faults.Cross}, clientResult{status: 200, echo: "r1", complete: true}, 1},
		{"response sent twice", faults.Fault{Kind: faults.Twice}, clientResult{status: 200, echo: "r2", complete: true}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runWithServer(t, func(t *testing.T, h *harness) {
				h.post("r1", "")
				tt.fault.Peer = faults.Server
				assert.NilError(t, h.faults.Inject(tt.fault))
				got := h.post("r2", "")
				got.response = server.Response{}
				assert.Equal(t, got, tt.want)
				assert.Equal(t, h.ledger.Report().Totals.Runs, 1+tt.ran)
			})
		})
	}
}

func TestSlotsAndConnections(t *testing.T) {
	runWithServer(t, func(t *testing.T, h *harness) {
		replies := make([]clientResult, 5)
		var group errgroup.Group
		for i := range replies {
			group.Go(func() error {
				time.Sleep(time.Duration(i) * time.Millisecond)
				replies[i] = h.post("r", "work=1s")
				return nil
			})
		}
		assert.NilError(t, group.Wait())
		counts := map[int]int{}
		for _, got := range replies {
			counts[got.status]++
		}
		assert.Equal(t, counts[http.StatusOK], 2)
		assert.Equal(t, counts[http.StatusServiceUnavailable], 3)
		assert.Equal(t, h.server.PeakConnections(), 3)
		assert.Equal(t, h.ledger.Report().Refused["Busy"], uint64(3))
	})
}

func TestConnectionsBeyondTheLimitAreClosed(t *testing.T) {
	runWithServer(t, func(t *testing.T, h *harness) {
		h.client.Transport.(*http.Transport).DisableKeepAlives = true
		assert.NilError(t, h.faults.Inject(faults.Fault{Peer: faults.Server, Kind: faults.Freeze, For: ident.Duration(time.Second)}))
		var group errgroup.Group
		for range 5 {
			group.Go(func() error {
				h.post("r", "")
				return nil
			})
		}
		assert.NilError(t, group.Wait())
		assert.Equal(t, h.server.PeakConnections(), 3)
		assert.Equal(t, h.ledger.Report().Refused["Connections"], uint64(2))
	})
}
