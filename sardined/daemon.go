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
	"github.com/sardineline/sardineline/sard/object"
	"github.com/sardineline/sardineline/sard/oper"
	"github.com/sardineline/sardineline/sard/peer"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/roster"
	"github.com/sardineline/sardineline/sard/route"
	"github.com/sardineline/sardineline/sard/table"
)

// daemon is an entry instance with all its parts.
type daemon struct {
	settings settings
	network  network
	log      hclog.Logger
	registry *prometheus.Registry
	promises *prometheus.CounterVec
	traffic  *traffic

	store *table.Client
	// archive keeps ended jobs; nil without an object store.
	archive object.Store
	fleet   *fleet.Client
	roster  *roster.Roster
	link    *peer.Transport
	agent   *config.Agent
	router  *route.Router
	domains *domain.Manager

	listeners []*listener
	// leaving is set from the start of a planned stop on.
	leaving atomic.Bool
	// stop starts a planned stop. It may be called often.
	stop func()
	// broken counts the broken promises that this instance has seen.
	broken atomic.Uint64
}

// newDaemon puts an instance together whose connections go over a network. Its peer link lives until ctx ends.
func newDaemon(ctx context.Context, s settings, over network, log hclog.Logger) (*daemon, error) {
	d := &daemon{settings: s, network: over, log: log, registry: prometheus.NewRegistry()}
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.promises = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sardine_promise_breaches_total",
		Help: "Steps that were refused because they would have broken a promise, and broken promises that were seen.",
	}, []string{"promise"})
	d.registry.MustRegister(d.promises)
	d.traffic = newTraffic(over, d.registry)
	tokens, err := creds.LoadTokens(s.Secrets.Tokens)
	if err != nil {
		return nil, err
	}
	client, err := s.Secrets.files().ClientConfig()
	if err != nil {
		return nil, err
	}
	if err := d.newPlatform(); err != nil {
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
	h := &handler{roster: d.roster, status: d.ownStatus, drain: func() { d.stop() }}
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

// newPlatform makes the clients of the platform's services.
func (d *daemon) newPlatform() (err error) {
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

func (d *daemon) newLink(ctx context.Context, secure *tls.Config, h peer.Handler) {
	transport := &http.Transport{DialContext: d.traffic.dialer("instance"), TLSClientConfig: secure}
	cfg := peer.Config{
		Secret:  d.settings.Secrets.PeerSecret,
		Client:  &http.Client{Transport: transport},
		Handler: h,
		Logger:  d.log.Named("peer"),
	}
	if secure != nil {
		cfg.Scheme = "wss"
	}
	d.link = peer.New(ctx, cfg)
}

func (d *daemon) newAgent() {
	d.agent = config.New(config.Config{
		Instance:     ident.Instance(d.settings.Instance),
		Store:        d.store,
		Peers:        neighbours{roster: d.roster, link: d.link},
		Plan:         d.plan,
		Membership:   d.membership,
		Survey:       d.survey,
		RequireProof: d.settings.Config.RequireProof,
		PromotionKey: []byte(d.settings.Config.PromotionKey),
		Violations:   d.breaches,
		OnViolation:  d.breach,
		Logger:       d.log,
	})
	d.registry.MustRegister(d.agent)
}

func (d *daemon) newRouter() {
	d.router = route.New(route.Config{
		Instance:        ident.Instance(d.settings.Instance),
		Dial:            d.dialServer,
		Store:           d.store,
		Logger:          d.log.Named("route"),
		Registerer:      d.registry,
		OnServerLeaving: func(server ident.Server) { d.roster.MarkServerLeaving(server) },
		OnViolation:     d.breach,
	})
}

// dialServer opens a connection to a backend server.
func (d *daemon) dialServer(ctx context.Context, address string) (net.Conn, error) {
	return d.network.DialContext(ctx, "tcp", address)
}

// membership counts the instances for the configuration agent.
func (d *daemon) membership() config.Membership {
	all, heard := d.roster.MemberCounts()
	return config.Membership{Listed: all, Reachable: heard}
}

// plan divides the guarantees over the data centres that the platform lists.
func (d *daemon) plan(_ context.Context, accounts []place.Account) ([]config.DataCentreShare, error) {
	sites := d.domains.Sites()
	if len(sites) == 0 {
		return nil, fault.New(fault.Unavailable, "plan guarantees", "", "no workers are known yet")
	}
	parts, err := place.Plan(accounts, sites)
	if err != nil {
		return nil, err
	}
	var shares []config.DataCentreShare
	for _, p := range parts {
		shares = append(shares, config.DataCentreShare{DataCentre: p.DataCentre, Accounts: p.Accounts})
	}
	return shares, nil
}

// breach records a broken promise.
func (d *daemon) breach(promise, detail string) {
	d.broken.Add(1)
	d.promises.WithLabelValues(promise).Inc()
	d.log.Error("promise broken", "promise", promise, "detail", detail)
}

func (d *daemon) breaches() uint64 {
	return d.broken.Load()
}

// ready tells why the instance must get no requests from the balancer.
func (d *daemon) ready() error {
	if d.leaving.Load() {
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

func (d *daemon) openListeners(tokens *creds.Tokens) error {
	secure, err := d.settings.Secrets.files().ServerConfig(false)
	if err != nil {
		return err
	}
	mutual, err := d.settings.Secrets.files().ServerConfig(true)
	if err != nil {
		return err
	}
	api := caller.New(caller.Config{Jobs: d.domains, Router: d.router, CheckServing: d.agent.Ready, Tokens: tokens, Logger: d.log.Named("caller")})
	oper.New(oper.Config{Tokens: tokens, Agent: d.agent, Jobs: d.domains, StatusSource: d, Drainer: d}).Register(api)
	d.registerHealth(api)
	health := echo.New()
	health.HideBanner = true
	health.HidePort = true
	d.registerHealth(health)
	d.registerMetrics(health)
	peers := http.NewServeMux()
	peers.Handle(peer.Path, d.link)
	wanted := []struct {
		name, address string
		handler       http.Handler
		secure        *tls.Config
	}{
		{"api", d.settings.API, api, secure},
		{"health", d.settings.Health, health, nil},
		{peersName, d.settings.Peers, peers, mutual},
	}
	for _, w := range wanted {
		l, err := d.listen(w.name, w.address, w.handler, w.secure)
		if err != nil {
			return err
		}
		d.listeners = append(d.listeners, l)
	}
	return nil
}

// run serves until ctx ends or a drain is asked for, and then stops by plan. It returns early when a part fails.
func (d *daemon) run(ctx context.Context) error {
	asked := make(chan struct{})
	var once sync.Once
	d.stop = func() { once.Do(func() { close(asked) }) }
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, work := errgroup.WithContext(work)
	for _, l := range d.listeners {
		group.Go(l.serve)
	}
	group.Go(func() error { return d.fleet.Watch(work, d.listed) })
	group.Go(func() error { return d.heartbeats(work) })
	group.Go(func() error { return d.agent.Run(work) })
	group.Go(func() error { return d.domains.Run(work) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-asked:
		case <-work.Done():
		}
		d.shutDown()
		cancel()
		return nil
	})
	d.log.Info("instance runs", "instance", d.settings.Instance, "api", d.settings.API, "health", d.settings.Health, "peers", d.settings.Peers)
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return err
}

// listed takes a new list of the platform over.
func (d *daemon) listed(s fleet.Snapshot) {
	d.roster.UpdateFleet(s.Instances)
	d.router.SetServers(s.Servers)
	d.domains.SetTopology(s.Workers)
}

// shutDown stops by plan: unready first, then the domains are handed over, then the listeners close when their
// requests have ended.
func (d *daemon) shutDown() {
	d.log.Info("planned stop begins")
	d.leaving.Store(true)
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
	d.log.Info("planned stop done")
}
