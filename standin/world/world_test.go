package world_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/worker"
	"github.com/sardineline/sardineline/standin/inmem"
	"github.com/sardineline/sardineline/standin/ledger"
	"github.com/sardineline/sardineline/standin/setup"
	"github.com/sardineline/sardineline/standin/world"
)

// environmentYAML is an environment file with two workers, one backend server and an initial fault.
const environmentYAML = `
Lag: 1s
DataCentres:
  - {Name: a, Racks: [{Name: a-r1, Workers: 2}], Servers: 1}
Faults:
  - {Peer: Table, Kind: Slow, Delay: 1s, For: 1m}
`

// runPlatform runs test in virtual time with a Platform. call sends a request with the JSON body in, decodes the
// response into out and returns its status, which is 0 if the connection fails.
func runPlatform(t *testing.T, test func(p *world.Platform, call func(method, url string, in, out any) int)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		env, err := setup.Parse([]byte(environmentYAML))
		assert.NilError(t, err)
		p, err := world.New(world.Config{Environment: env, Ports: setup.Ports{Host: "10.0.0.1", Base: 1000}})
		assert.NilError(t, err)
		network := &inmem.Network{}
		ctx, cancel := context.WithCancel(context.Background())
		ready := make(chan struct{})
		var group errgroup.Group
		group.Go(func() error { return p.Serve(ctx, network.Listen, func() { close(ready) }) })
		<-ready
		client := network.Client()
		test(p, func(method, url string, in, out any) int {
			body, err := json.Marshal(in)
			assert.NilError(t, err)
			r, err := http.NewRequestWithContext(ctx, method, "http://"+url, bytes.NewReader(body))
			assert.NilError(t, err)
			answer, err := client.Do(r)
			if err != nil {
				return 0
			}
			defer func() { _ = answer.Body.Close() }()
			if out != nil {
				assert.NilError(t, json.NewDecoder(answer.Body).Decode(out))
			}
			return answer.StatusCode
		})
		client.CloseIdleConnections()
		cancel()
		assert.NilError(t, group.Wait())
		time.Sleep(time.Hour)
	})
}

func TestGangAndRequestAreRecorded(t *testing.T) {
	runPlatform(t, func(p *world.Platform, call func(string, string, any, any) int) {
		part := worker.Part{Job: "j", Attempt: 1}
		for n := range 2 {
			reserve := worker.ReserveRequest{
				Epoch: 1, Part: part, Accelerators: 0xff, Lease: ident.Duration(time.Minute),
				Spec: worker.Spec{Command: "run 10s", Parts: 2},
			}
			assert.Equal(t, call("POST", p.Ports.WorkerAddr(n)+"/v1/reserve", reserve, nil), http.StatusOK)
		}
		for n := range 2 {
			start := worker.StartRequest{Epoch: 1, Part: part}
			assert.Equal(t, call("POST", p.Ports.WorkerAddr(n)+"/v1/start", start, nil), http.StatusOK)
		}
		assert.Equal(t, call("GET", p.Ports.ServerAddr(0)+"/claims/1", nil, nil), http.StatusOK)
		time.Sleep(11 * time.Second)
		var totals ledger.Totals
		expected := ledger.Expected{Succeeded: []ident.Job{"j", "k"}}
		assert.Equal(t, call("POST", p.Ports.ControlAddr()+"/v1/expected", expected, &totals), http.StatusOK)
		assert.DeepEqual(t, totals, ledger.Totals{JobsStarted: 1, JobsCompleted: 1, RequestsRun: 1, Runs: 1, Lost: 1})
	})
}

func TestControlEndpoints(t *testing.T) {
	runPlatform(t, func(p *world.Platform, call func(string, string, any, any) int) {
		var reply world.FaultsReply
		die := map[string]any{"Peer": "Worker", "Kind": "Die", "DataCentre": "a"}
		assert.Equal(t, call("POST", p.Ports.ControlAddr()+"/v1/faults", die, &reply), http.StatusOK)
		assert.Equal(t, len(reply.Faults), 2)
		assert.Equal(t, call("POST", p.Ports.WorkerAddr(0)+"/v1/report", worker.FenceRequest{}, nil), 0)
		assert.Equal(t, call("GET", p.Ports.ServerAddr(0)+"/quotes/1", nil, nil), http.StatusOK)
		die["Off"] = true
		assert.Equal(t, call("POST", p.Ports.ControlAddr()+"/v1/faults", die, &reply), http.StatusOK)
		synctest.Wait()
		assert.Equal(t, call("POST", p.Ports.WorkerAddr(0)+"/v1/report", worker.FenceRequest{}, nil), http.StatusOK)
		invalid := map[string]any{"Peer": "Worker", "Kind": "Slow"}
		assert.Equal(t, call("POST", p.Ports.ControlAddr()+"/v1/faults", invalid, nil), http.StatusBadRequest)
		assert.Equal(t, call("POST", p.Ports.ControlAddr()+"/v1/faults", map[string]any{"Pier": 1}, nil), http.StatusBadRequest)
		instance := fleet.Instance{Name: "i0", Address: "10.0.0.9:80", DataCentre: "a"}
		assert.Equal(t, call("POST", p.Ports.ControlAddr()+"/v1/instances", instance, nil), http.StatusOK)
		time.Sleep(2 * time.Second)
		var list fleet.Snapshot
		assert.Equal(t, call("GET", p.Ports.FleetAddr()+"/v1/fleet", nil, &list), http.StatusOK)
		assert.DeepEqual(t, list.Instances, []fleet.Instance{instance})
		assert.Equal(t, call("DELETE", p.Ports.ControlAddr()+"/v1/instances/i0", nil, nil), http.StatusOK)
		assert.Equal(t, len(p.Fleet.Current().Instances), 0)
		assert.Equal(t, call("DELETE", p.Ports.ControlAddr()+"/v1/faults", nil, &reply), http.StatusOK)
		assert.Equal(t, len(reply.Faults), 0)
	})
}
