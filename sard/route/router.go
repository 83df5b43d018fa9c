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
	defaultJoinDelay         = 3 * time.Second
	defaultLostInstanceGrace = 10 * time.Second
	defaultLeavingMarkTTL    = time.Minute
	defaultDialTimeout       = time.Second
	defaultStoreTimeout      = 2 * time.Second
	defaultMaxResponseBytes  = 1 << 30
)

// Config configures a Router. The zero value is valid.
type Config struct {
	// Instance is the name of this instance.
	Instance ident.Instance
	// Dial opens connections to backend servers; nil means TCP.
	Dial server.DialFunc
	// Store keeps the claims of idempotency keys. If it is nil, requests with a key are rejected.
	Store table.Store
	// Logger receives the log; nil disables logging.
	Logger hclog.Logger
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
	// OnServerLeaving is called when this instance finds that a server is leaving. No lock is held during the call.
	OnServerLeaving func(ident.Server)
	// OnViolation is called when an action was refused because it would have violated an invariant. It must not call the
	// Router.
	OnViolation func(invariant, detail string)
	// JoinDelay is how long a new instance opens no connections, so that the others can close theirs; 0 means 3 s.
	JoinDelay time.Duration
	// LostInstanceGrace is how long the connections of a lost instance still count; 0 means 10 s.
	LostInstanceGrace time.Duration
	// LeavingMarkTTL is how long a leaving mark lasts if the platform's list shows the server as live; 0 means a
	// minute.
	LeavingMarkTTL time.Duration
	// DialTimeout limits the time to open a connection; 0 means 1 s.
	DialTimeout time.Duration
	// StoreTimeout limits the time of a call to the store; 0 means 2 s.
	StoreTimeout time.Duration
	// MaxResponseBytes limits the body of a response; 0 means 1 GiB.
	MaxResponseBytes int64
}

// withDefaults returns the configuration with defaults for the fields that are not set.
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
	setDefault(&c.LostInstanceGrace, defaultLostInstanceGrace)
	setDefault(&c.LeavingMarkTTL, defaultLeavingMarkTTL)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.StoreTimeout, defaultStoreTimeout)
	setDefault(&c.MaxResponseBytes, defaultMaxResponseBytes)
	return c
}

// setDefault sets a value that is zero.
func setDefault[T ~int64](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}

// dialTCP opens a TCP connection.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Router forwards requests to backend servers. Its methods are safe for concurrent use.
type Router struct {
	cfg     Config
	log     hclog.Logger
	metrics *metrics

	mu       sync.Mutex
	routes   []envdoc.Route
	limits   envdoc.Limits
	backends map[ident.Server]*backend
	// backendList holds the values of backends.
	backendList        []*backend
	membership         membership
	queue              fairQueue
	retryBudget        retryBudget
	serviceTimes       map[ident.RouteName]*serviceTime
	overallServiceTime serviceTime
	// slotsInUse is the number of slots in use at all servers.
	slotsInUse int
	// lastShed is when waiters were last checked against their deadlines.
	lastShed      time.Time
	dispatchTimer *time.Timer
	shareTimer    *time.Timer
	// activeRequests is the number of requests that are waiting or running.
	activeRequests int
	// idleNotify is closed once activeRequests is 0; nil if nobody is waiting for that.
	idleNotify chan struct{}
}

// New creates a Router. It forwards no requests until SetDocument, SetServers and SetInstances have been called.
func New(cfg Config) *Router {
	cfg = cfg.withDefaults()
	return &Router{
		cfg:          cfg,
		log:          cfg.Logger.Named("route"),
		metrics:      newMetrics(cfg.Registerer),
		backends:     map[ident.Server]*backend{},
		queue:        fairQueue{accounts: map[ident.Account]*accountQueue{}},
		retryBudget:  newRetryBudget(),
		serviceTimes: map[ident.RouteName]*serviceTime{},
	}
}

// SetDocument applies the routes, client accounts and limits of an environment document.
func (r *Router) SetDocument(d *envdoc.Document) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routes = d.Routes
	r.limits = d.Limits
	setDefault(&r.limits.MaxBody, defaultMaxBodyBytes)
	if r.limits.MaxWaitingRequests == 0 {
		r.limits.MaxWaitingRequests = defaultMaxWaitingRequests
	}
	for _, a := range d.Accounts {
		limit := a.MaxWaitingRequests
		if limit == 0 {
			limit = r.limits.MaxWaitingRequests
		}
		r.queue.configure(a.Name, a.Weight, limit)
	}
}

// Defaults of the limits that an environment document may set.
const (
	defaultMaxBodyBytes       = 64 << 20
	defaultMaxWaitingRequests = 500
	defaultRouteTimeout       = 30 * time.Second
)

// matchRoute returns the route with the longest path prefix that ends at a path separator. It rejects a path that a
// server could interpret differently, such as one with dot segments.
func (r *Router) matchRoute(requestURI string) (envdoc.Route, *NotRun) {
	u, err := url.ParseRequestURI(requestURI)
	if err != nil {
		f := fault.Wrap(err, fault.Invalid, "match route", "caller")
		return envdoc.Route{}, &NotRun{Status: http.StatusBadRequest, Fault: f}
	}
	if cleaned := path.Clean(u.Path); cleaned != u.Path && cleaned+"/" != u.Path {
		f := fault.New(fault.Invalid, "match route", "caller", "path %q is not normalized", u.Path)
		return envdoc.Route{}, &NotRun{Status: http.StatusBadRequest, Fault: f}
	}
	route, ok := r.longestPrefix(u.Path)
	if !ok {
		f := fault.New(fault.NotFound, "match route", "", "no route matches path %q", u.Path)
		return envdoc.Route{}, &NotRun{Status: http.StatusNotFound, Fault: f}
	}
	return route, nil
}

// longestPrefix returns the route with the longest matching prefix, with defaults applied.
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
	setDefault(&found.Timeout, ident.Duration(defaultRouteTimeout))
	return found, true
}

// hasPathPrefix reports whether the path starts with the prefix and the prefix ends at a path separator.
func hasPathPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// RouteTimeout returns the timeout of the route for a path, or 0 if no route matches.
func (r *Router) RouteTimeout(path string) time.Duration {
	route, rejected := r.matchRoute(path)
	if rejected != nil {
		return 0
	}
	return route.Timeout.Std()
}

// Drain waits until no requests are running or waiting. New requests are still accepted. If ctx ends first, Drain
// returns an error with the number of remaining requests.
func (r *Router) Drain(ctx context.Context) error {
	for {
		running, idle := r.watchIdle()
		if running == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return fault.New(fault.Unavailable, "drain requests", "", "%d requests are still active", running)
		}
	}
}

// watchIdle returns the number of active requests and a channel that is closed once there are none.
func (r *Router) watchIdle() (int, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idleNotify == nil {
		r.idleNotify = make(chan struct{})
	}
	return r.activeRequests, r.idleNotify
}

// Close closes idle connections and stops the timers.
func (r *Router) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.backendList {
		b.closeIdleConns(0)
	}
	for _, timer := range []*time.Timer{r.dispatchTimer, r.shareTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
}

// requestStarted counts a request as active.
func (r *Router) requestStarted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeRequests++
}

// requestFinished ends a request and notifies Drain if it was the last one.
func (r *Router) requestFinished() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeRequests--
	if r.activeRequests == 0 && r.idleNotify != nil {
		close(r.idleNotify)
		r.idleNotify = nil
	}
}

// newRequestID returns a random request ID.
func newRequestID() ident.Request {
	return ident.Request(rand.Text())
}

// SetServers applies the platform's list of backend servers.
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
			b.removed = true
			b.closeIdleConns(0)
			delete(r.backends, name)
		}
	}
	r.backendList = r.backendList[:0]
	for _, b := range r.backends {
		r.backendList = append(r.backendList, b)
	}
	r.updateShares()
}

// setServer adds or updates a backend server. A server with a new address is replaced.
func (r *Router) setServer(s fleet.Server) {
	b, ok := r.backends[s.Name]
	if !ok || b.server.Address != s.Address {
		if ok {
			b.removed = true
			b.closeIdleConns(0)
		}
		b = &backend{server: s}
		r.backends[s.Name] = b
	}
	b.update(s)
	if s.State == ident.Leaving {
		b.closeIdleConns(0)
	}
}
