package route_test

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/route"
	"github.com/sardineline/sardineline/sard/server"
	"github.com/sardineline/sardineline/sard/table"
)

// testCluster is a set of backend servers in a synctest bubble with what instances need to reach them.
type testCluster struct {
	listeners   map[string]*pipeListener
	servers     []fleet.Server
	httpServers []*http.Server
	group       errgroup.Group
	store       *table.Memory

	mu        sync.Mutex
	openConns map[string]int
	// maxOpenConns is the highest number of connections that were open to each server at once.
	maxOpenConns map[string]int
}

// newTestCluster starts a server for each handler. The servers echo the request IDs.
func newTestCluster(t *testing.T, handlers ...http.HandlerFunc) *testCluster {
	t.Helper()
	c := &testCluster{
		listeners: map[string]*pipeListener{}, store: &table.Memory{}, openConns: map[string]int{}, maxOpenConns: map[string]int{},
	}
	for i, h := range handlers {
		name := fmt.Sprintf("s%d", i)
		l := newPipeListener()
		c.listeners[name] = l
		httpServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(server.HeaderRequest, r.Header.Get(server.HeaderRequest))
			h(w, r)
		})}
		c.httpServers = append(c.httpServers, httpServer)
		c.group.Go(func() error { return httpServer.Serve(l) })
		c.servers = append(c.servers, fleet.Server{Name: ident.Server(name), Address: name, Slots: 2, Connections: 12})
	}
	return c
}

// stop drains and closes the routers and stops the servers.
func (c *testCluster) stop(t *testing.T, routers ...*route.Router) {
	t.Helper()
	for _, r := range routers {
		assert.NilError(t, r.Drain(t.Context()))
		r.Close()
	}
	for _, httpServer := range c.httpServers {
		_ = httpServer.Close()
	}
	assert.ErrorIs(t, c.group.Wait(), http.ErrServerClosed)
}

// newRouter returns a router of an instance that shares the servers with the named ones.
func (c *testCluster) newRouter(cfg route.Config, names ...ident.Instance) *route.Router {
	cfg.Dial = c.dial
	cfg.Store = c.store
	r := route.New(cfg)
	r.SetDocument(document)
	r.SetServers(c.servers)
	r.SetInstances(cfg.Instance, names)
	return r
}

// dial opens a connection to a server and counts it.
func (c *testCluster) dial(_ context.Context, address string) (net.Conn, error) {
	conn, err := c.listeners[address].dial()
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openConns[address]++
	c.maxOpenConns[address] = max(c.maxOpenConns[address], c.openConns[address])
	return &countedConn{Conn: conn, onClose: func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.openConns[address]--
	}}, nil
}

// countedConn calls onClose once when it is closed.
type countedConn struct {
	net.Conn
	once    sync.Once
	onClose func()
}

// Close closes the connection and calls onClose.
func (c *countedConn) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}

// post sends a request and returns its result with the response body.
func post(r *route.Router, path string, key ident.IdempotencyKey, body string) (route.Result, string) {
	result := r.Do(context.Background(), route.Request{
		Method: http.MethodPost, Path: path, IdempotencyKey: key, Account: "a", Header: http.Header{},
		Body: strings.NewReader(body), ContentLength: int64(len(body)),
	})
	a, ok := result.(route.Answered)
	if !ok {
		return result, ""
	}
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return result, err.Error()
	}
	_ = a.Body.Close()
	return result, string(text)
}

// statusOf returns the HTTP status of a result.
func statusOf(result route.Result) int {
	switch result := result.(type) {
	case route.Answered:
		return result.Status
	case route.NotRun:
		return result.Status
	case route.Unknown:
		return result.Status
	}
	return 0
}

// waitForJoin waits until new instances have their shares of the connections.
func waitForJoin() { time.Sleep(4 * time.Second) }

// TestMain discards the log of http.Transport, which reports unsolicited responses.
func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}
