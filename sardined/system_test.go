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

const environment = `
Lag: 1s
CheckpointTime: 50ms
NotRepeated: [/claims]
DataCentres:
  - {Name: a, Racks: [{Name: a-r1, Workers: 2}, {Name: a-r2, Workers: 2}], Servers: 2}
  - {Name: b, Racks: [{Name: b-r1, Workers: 2}, {Name: b-r2, Workers: 2}], Servers: 2}
  - {Name: c, Racks: [{Name: c-r1, Workers: 2}, {Name: c-r2, Workers: 2}], Servers: 2}
`

// documentFormat is an environment document that takes the weight of completion time.
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
	operatorToken = "operator"
	callers       = "callers"
	tableName     = "table"
	// callTimeout bounds a caller's call.
	callTimeout = 15 * time.Second
)

var (
	dataCentres = []string{"a", "b", "c"}
	accounts    = []string{"pricing", "claims"}
)

// process is one run of an instance.
type process struct {
	daemon   *daemon
	endpoint *endpoint
	unlink   context.CancelFunc
	stop     context.CancelFunc
	ended    chan struct{}
	err      error
}

// system is a platform with instances, in one process and in virtual time.
type system struct {
	t      *testing.T
	world  *world.Platform
	links  *links
	tokens string
	client *http.Client
	random *mathrand.Rand
	log    hclog.Logger

	group   errgroup.Group
	running []*process
	// former are the last processes that were stopped or killed.
	former []*process
	// over is set at the end, so that callers give up.
	over atomic.Bool
	// versions are the highest ones seen, by instance.
	versions map[string]ident.Version
	breaches uint64
	mu       sync.Mutex
}

// inSystem runs fn against n instances that run a first document, and stops them by plan.
func inSystem(t *testing.T, seed uint64, n int, fn func(*system)) {
	t.Helper()
	tokens := writeTokens(t)
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, seed, n, tokens)
		ctx, cancel := context.WithCancel(context.Background())
		ready := make(chan struct{})
		s.group.Go(func() error {
			return s.world.Serve(ctx, s.links.endpoint("platform").Listen, func() { close(ready) })
		})
		<-ready
		s.links.own(s.world.Ports.TableAddr(), tableName)
		for i := range n {
			s.launch(i)
		}
		watch := s.watch(ctx)
		defer s.end(cancel, watch)
		s.await(time.Minute, "the first document", func() bool { return s.apply(1).Status == http.StatusOK })
		s.awaitReady(time.Minute)
		fn(s)
	})
}

// end stops all that runs, and waits for whatever was started and not stopped.
func (s *system) end(cancel context.CancelFunc, watch <-chan struct{}) {
	s.over.Store(true)
	s.world.Faults.ClearAll()
	s.links.release()
	for i := range s.running {
		s.stop(i)
	}
	cancel()
	<-watch
	s.client.CloseIdleConnections()
	assert.Check(s.t, s.group.Wait())
	time.Sleep(time.Hour)
}

func newSystem(t *testing.T, seed uint64, n int, tokens string) *system {
	env, err := setup.Parse([]byte(environment))
	assert.NilError(t, err)
	env.Seed = seed
	w, err := world.New(world.Config{Environment: env, Ports: setup.Ports{Host: "10.0.0.1", Base: 1000}})
	assert.NilError(t, err)
	s := &system{
		t: t, world: w, links: newLinks(), tokens: tokens, random: mathrand.New(mathrand.NewPCG(seed, seed)),
		log: hclog.NewNullLogger(), running: make([]*process, n), former: make([]*process, n), versions: map[string]ident.Version{},
	}
	if path := os.Getenv("SYSTEM_LOG"); path != "" {
		out, err := os.Create(path)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = out.Close() })
		s.log = hclog.New(&hclog.LoggerOptions{Output: out, Level: hclog.Debug})
	}
	s.client = &http.Client{Transport: &http.Transport{DialContext: s.links.endpoint(callers).DialContext}, Timeout: callTimeout}
	return s
}

func writeTokens(t *testing.T) string {
	lines := fmt.Sprintf("- {Sha256: %s, Operator: op}\n", creds.HashToken(operatorToken))
	for _, a := range accounts {
		lines += fmt.Sprintf("- {Sha256: %s, Account: %s}\n", creds.HashToken(a), a)
	}
	path := filepath.Join(t.TempDir(), "tokens.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(lines), 0o600))
	return path
}

func instanceName(i int) string { return fmt.Sprintf("i%d", i) }

func address(i, listener int) string { return fmt.Sprintf("10.0.1.%d:%d", i+1, 7400+listener) }

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

// launch starts an instance.
func (s *system) launch(i int) {
	endpoint := s.links.endpoint(instanceName(i))
	linked, unlink := context.WithCancel(context.Background())
	d, err := newDaemon(linked, s.settings(i), endpoint, s.log.Named(instanceName(i)))
	assert.NilError(s.t, err)
	ctx, stop := context.WithCancel(context.Background())
	p := &process{daemon: d, endpoint: endpoint, unlink: unlink, stop: stop, ended: make(chan struct{})}
	s.mu.Lock()
	s.running[i] = p
	s.mu.Unlock()
	dc := ident.DataCentre(dataCentres[i%len(dataCentres)])
	s.world.Fleet.Register(fleet.Instance{Name: ident.Instance(instanceName(i)), Address: address(i, 2), DataCentre: dc})
	s.group.Go(func() error {
		p.err = d.run(ctx)
		endpoint.kill()
		unlink()
		close(p.ended)
		return nil
	})
}

// kill ends an instance without a planned stop.
func (s *system) kill(i int) {
	p := s.take(i)
	if p == nil {
		return
	}
	p.endpoint.kill()
	p.unlink()
	p.stop()
}

// stop ends an instance by plan.
func (s *system) stop(i int) {
	p := s.take(i)
	if p == nil {
		return
	}
	p.stop()
	<-p.ended
	assert.Check(s.t, p.err, "%s did not stop cleanly", instanceName(i))
}

// take takes an instance off the list of those that run and counts what it noticed.
func (s *system) take(i int) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.running[i]
	s.running[i] = nil
	if p != nil {
		s.former[i] = p
		s.breaches += p.broken()
		s.world.Fleet.Remove(ident.Instance(instanceName(i)))
	}
	return p
}

// at returns an instance that runs, or nil.
func (s *system) at(i int) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[i]
}

// gone tells whether an instance does not run and its addresses are free.
func (s *system) gone(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[i] == nil && (s.former[i] == nil || s.former[i].endpoint.isDead())
}

// broken counts the broken promises that the instance and its domains have seen.
func (p *process) broken() uint64 {
	n := p.daemon.breaches()
	for _, dom := range p.daemon.domains.HeldDomains() {
		n += dom.Summary.Breaches
	}
	return n
}

// live returns the numbers of the instances that run.
func (s *system) live() []int {
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

// some draws an instance, as the balancer would: one that runs, if there is any.
func (s *system) some() int {
	live := s.live()
	if len(live) == 0 {
		return s.intN(len(s.running))
	}
	return live[s.intN(len(live))]
}

func (s *system) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// watch looks twice a second that no instance goes back to an earlier version.
func (s *system) watch(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	s.group.Go(func() error {
		defer close(done)
		for ctx.Err() == nil {
			for _, i := range s.live() {
				s.checkVersion(i)
			}
			time.Sleep(time.Second / 2)
		}
		return nil
	})
	return done
}

func (s *system) checkVersion(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.running[i]
	if p == nil {
		return
	}
	now := p.daemon.agent.Report().Version
	name := instanceName(i)
	if now != 0 && now < s.versions[name] {
		s.t.Errorf("%s went back from version %d to %d", name, s.versions[name], now)
	}
	s.versions[name] = max(s.versions[name], now)
}

// await waits until cond holds.
func (s *system) await(limit time.Duration, what string, cond func() bool) time.Duration {
	s.t.Helper()
	begun := time.Now()
	for !cond() {
		if time.Since(begun) > limit {
			s.t.Fatalf("%s did not come within %s", what, limit)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Since(begun)
}

// awaitReady waits until all instances that run are ready and all domains are held.
func (s *system) awaitReady(limit time.Duration) time.Duration {
	s.t.Helper()
	return s.await(limit, "readiness", func() bool {
		held := map[ident.DataCentre]bool{}
		for _, i := range s.live() {
			p := s.at(i)
			if p == nil || p.daemon.ready() != nil {
				return false
			}
			for _, dom := range p.daemon.domains.HeldDomains() {
				held[dom.DataCentre] = true
			}
		}
		return len(held) == len(dataCentres)
	})
}

// reply is the answer of an instance; Status is 0 when none came.
type reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// call sends a call to an instance.
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
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}
	}
	return reply{Status: resp.StatusCode, Header: resp.Header, Body: answer}
}

// apply puts a document in force through some instance.
func (s *system) apply(weight int) reply {
	i := s.some()
	var now oper.DocumentView
	if r := s.call(i, operatorToken, http.MethodGet, oper.PathDocument, nil, nil); r.Status == http.StatusOK {
		assert.NilError(s.t, json.Unmarshal(r.Body, &now))
	}
	header := map[string]string{oper.HeaderIfMatch: fmt.Sprintf("%q", fmt.Sprint(now.Version)), oper.HeaderWriteToken: rand.Text()}
	return s.call(i, operatorToken, http.MethodPut, oper.PathDocument, header, strings.TrimSpace(fmt.Sprintf(documentFormat, weight)))
}
