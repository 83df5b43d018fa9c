package route

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"net/url"
	"path"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/server"
	"github.com/sardineline/sardineline/sard/table"
)

// Defaults of Config.
const (
	defaultJoinDelay    = 3 * time.Second
	defaultGrowDelay    = 10 * time.Second
	defaultLeavingHold  = time.Minute
	defaultDialTimeout  = time.Second
	defaultStoreTimeout = 2 * time.Second
	defaultMaxAnswer    = 1 << 30
)

// Config configures a Router. The zero value works.
type Config struct {
	Instance ident.Instance
	// Dial opens connections to backend servers; nil for TCP.
	Dial server.DialFunc
	// Store keeps the claims of idempotency keys; nil refuses requests that carry one.
	Store table.Store
	// Logger takes a line for each decision; nil for none.
	Logger hclog.Logger
	// Registerer takes the metrics; nil for none.
	Registerer prometheus.Registerer
	// OnServerLeaving is called, without a lock held, when this instance finds that a server is leaving.
	OnServerLeaving func(ident.Server)
	// OnViolation is called when a step was refused because it would have broken a promise; nil for none. It must not
	// call the Router.
	OnViolation func(promise, detail string)
	// JoinDelay is how long a new instance opens no connection, so that the others can close theirs; 0 means 3 s.
	JoinDelay time.Duration
	// LostInstanceGrace is how long a lost instance's connections still count; 0 means 10 s.
	LostInstanceGrace time.Duration
	// LeavingMarkTTL is how long a leaving mark lasts when the list still shows the server as live; 0 means 1 min.
	LeavingMarkTTL time.Duration
	// DialTimeout bounds the opening of a connection; 0 means 1 s.
	DialTimeout time.Duration
	// StoreTimeout bounds a call to the store; 0 means 2 s.
	StoreTimeout time.Duration
	// MaxResponseBytes bounds the body of an answer in bytes; 0 means 1 GiB.
	MaxResponseBytes int64
}

func (c Config) withDefaults() Config {
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.OnServerLeaving == nil {
		c.OnServerLeaving = func(ident.Server) {}
	}
	if c.OnViolation == nil {
		c.OnViolation = func(string, string) {}
	}
	setDefault(&c.JoinDelay, defaultJoinDelay)
	setDefault(&c.LostInstanceGrace, defaultGrowDelay)
	setDefault(&c.LeavingMarkTTL, defaultLeavingHold)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.StoreTimeout, defaultStoreTimeout)
	setDefault(&c.MaxResponseBytes, defaultMaxAnswer)
	return c
}

func setDefault[T ~int64](value *T, preset T) {
	if *value == 0 {
		*value = preset
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Router forwards requests to backend servers. Its methods may be called at the same time.
type Router struct {
	cfg     Config
	log     hclog.Logger
	metrics *metrics

	mu       sync.Mutex
	routes   []envdoc.Route
	limits   envdoc.Limits
	backends map[ident.Server]*backend
	order    []*backend
	members  members
	queue    queue
	retries  retryBudget
	service  map[ident.RouteName]*serviceTime
	overall  serviceTime
	held     int
	shedAt   time.Time
	wake     *time.Timer
	resizer  *time.Timer
	running  int
	idle     chan struct{}
}

// New makes a Router. It forwards nothing before SetDocument, SetServers and SetInstances were called.
func New(cfg Config) *Router {
	cfg = cfg.withDefaults()
	return &Router{
		cfg:      cfg,
		log:      cfg.Logger.Named("route"),
		metrics:  newMetrics(cfg.Registerer),
		backends: map[ident.Server]*backend{},
		queue:    queue{lines: map[ident.Account]*line{}},
		retries:  newRetryBudget(),
		service:  map[ident.RouteName]*serviceTime{},
	}
}

// SetDocument puts a document's routes, accounts and limits in force.
func (r *Router) SetDocument(d *envdoc.Document) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routes = d.Routes
	r.limits = d.Limits
	setDefault(&r.limits.MaxBody, defaultMaxBody)
	if r.limits.MaxWaitingRequests == 0 {
		r.limits.MaxWaitingRequests = defaultMaxWaiting
	}
	for _, a := range d.Accounts {
		limit := a.MaxWaitingRequests
		if limit == 0 {
			limit = r.limits.MaxWaitingRequests
		}
		r.queue.configure(a.Name, a.Weight, limit)
	}
}

// Limits that hold when the document gives none.
const (
	defaultMaxBody    = 64 << 20
	defaultMaxWaiting = 500
	defaultTimeout    = 30 * time.Second
)

// match finds the route with the longest prefix of the path that ends at a path separator. It fails for a path
// that a server could read as another one, such as one with dot segments.
func (r *Router) match(requestURI string) (envdoc.Route, *NotRun) {
	u, err := url.ParseRequestURI(requestURI)
	if err != nil {
		f := fault.Wrap(err, fault.Invalid, "match route", "caller")
		return envdoc.Route{}, &NotRun{Status: http.StatusBadRequest, Fault: f}
	}
	if clean := path.Clean(u.Path); clean != u.Path && clean+"/" != u.Path {
		f := fault.New(fault.Invalid, "match route", "caller", "%q is not a clean path", u.Path)
		return envdoc.Route{}, &NotRun{Status: http.StatusBadRequest, Fault: f}
	}
	route, ok := r.longestPrefix(u.Path)
	if !ok {
		f := fault.New(fault.NotFound, "match route", "", "no route for %q", u.Path)
		return envdoc.Route{}, &NotRun{Status: http.StatusNotFound, Fault: f}
	}
	return route, nil
}

func (r *Router) longestPrefix(path string) (envdoc.Route, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *envdoc.Route
	for i := range r.routes {
		route := &r.routes[i]
		if hasPathPrefix(path, route.Path) && (best == nil || len(route.Path) > len(best.Path)) {
			best = route
		}
	}
	if best == nil {
		return envdoc.Route{}, false
	}
	found := *best
	if found.MaxBody == 0 {
		found.MaxBody = r.limits.MaxBody
	}
	setDefault(&found.Timeout, ident.Duration(defaultTimeout))
	return found, true
}

func hasPathPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// RouteTimeout returns the longest time that a request to a path can take; 0 when no route matches.
func (r *Router) RouteTimeout(path string) time.Duration {
	route, refused := r.match(path)
	if refused != nil {
		return 0
	}
	return route.Timeout.Std()
}

// Drain waits until no request is running or waiting. Requests that still arrive are served. When ctx ends
// first, the error tells how many are left.
func (r *Router) Drain(ctx context.Context) error {
	for {
		running, idle := r.watchIdle()
		if running == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return fault.New(fault.Unavailable, "drain requests", "", "%d requests are still running", running)
		}
	}
}

func (r *Router) watchIdle() (int, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	return r.running, r.idle
}

// Close closes the connections that carry no request.
func (r *Router) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.order {
		b.closeIdle(0)
	}
	for _, timer := range []*time.Timer{r.wake, r.resizer} {
		if timer != nil {
			timer.Stop()
		}
	}
}

func (r *Router) enter() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running++
}

func (r *Router) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	if r.running == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// newRequestID makes a random request id.
func newRequestID() ident.Request {
	return ident.Request(rand.Text())
}

// SetServers takes the platform's list of backend servers.
func (r *Router) SetServers(servers []fleet.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[ident.Server]bool{}
	for _, s := range servers {
		listed[s.Name] = true
		r.setServer(s)
	}
	for name, b := range r.backends {
		if !listed[name] {
			b.gone = true
			b.closeIdle(0)
			delete(r.backends, name)
		}
	}
	r.order = r.order[:0]
	for _, b := range r.backends {
		r.order = append(r.order, b)
	}
	r.resize()
}

func (r *Router) setServer(s fleet.Server) {
	b, ok := r.backends[s.Name]
	if !ok || b.server.Address != s.Address {
		if ok {
			b.gone = true
			b.closeIdle(0)
		}
		b = &backend{server: s}
		r.backends[s.Name] = b
	}
	b.update(s)
	if s.State == ident.Leaving {
		b.closeIdle(0)
	}
}
