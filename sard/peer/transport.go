package peer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/fault"
)

const (
	// Path is the HTTP path on which a Transport accepts connections.
	Path = "/v1/peer"

	// dialTimeout limits the time for opening a connection to a peer.
	dialTimeout = 2 * time.Second
	// redialDelay is the time after a failed dial in which the peer is not dialled again.
	redialDelay = 500 * time.Millisecond
)

// Handler serves the calls of peers.
type Handler interface {
	// Serve returns the reply to a message. An error is sent to the peer as a fault of the same kind.
	Serve(ctx context.Context, m Message) (Message, error)
}

// Config configures a Transport.
type Config struct {
	// Secret is the bearer token with which peers authenticate; empty disables authentication.
	Secret string
	// Scheme is "ws" or "wss"; empty means "ws".
	Scheme string
	// Client dials peers; nil means http.DefaultClient.
	Client *http.Client
	// Handler serves the calls of peers.
	Handler Handler
	// Logger receives a line for each connection that fails or closes; nil disables logging.
	Logger hclog.Logger
}

// connection is the connection to a peer or the attempt to dial it. conn and err are set when ready is closed.
type connection struct {
	ready chan struct{}
	conn  *conn
	err   error
	// failedAt is when dialling failed; zero while it is in progress or has succeeded.
	failedAt time.Time
}

// Transport connects an instance to its peers, which are the other instances. A connection is dialled when it is first
// needed.
type Transport struct {
	cfg   Config
	group *errgroup.Group
	ctx   context.Context

	mu sync.Mutex
	// connections maps the addresses of peers to dialled connections. Accepted ones are not among them.
	connections map[string]*connection
}

// New returns a Transport whose connections close when ctx is done.
func New(ctx context.Context, cfg Config) *Transport {
	if cfg.Scheme == "" {
		cfg.Scheme = "ws"
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	group, ctx := errgroup.WithContext(ctx)
	return &Transport{cfg: cfg, group: group, ctx: ctx, connections: map[string]*connection{}}
}

// Wait blocks until all dialled connections are closed.
func (t *Transport) Wait() error {
	return t.group.Wait()
}

// ServeHTTP accepts a connection from a peer and serves it until it closes.
func (t *Transport) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	want := "Bearer " + t.cfg.Secret
	got := r.Header.Get("Authorization")
	if t.cfg.Secret != "" && subtle.ConstantTimeCompare([]byte(got), []byte(want)) != 1 {
		http.Error(w, "the peer secret is missing or wrong", http.StatusUnauthorized)
		return
	}
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		t.cfg.Logger.Warn("peer connection not accepted", "peer", r.RemoteAddr, "error", err)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stop := context.AfterFunc(t.ctx, cancel)
	defer stop()
	err = newConn(r.RemoteAddr, ws, t.cfg.Handler).run(ctx)
	t.cfg.Logger.Debug("peer connection closed", "peer", r.RemoteAddr, "error", err)
}

// Call sends a message to the peer at an address and waits for its reply. An error of kind Unavailable means
// that the message was not sent, unless the handler of the peer returned it.
func (t *Transport) Call(ctx context.Context, address string, m Message) (Message, error) {
	c, err := t.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return c.call(ctx, m)
}

// Send sends a message that gets no reply to the peer at an address.
func (t *Transport) Send(ctx context.Context, address string, m Message) error {
	c, err := t.connect(ctx, address)
	if err != nil {
		return err
	}
	return c.send(ctx, m)
}

// connect returns the connection to an address and dials it when there is none. Concurrent callers share one dial.
func (t *Transport) connect(ctx context.Context, address string) (*conn, error) {
	entry, created := t.lookupOrAdd(address)
	if created {
		t.dial(address, entry)
	}
	select {
	case <-entry.ready:
		return entry.conn, entry.err
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Unavailable, "dial", address)
	}
}

// lookupOrAdd returns the connection entry of an address and whether it is new, in which case the caller must dial.
// A failed entry is replaced after redialDelay.
func (t *Transport) lookupOrAdd(address string) (*connection, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, ok := t.connections[address]
	if ok && (entry.failedAt.IsZero() || time.Since(entry.failedAt) < redialDelay) {
		return entry, false
	}
	entry = &connection{ready: make(chan struct{})}
	t.connections[address] = entry
	return entry, true
}

// dial connects to a peer, sets the result in entry and serves the connection in the background.
func (t *Transport) dial(address string, entry *connection) {
	defer close(entry.ready)
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	opts := &websocket.DialOptions{HTTPClient: t.cfg.Client, HTTPHeader: http.Header{}, CompressionMode: websocket.CompressionDisabled}
	if t.cfg.Secret != "" {
		opts.HTTPHeader.Set("Authorization", "Bearer "+t.cfg.Secret)
	}
	ws, resp, err := websocket.Dial(ctx, t.cfg.Scheme+"://"+address+Path, opts)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		entry.err = fault.Wrap(err, fault.Unavailable, "dial", address)
		t.recordDialFailure(entry)
		return
	}
	c := newConn(address, ws, t.cfg.Handler)
	entry.conn = c
	t.group.Go(func() error {
		err := c.run(t.ctx)
		t.cfg.Logger.Debug("peer connection closed", "peer", address, "error", err)
		t.removeConnection(address, entry)
		return nil
	})
}

// recordDialFailure records that dialling has failed now, which delays the next attempt by redialDelay.
func (t *Transport) recordDialFailure(entry *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry.failedAt = time.Now()
}

// removeConnection drops a closed connection, so that the next call dials again.
func (t *Transport) removeConnection(address string, entry *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.connections[address] == entry {
		delete(t.connections, address)
	}
}
