package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/creds"
	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/oper"
	"github.com/sardineline/sardineline/standin/setup"
	"github.com/sardineline/sardineline/standin/world"
)

// environment is the environment file of the simulated platform, which has three data centres with workers and backend
// servers.
const environment = `
Lag: 1s
CheckpointTime: 50ms
NotRepeated: [/claims]
DataCentres:
  - {Name: a, Racks: [{Name: a-r1, Workers: 2}, {Name: a-r2, Workers: 2}], Servers: 2}
  - {Name: b, Racks: [{Name: b-r1, Workers: 2}, {Name: b-r2, Workers: 2}], Servers: 2}
  - {Name: c, Racks: [{Name: c-r1, Workers: 2}, {Name: c-r2, Workers: 2}], Servers: 2}
`

// documentFormat is the format string of a document; its argument is the weight of the completion time.
const documentFormat = `
Objective: {CompletionTime: %d, Fragmentation: 1}
Accounts:
  - {Name: pricing, Weight: 2, Guarantees: [{Accelerators: 32}]}
  - {Name: claims, Guarantees: [{Accelerators: 8, Count: 2}]}
Routes:
  - {Name: quote, Path: /quotes, Class: Idempotent, Timeout: 5s}
  - {Name: claim, Path: /claims, Class: NotRepeated, Timeout: 5s}
Limits: {CheckpointGrace: 5s}
Promotion: {ProvenFor: 3s}
`

const (
	// operatorToken is the bearer token of the operator.
	operatorToken = "operator"
	// callersEndpoint is the name of the endpoint in the network that all callers and operators use.
	callersEndpoint = "callers"
	// tableEndpoint is the name of the endpoint in the network at which the table service listens.
	tableEndpoint = "table"
	// callTimeout limits the time of a call by a caller or an operator.
	callTimeout = 15 * time.Second
)

var (
	// dataCentres are the names of the data centres in environment.
	dataCentres = []string{"a", "b", "c"}
	// accounts are the names of the client accounts in documentFormat, and also their bearer tokens.
	accounts = []string{"pricing", "claims"}
)

// process is one process of an instance, from its launch until it is stopped or killed.
type process struct {
	daemon    *daemon
	endpoint  *endpoint
	closeLink context.CancelFunc
	stop      context.CancelFunc
	done      chan struct{}
	err       error
}

// system is a simulated platform with instances. All of them run in the process of the test and in virtual time.
type system struct {
	t       *testing.T
	world   *world.Platform
	network *testNetwork
	tokens  string
	client  *http.Client
	random  *mathrand.Rand
	log     hclog.Logger

	group   errgroup.Group
	running []*process
	// stopped holds, by the number of the instance, the last process that was stopped or killed.
	stopped []*process
	// finished is set at the end of the test, so that goroutines that make calls give up.
	finished atomic.Bool
	// maxVersions holds, by the name of the instance, the highest version of the document that it has had in force.
	maxVersions map[string]ident.Version
	violations  uint64
	mu          sync.Mutex
}

// runSystem starts n instances, applies a first document, runs fn and shuts the instances down gracefully. seed
// determines the random choices.
func runSystem(t *testing.T, seed uint64, n int, fn func(*system)) {
	t.Helper()
	tokens := writeTokens(t)
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, seed, n, tokens)
		ctx, cancel := context.WithCancel(context.Background())
		ready := make(chan struct{})
		s.group.Go(func() error {
			return s.world.Serve(ctx, s.network.endpoint("platform").Listen, func() { close(ready) })
		})
		<-ready
		s.network.setOwner(s.world.Ports.TableAddr(), tableEndpoint)
		for i := range n {
			s.launch(i)
		}
		watch := s.watchVersions(ctx)
		defer s.shutDown(cancel, watch)
		s.await(time.Minute, "the first document", func() bool { return s.applyDocument(1).Status == http.StatusOK })
		s.awaitReady(time.Minute)
		fn(s)
	})
}

// shutDown stops the instances and the simulated platform. Its last sleep waits for what was started and not stopped,
// such as timers.
func (s *system) shutDown(cancel context.CancelFunc, watch <-chan struct{}) {
	s.finished.Store(true)
	s.world.Faults.ClearAll()
	s.network.unblockAll()
	for i := range s.running {
		s.stop(i)
	}
	cancel()
	<-watch
	s.client.CloseIdleConnections()
	assert.Check(s.t, s.group.Wait())
	time.Sleep(time.Hour)
}

// newSystem returns a system whose n instances are not started yet. tokens is the path of the token file.
func newSystem(t *testing.T, seed uint64, n int, tokens string) *system {
	env, err := setup.Parse([]byte(environment))
	assert.NilError(t, err)
	env.Seed = seed
	w, err := world.New(world.Config{Environment: env, Ports: setup.Ports{Host: "10.0.0.1", Base: 1000}})
	assert.NilError(t, err)
	s := &system{
		t: t, world: w, network: newTestNetwork(), tokens: tokens, random: mathrand.New(mathrand.NewPCG(seed, seed)),
		log: hclog.NewNullLogger(), running: make([]*process, n), stopped: make([]*process, n), maxVersions: map[string]ident.Version{},
	}
	if path := os.Getenv("SYSTEM_LOG"); path != "" {
		out, err := os.Create(path)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = out.Close() })
		s.log = hclog.New(&hclog.LoggerOptions{Output: out, Level: hclog.Debug})
	}
	s.client = &http.Client{Transport: &http.Transport{DialContext: s.network.endpoint(callersEndpoint).DialContext}, Timeout: callTimeout}
	return s
}

// writeTokens writes the token file of the instances and returns its path.
func writeTokens(t *testing.T) string {
	lines := fmt.Sprintf("- {Sha256: %s, Operator: op}\n", creds.HashToken(operatorToken))
	for _, a := range accounts {
		lines += fmt.Sprintf("- {Sha256: %s, Account: %s}\n", creds.HashToken(a), a)
	}
	path := filepath.Join(t.TempDir(), "tokens.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(lines), 0o600))
	return path
}

// instanceName returns the name of the instance with number i.
func instanceName(i int) string { return fmt.Sprintf("i%d", i) }

// address returns the address of an instance's listener: 0 is the API, 1 the health checks and 2 the peer link.
func address(i, listener int) string { return fmt.Sprintf("10.0.1.%d:%d", i+1, 7400+listener) }

// settings returns the settings of the instance with number i.
func (s *system) settings(i int) settings {
	args := []string{
		"--instance=" + instanceName(i), "--data-centre=" + dataCentres[i%len(dataCentres)], "--tokens=" + s.tokens,
		"--listen=" + address(i, 0), "--listen-health=" + address(i, 1), "--listen-peers=" + address(i, 2),
		"--table.endpoint=http://" + s.world.Ports.TableAddr(), "--fleet.url=http://" + s.world.Ports.FleetAddr(), "--fleet.period=1s",
	}
	for other := range s.running {
		args = append(args, "--seed="+address(other, 2))
	}
	parsed, err := parseSettings(args)
	assert.NilError(s.t, err)
	return parsed
}

// launch starts the instance with number i and adds it to the platform's list.
func (s *system) launch(i int) {
	endpoint := s.network.endpoint(instanceName(i))
	linkCtx, closeLink := context.WithCancel(context.Background())
	d, err := newDaemon(linkCtx, s.settings(i), endpoint, s.log.Named(instanceName(i)))
	assert.NilError(s.t, err)
	ctx, stop := context.WithCancel(context.Background())
	p := &process{daemon: d, endpoint: endpoint, closeLink: closeLink, stop: stop, done: make(chan struct{})}
	s.mu.Lock()
	s.running[i] = p
	s.mu.Unlock()
	dc := ident.DataCentre(dataCentres[i%len(dataCentres)])
	s.world.Fleet.Register(fleet.Instance{Name: ident.Instance(instanceName(i)), Address: address(i, 2), DataCentre: dc})
	s.group.Go(func() error {
		p.err = d.run(ctx)
		endpoint.kill()
		closeLink()
		close(p.done)
		return nil
	})
}

// kill ends the instance with number i without a graceful shutdown.
func (s *system) kill(i int) {
	p := s.remove(i)
	if p == nil {
		return
	}
	p.endpoint.kill()
	p.closeLink()
	p.stop()
}

// stop shuts the instance with number i down gracefully.
func (s *system) stop(i int) {
	p := s.remove(i)
	if p == nil {
		return
	}
	p.stop()
	<-p.done
	assert.Check(s.t, p.err, "%s did not stop cleanly", instanceName(i))
}

// remove removes the instance with number i from the running ones and from the platform's list, adds its violations to
// the total, and returns its process.
func (s *system) remove(i int) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.running[i]
	s.running[i] = nil
	if p != nil {
		s.stopped[i] = p
		s.violations += p.violationCount()
		s.world.Fleet.Remove(ident.Instance(instanceName(i)))
	}
	return p
}

// runningAt returns the running process of the instance with number i, or nil.
func (s *system) runningAt(i int) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[i]
}

// isDown reports whether the instance with number i is not running and its addresses can be used again.
func (s *system) isDown(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[i] == nil && (s.stopped[i] == nil || s.stopped[i].endpoint.isDead())
}

// violationCount returns the number of violations of invariants that the process, including the domains it holds, has
// detected.
func (p *process) violationCount() uint64 {
	n := p.daemon.violationCount()
	for _, dom := range p.daemon.domains.HeldDomains() {
		n += dom.Summary.Breaches
	}
	return n
}

// liveInstances returns the numbers of the running instances.
func (s *system) liveInstances() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []int
	for i, p := range s.running {
		if p != nil {
			out = append(out, i)
		}
	}
	return out
}

// randomInstance picks an instance as a load balancer would: a running one, if there is any.
func (s *system) randomInstance() int {
	live := s.liveInstances()
	if len(live) == 0 {
		return s.intN(len(s.running))
	}
	return live[s.intN(len(live))]
}

// intN returns a random number in [0, n).
func (s *system) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// watchVersions checks twice a second that no instance goes back to an earlier version of the document, until ctx is
// cancelled.
func (s *system) watchVersions(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	s.group.Go(func() error {
		defer close(done)
		for ctx.Err() == nil {
			for _, i := range s.liveInstances() {
				s.checkVersion(i)
			}
			time.Sleep(time.Second / 2)
		}
		return nil
	})
	return done
}

// checkVersion makes the check of watchVersions for the instance with number i.
func (s *system) checkVersion(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.running[i]
	if p == nil {
		return
	}
	version := p.daemon.agent.Report().Version
	name := instanceName(i)
	if version != 0 && version < s.maxVersions[name] {
		s.t.Errorf("%s went back from version %d to %d", name, s.maxVersions[name], version)
	}
	s.maxVersions[name] = max(s.maxVersions[name], version)
}

// await waits until cond holds and returns how long that took. The test fails if it takes longer than limit; what
// describes the condition.
func (s *system) await(limit time.Duration, what string, cond func() bool) time.Duration {
	s.t.Helper()
	start := time.Now()
	for !cond() {
		if time.Since(start) > limit {
			s.t.Fatalf("timed out waiting for %s after %s", what, limit)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Since(start)
}

// awaitReady waits until all running instances are ready and all domains are held.
func (s *system) awaitReady(limit time.Duration) time.Duration {
	s.t.Helper()
	return s.await(limit, "readiness", func() bool {
		held := map[ident.DataCentre]bool{}
		for _, i := range s.liveInstances() {
			p := s.runningAt(i)
			if p == nil || p.daemon.checkReady() != nil {
				return false
			}
			for _, dom := range p.daemon.domains.HeldDomains() {
				held[dom.DataCentre] = true
			}
		}
		return len(held) == len(dataCentres)
	})
}

// reply is the HTTP response of an instance. Status is 0 if there was no response.
type reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// call sends a request with the JSON body to the instance with number i.
func (s *system) call(i int, token, method, path string, header map[string]string, body any) reply {
	var text []byte
	switch body := body.(type) {
	case nil:
	case string:
		text = []byte(body)
	default:
		encoded, err := json.Marshal(body)
		assert.NilError(s.t, err)
		text = encoded
	}
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+address(i, 0)+path, bytes.NewReader(text))
	assert.NilError(s.t, err)
	r.Header.Set("Authorization", "Bearer "+token)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}
	}
	return reply{Status: resp.StatusCode, Header: resp.Header, Body: respBody}
}

// applyDocument applies the document with the given weight of the completion time through a random instance.
func (s *system) applyDocument(weight int) reply {
	i := s.randomInstance()
	var current oper.DocumentView
	if r := s.call(i, operatorToken, http.MethodGet, oper.PathDocument, nil, nil); r.Status == http.StatusOK {
		assert.NilError(s.t, json.Unmarshal(r.Body, &current))
	}
	header := map[string]string{oper.HeaderIfMatch: fmt.Sprintf("%q", fmt.Sprint(current.Version)), oper.HeaderWriteToken: rand.Text()}
	return s.call(i, operatorToken, http.MethodPut, oper.PathDocument, header, strings.TrimSpace(fmt.Sprintf(documentFormat, weight)))
}
