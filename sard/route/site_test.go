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

// site is a number of servers in a synctest bubble and what instances need to reach them.
type site struct {
	listeners map[string]*pipeListener
	servers   []fleet.Server
	running   []*http.Server
	group     errgroup.Group
	store     *table.Memory

	mu   sync.Mutex
	open map[string]int
	most map[string]int
}

// newSite starts servers that echo the ids of requests.
func newSite(t *testing.T, handlers ...http.HandlerFunc) *site {
	t.Helper()
	s := &site{listeners: map[string]*pipeListener{}, store: &table.Memory{}, open: map[string]int{}, most: map[string]int{}}
	for i, h := range handlers {
		name := fmt.Sprintf("s%d", i)
		l := newPipeListener()
		s.listeners[name] = l
		running := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(server.HeaderRequest, r.Header.Get(server.HeaderRequest))
			h(w, r)
		})}
		s.running = append(s.running, running)
		s.group.Go(func() error { return running.Serve(l) })
		s.servers = append(s.servers, fleet.Server{Name: ident.Server(name), Address: name, Slots: 2, Connections: 12})
	}
	return s
}

// stop ends the servers.
func (s *site) stop(t *testing.T, routers ...*route.Router) {
	t.Helper()
	for _, r := range routers {
		assert.NilError(t, r.Drain(t.Context()))
		r.Close()
	}
	for _, running := range s.running {
		_ = running.Close()
	}
	assert.ErrorIs(t, s.group.Wait(), http.ErrServerClosed)
}

// instance makes a router that has joined the others.
func (s *site) instance(cfg route.Config, names ...ident.Instance) *route.Router {
	cfg.Dial = s.dial
	cfg.Store = s.store
	r := route.New(cfg)
	r.SetDocument(document)
	r.SetServers(s.servers)
	r.SetInstances(cfg.Instance, names)
	return r
}

func (s *site) dial(_ context.Context, address string) (net.Conn, error) {
	c, err := s.listeners[address].dial()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[address]++
	s.most[address] = max(s.most[address], s.open[address])
	return &countedConn{Conn: c, closed: func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open[address]--
	}}, nil
}

// countedConn tells when it is closed.
type countedConn struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

// post sends a request and reads its answer.
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

// joined waits until new instances have their share of connections.
func joined() { time.Sleep(4 * time.Second) }

// TestMain keeps the transport's notes on unsolicited answers out of the output.
func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}
