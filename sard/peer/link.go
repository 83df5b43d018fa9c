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
	// Path is where the link listens.
	Path = "/v1/peer"

	dialTimeout = 2 * time.Second
	// redialPause is how long a peer that could not be reached is not dialled again.
	redialPause = 500 * time.Millisecond
)

// Handler serves the calls of peers.
type Handler interface {
	// Serve answers a message. Its error is sent as a fault.
	Serve(ctx context.Context, m Message) (Message, error)
}

// Config sets up a Link.
type Config struct {
	// Secret is the bearer token that peers show each other; empty for none.
	Secret string
	// Scheme is "ws" or "wss"; empty means "ws".
	Scheme string
	// Client dials peers; nil means http.DefaultClient.
	Client *http.Client
	// Handler serves the calls of peers.
	Handler Handler
	// Logger gets a line for each connection that fails; nil for none.
	Logger hclog.Logger
}

// dial is a connection to a peer, or the attempt at one.
type dial struct {
	ready  chan struct{}
	conn   *conn
	err    error
	failed time.Time
}

// Transport connects this instance with its peers. Connections are dialled when they are first needed.
type Transport struct {
	cfg   Config
	group *errgroup.Group
	ctx   context.Context

	mu    sync.Mutex
	dials map[string]*dial
}

// New makes a Link whose connections live until ctx ends.
func New(ctx context.Context, cfg Config) *Transport {
	if cfg.Scheme == "" {
		cfg.Scheme = "ws"
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	group, ctx := errgroup.WithContext(ctx)
	return &Transport{cfg: cfg, group: group, ctx: ctx, dials: map[string]*dial{}}
}

// Wait returns when all connections have ended.
func (l *Transport) Wait() error {
	return l.group.Wait()
}

// ServeHTTP accepts a peer's connection and serves it until it ends.
func (l *Transport) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	want := "Bearer " + l.cfg.Secret
	got := r.Header.Get("Authorization")
	if l.cfg.Secret != "" && subtle.ConstantTimeCompare([]byte(got), []byte(want)) != 1 {
		http.Error(w, "the peer secret is needed", http.StatusUnauthorized)
		return
	}
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		l.cfg.Logger.Warn("peer connection refused", "peer", r.RemoteAddr, "error", err)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stop := context.AfterFunc(l.ctx, cancel)
	defer stop()
	err = newConn(r.RemoteAddr, ws, l.cfg.Handler).run(ctx)
	l.cfg.Logger.Debug("peer connection ended", "peer", r.RemoteAddr, "error", err)
}

// Call sends a message to the peer at an address and waits for its reply. An error of kind Unavailable tells that
// the message was surely not sent.
func (l *Transport) Call(ctx context.Context, address string, m Message) (Message, error) {
	c, err := l.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return c.call(ctx, m)
}

// Send sends a message that wants no reply to the peer at an address.
func (l *Transport) Send(ctx context.Context, address string, m Message) error {
	c, err := l.connect(ctx, address)
	if err != nil {
		return err
	}
	return c.send(ctx, m)
}

// connect returns the connection to an address, and dials it when there is none.
func (l *Transport) connect(ctx context.Context, address string) (*conn, error) {
	d, mine := l.claim(address)
	if mine {
		l.dial(address, d)
	}
	select {
	case <-d.ready:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Unavailable, "dial", address)
	}
}

// claim returns the dial of an address, and whether the caller has to make it.
func (l *Transport) claim(address string) (*dial, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok := l.dials[address]
	if ok && (d.failed.IsZero() || time.Since(d.failed) < redialPause) {
		return d, false
	}
	d = &dial{ready: make(chan struct{})}
	l.dials[address] = d
	return d, true
}

func (l *Transport) dial(address string, d *dial) {
	defer close(d.ready)
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	opts := &websocket.DialOptions{HTTPClient: l.cfg.Client, HTTPHeader: http.Header{}, CompressionMode: websocket.CompressionDisabled}
	if l.cfg.Secret != "" {
		opts.HTTPHeader.Set("Authorization", "Bearer "+l.cfg.Secret)
	}
	ws, resp, err := websocket.Dial(ctx, l.cfg.Scheme+"://"+address+Path, opts)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		d.err = fault.Wrap(err, fault.Unavailable, "dial", address)
		l.fail(d)
		return
	}
	c := newConn(address, ws, l.cfg.Handler)
	d.conn = c
	l.group.Go(func() error {
		err := c.run(l.ctx)
		l.cfg.Logger.Debug("peer connection ended", "peer", address, "error", err)
		l.drop(address, d)
		return nil
	})
}

func (l *Transport) fail(d *dial) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d.failed = time.Now()
}

func (l *Transport) drop(address string, d *dial) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dials[address] == d {
		delete(l.dials, address)
	}
}
