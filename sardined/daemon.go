package main

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/caller"
	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/creds"
	"github.com/sardineline/sardineline/sard/domain"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/intake"
	"github.com/sardineline/sardineline/sard/object"
	"github.com/sardineline/sardineline/sard/oper"
	"github.com/sardineline/sardineline/sard/peer"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/roster"
	"github.com/sardineline/sardineline/sard/route"
	"github.com/sardineline/sardineline/sard/table"
)

// daemon is an entry instance with its listeners, its clients of the platform's services and its components.
type daemon struct {
	settings        settings
	network         network
	log             hclog.Logger
	registry        *prometheus.Registry
	violationMetric *prometheus.CounterVec
	traffic         *traffic

	store *table.Client
	// archive stores the records of ended jobs; nil if no object store is configured.
	archive object.Store
	fleet   *fleet.Client
	roster  *roster.Roster
	link    *peer.Transport
	agent   *config.Agent
	router  *route.Router
	domains *domain.Manager

	listeners []*listener
	// stopping is set once a graceful shutdown has started.
	stopping atomic.Bool
	// requestShutdown starts a graceful shutdown. Calls after the first have no effect.
	requestShutdown func()
	// violations counts the invariant violations that this instance has detected.
	violations atomic.Uint64
}

// newDaemon creates an instance that opens its listeners and connections through nw. The peer link is closed when ctx
// is cancelled.
func newDaemon(ctx context.Context, s settings, nw network, log hclog.Logger) (*daemon, error) {
	d := &daemon{settings: s, network: nw, log: log, registry: prometheus.NewRegistry()}
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.violationMetric = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sardine_promise_breaches_total",
		Help: "Steps that were refused because they would have broken a promise, and broken promises that were seen.",
	}, []string{"promise"})
	d.registry.MustRegister(d.violationMetric)
	d.traffic = newTraffic(nw, d.registry)
	tokens, err := creds.LoadTokens(s.Secrets.Tokens)
	if err != nil {
		return nil, err
	}
	client, err := s.Secrets.tlsFiles().ClientConfig()
	if err != nil {
		return nil, err
	}
	if err := d.newServiceClients(); err != nil {
		return nil, err
	}
	d.roster = roster.New(roster.Config{
		Self: roster.Member{
			Name:        ident.Instance(s.Instance),
			Address:     s.Peers,
			DataCentre:  ident.DataCentre(s.DataCentre),
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Seeds:  s.Seeds,
		Logger: log.Named("roster"),
	})
	h := &peerHandler{roster: d.roster, status: d.ownStatus, drain: func() { d.requestShutdown() }}
	d.newLink(ctx, client, h)
	d.newAgent()
	d.newRouter()
	d.newDomains()
	h.agent, h.router, h.domains = d.agent, d.router, d.domains
	d.agent.Subscribe(func(a config.ActiveDocument) {
		d.router.SetDocument(a.Document)
		d.domains.Configure(a)
	})
	return d, d.openListeners(tokens)
}

// newServiceClients creates the clients of the platform's table service, object store and fleet list.
func (d *daemon) newServiceClients() (err error) {
	s := d.settings
	d.store, err = table.New(table.Config{
		Endpoint:   s.Table.Endpoint,
		Region:     s.Table.Region,
		AccessKey:  s.Table.AccessKey,
		SecretKey:  s.Table.SecretKey,
		Table:      s.Table.Name,
		Dial:       d.traffic.dialer("table"),
		Registerer: d.registry,
		Logger:     d.log.Named("table"),
	})
	if err != nil {
		return err
	}
	if s.Object.Endpoint != "" {
		d.archive, err = object.New(object.Config{
			Endpoint:   s.Object.Endpoint,
			Region:     s.Object.Region,
			AccessKey:  s.Object.AccessKey,
			SecretKey:  s.Object.SecretKey,
			Bucket:     s.Object.Bucket,
			Dial:       d.traffic.dialer("object"),
			Registerer: d.registry,
		})
		if err != nil {
			return err
		}
	}
	d.fleet, err = fleet.New(fleet.Config{
		Endpoint:     s.Fleet.URL,
		Dial:         d.traffic.dialer("fleet"),
		PollInterval: s.Fleet.Period,
		Metrics:      d.registry,
		Logger:       d.log.Named("fleet"),
	})
	return err
}

// newLink creates the peer link, on which h handles the messages of other instances. The link uses TLS if clientTLS is
// not nil.
func (d *daemon) newLink(ctx context.Context, clientTLS *tls.Config, h peer.Handler) {
	transport := &http.Transport{DialContext: d.traffic.dialer("instance"), TLSClientConfig: clientTLS}
	cfg := peer.Config{
		Secret:  d.settings.Secrets.PeerSecret,
		Client:  &http.Client{Transport: transport},
		Handler: h,
		Logger:  d.log.Named("peer"),
	}
	if clientTLS != nil {
		cfg.Scheme = "wss"
	}
	d.link = peer.New(ctx, cfg)
}

// newAgent creates the agent that accepts documents and distributes them to the other instances.
func (d *daemon) newAgent() {
	d.agent = config.New(config.Config{
		Instance:     ident.Instance(d.settings.Instance),
		Store:        d.store,
		Peers:        peerClient{roster: d.roster, link: d.link},
		Plan:         d.plan,
		Membership:   d.membership,
		Survey:       d.survey,
		RequireProof: d.settings.Config.RequireProof,
		PromotionKey: []byte(d.settings.Config.PromotionKey),
		Violations:   d.violationCount,
		OnViolation:  d.recordViolation,
		Logger:       d.log,
	})
	d.registry.MustRegister(d.agent)
}

// newRouter creates the router, which forwards requests to backend servers.
func (d *daemon) newRouter() {
	d.router = route.New(route.Config{
		Instance:        ident.Instance(d.settings.Instance),
		Dial:            d.dialServer,
		Store:           d.store,
		Logger:          d.log.Named("route"),
		Registerer:      d.registry,
		OnServerLeaving: func(server ident.Server) { d.roster.MarkServerLeaving(server) },
		OnViolation:     d.recordViolation,
	})
}

// dialServer opens a connection to a backend server.
func (d *daemon) dialServer(ctx context.Context, address string) (net.Conn, error) {
	return d.network.DialContext(ctx, "tcp", address)
}

// membership returns the number of instances that are known and the number of those that are reachable.
func (d *daemon) membership() config.Membership {
	listed, reachable := d.roster.MemberCounts()
	return config.Membership{Listed: listed, Reachable: reachable}
}

// plan divides the guarantees of accounts among the data centres that have workers in the platform's list.
func (d *daemon) plan(_ context.Context, accounts []place.Account) ([]config.DataCentreShare, error) {
	sites := d.domains.Sites()
	if len(sites) == 0 {
		return nil, fault.New(fault.Unavailable, "plan guarantees", "", "no workers are known yet")
	}
	planned, err := place.Plan(accounts, sites)
	if err != nil {
		return nil, err
	}
	var shares []config.DataCentreShare
	for _, p := range planned {
		shares = append(shares, config.DataCentreShare{DataCentre: p.DataCentre, Accounts: p.Accounts})
	}
	return shares, nil
}

// recordViolation logs and counts a violation of an invariant. Logs and metrics call the invariant a promise.
func (d *daemon) recordViolation(invariant, detail string) {
	d.violations.Add(1)
	d.violationMetric.WithLabelValues(invariant).Inc()
	d.log.Error("promise broken", "promise", invariant, "detail", detail)
}

// violationCount returns the number of invariant violations that this instance has detected.
func (d *daemon) violationCount() uint64 {
	return d.violations.Load()
}

// checkReady returns an error that says why the load balancer must not send calls to this instance, or nil.
func (d *daemon) checkReady() error {
	if d.stopping.Load() {
		return fault.New(fault.Unavailable, "check readiness", "", "the instance is stopping")
	}
	if err := d.agent.Ready(); err != nil {
		return err
	}
	if !d.router.Ready() {
		return fault.New(fault.Unavailable, "check readiness", "", "the router has no share of the backend servers yet")
	}
	return nil
}

// openListeners opens the listeners of the API, the health checks and the peer link. tokens authenticate the callers of
// the API.
func (d *daemon) openListeners(tokens *creds.Tokens) error {
	serverTLS, err := d.settings.Secrets.tlsFiles().ServerConfig(false)
	if err != nil {
		return err
	}
	mutualTLS, err := d.settings.Secrets.tlsFiles().ServerConfig(true)
	if err != nil {
		return err
	}
	guard := d.newGuard("api", intake.NewLimits(d.settings.Limits.machine()))
	api := caller.New(caller.Config{
		Jobs: d.domains, Router: d.router, CheckServing: d.agent.Ready, Tokens: tokens, Guard: guard, Logger: d.log.Named("caller"),
	})
	oper.New(oper.Config{Tokens: tokens, Agent: d.agent, Jobs: d.domains, StatusSource: d, Drainer: d}).Register(api)
	d.registerHealth(api)
	health := echo.New()
	health.HideBanner = true
	health.HidePort = true
	d.registerHealth(health)
	d.registerMetrics(health)
	peers := http.NewServeMux()
	peers.Handle(peer.Path, d.link)
	specs := []struct {
		name, address string
		handler       http.Handler
		tlsConfig     *tls.Config
		guard         *intake.Guard
	}{
		{"api", d.settings.API, api, serverTLS, guard},
		{"health", d.settings.Health, health, nil, d.newGuard("health", intake.ProbeLimits())},
		{peerListenerName, d.settings.Peers, peers, mutualTLS, nil},
	}
	for _, spec := range specs {
		l, err := d.openListener(spec.name, spec.address, spec.handler, spec.tlsConfig, spec.guard)
		if err != nil {
			return err
		}
		d.listeners = append(d.listeners, l)
	}
	return nil
}

// run serves until ctx is cancelled or requestShutdown is called, and then shuts down gracefully. It returns early if a
// component fails.
func (d *daemon) run(ctx context.Context) error {
	drainRequested := make(chan struct{})
	var once sync.Once
	d.requestShutdown = func() { once.Do(func() { close(drainRequested) }) }
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, runCtx := errgroup.WithContext(runCtx)
	for _, l := range d.listeners {
		group.Go(l.serve)
	}
	group.Go(func() error { return d.fleet.Watch(runCtx, d.updateFleet) })
	group.Go(func() error { return d.runHeartbeats(runCtx) })
	group.Go(func() error { return d.agent.Run(runCtx) })
	group.Go(func() error { return d.domains.Run(runCtx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-drainRequested:
		case <-runCtx.Done():
		}
		d.shutDown()
		cancel()
		return nil
	})
	d.log.Info("instance started", "instance", d.settings.Instance, "api", d.settings.API, "health", d.settings.Health, "peers", d.settings.Peers)
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return err
}

// updateFleet passes a new state of the platform's list to the components that use it.
func (d *daemon) updateFleet(s fleet.Snapshot) {
	d.roster.UpdateFleet(s.Instances)
	d.router.SetServers(s.Servers)
	d.domains.SetTopology(s.Workers)
}

// shutDown shuts down gracefully. It reports that the instance is not ready, releases its domains to other instances,
// waits until the load balancer has noticed, and closes the listeners once the calls in progress are complete.
func (d *daemon) shutDown() {
	d.log.Info("graceful shutdown started")
	d.stopping.Store(true)
	d.roster.MarkLeaving()
	d.domains.ReleaseAll()
	time.Sleep(d.settings.Stop.Unready)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Stop.Drain)
	defer cancel()
	for _, l := range d.listeners {
		if err := l.close(ctx); err != nil {
			d.log.Error("listener closed with calls in flight", "listener", l.name, "error", err)
		}
	}
	if err := d.router.Drain(ctx); err != nil {
		d.log.Error("requests were cut off", "error", err)
	}
	d.router.Close()
	d.log.Info("graceful shutdown finished")
}
