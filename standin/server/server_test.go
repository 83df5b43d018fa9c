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

// rig is a backend server of 2 slots and 3 connections.
type rig struct {
	faults *faults.Set
	ledger *ledger.Ledger
	server *server.Server
	client *http.Client
}

func serve(t *testing.T, fn func(t *testing.T, r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &rig{faults: faults.New(1), ledger: ledger.New(nil)}
		r.server = server.New(server.Config{Name: "s0", Slots: 2, Connections: 3, Faults: r.faults, Ledger: r.ledger})
		network := &inmem.Network{}
		s, err := network.Serve("s0:1", r.server, r.server.LimitListener)
		assert.NilError(t, err)
		r.client = network.Client()
		fn(t, r)
		r.client.CloseIdleConnections()
		assert.NilError(t, s.Close())
		time.Sleep(time.Minute)
	})
}

// reply is what a client sees of an answer; a zero status is a connection that was cut.
type reply struct {
	status  int
	refused string
	echo    string
	answer  server.Response
	whole   bool
}

func (r *rig) get(id, query string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://s0:1/quotes/1?"+query, strings.NewReader("abc"))
	q.Header.Set(wire.HeaderRequest, id)
	a, err := r.client.Do(q)
	if err != nil {
		return reply{}
	}
	defer func() { _ = a.Body.Close() }()
	out := reply{status: a.StatusCode, refused: a.Header.Get(wire.HeaderRefused), echo: a.Header.Get(wire.HeaderRequest)}
	body, err := io.ReadAll(a.Body)
	out.whole = err == nil && json.Unmarshal(body, &out.answer) == nil
	return out
}

func TestAnswer(t *testing.T) {
	serve(t, func(t *testing.T, r *rig) {
		begun := time.Now()
		got := r.get("r1", "work=20ms&size=1000")
		assert.Equal(t, time.Since(begun), 20*time.Millisecond)
		assert.Equal(t, got.echo, "r1")
		assert.Equal(t, got.answer.Request, ident.Request("r1"))
		assert.Equal(t, got.answer.Received, int64(3))
		encoded, err := json.Marshal(got.answer)
		assert.NilError(t, err)
		assert.Equal(t, len(encoded), 1000)
		assert.Equal(t, r.get("r2", "work=soon").status, http.StatusBadRequest)
	})
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault faults.Fault
		want  reply
		ran   int
	}{
		{"dies", faults.Fault{Kind: faults.Die}, reply{}, 0},
		{"leaves", faults.Fault{Kind: faults.Leave}, reply{status: 503, refused: wire.RefusedDraining}, 0},
		{"cut", faults.Fault{Kind: faults.Cut}, reply{}, 0},
		{"answer lost", faults.Fault{Kind: faults.LoseAnswer}, reply{}, 1},
		{"stalls", faults.Fault{Kind: faults.Stall}, reply{}, 1},
		{"frozen", faults.Fault{Kind: faults.Freeze, For: ident.Duration(time.Minute)}, reply{}, 0},
		{"late", faults.Fault{Kind: faults.Late, Delay: ident.Duration(time.Second)}, reply{status: 200, echo: "r2", whole: true}, 1},
		{"slow", faults.Fault{Kind: faults.Slow, Delay: ident.Duration(time.Second)}, reply{status: 200, echo: "r2", whole: true}, 1},
		{"fails", faults.Fault{Kind: faults.FailAll}, reply{status: 500, echo: "r2", whole: true}, 1},
		{"truncates", faults.Fault{Kind: faults.Truncate}, reply{status: 200, echo: "r2"}, 1},
		{"crosses", faults.Fault{Kind: faults.Cross}, reply{status: 200, echo: "r1", whole: true}, 1},
		{"twice", faults.Fault{Kind: faults.Twice}, reply{status: 200, echo: "r2", whole: true}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			serve(t, func(t *testing.T, r *rig) {
				r.get("r1", "")
				tt.fault.Peer = faults.Server
				assert.NilError(t, r.faults.Inject(tt.fault))
				got := r.get("r2", "")
				got.answer = server.Response{}
				assert.Equal(t, got, tt.want)
				assert.Equal(t, r.ledger.Report().Totals.Runs, 1+tt.ran)
			})
		})
	}
}

func TestSlotsAndConnections(t *testing.T) {
	serve(t, func(t *testing.T, r *rig) {
		replies := make([]reply, 5)
		var group errgroup.Group
		for i := range replies {
			group.Go(func() error {
				time.Sleep(time.Duration(i) * time.Millisecond)
				replies[i] = r.get("r", "work=1s")
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
		assert.Equal(t, r.server.PeakConnections(), 3)
		assert.Equal(t, r.ledger.Report().Refused["Busy"], uint64(3))
	})
}

func TestConnectionsBeyondTheLimitAreClosed(t *testing.T) {
	serve(t, func(t *testing.T, r *rig) {
		r.client.Transport.(*http.Transport).DisableKeepAlives = true
		assert.NilError(t, r.faults.Inject(faults.Fault{Peer: faults.Server, Kind: faults.Freeze, For: ident.Duration(time.Second)}))
		var group errgroup.Group
		for range 5 {
			group.Go(func() error {
				r.get("r", "")
				return nil
			})
		}
		assert.NilError(t, group.Wait())
		assert.Equal(t, r.server.PeakConnections(), 3)
		assert.Equal(t, r.ledger.Report().Refused["Connections"], uint64(2))
	})
}
