package fleet

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/fault"
)

// Config tells how to reach the list. Zero values mean the defaults.
type Config struct {
	// Endpoint is the URL of the service, without the path.
	Endpoint string
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Timeout bounds a call; 0 means 2 s.
	Timeout time.Duration
	// PollInterval is the mean time between two polls; 0 means 2 s.
	PollInterval time.Duration
	// Metrics registers the client's metrics; nil for none.
	Metrics prometheus.Registerer
	// Logger takes a line when the list can't be read and when it can again; nil for none.
	Logger hclog.Logger
}

const (
	defaultTimeout = 2 * time.Second
	defaultPeriod  = 2 * time.Second
	// jitter is the share of the period by which a poll comes earlier or later.
	jitter = 0.2
	// restartPolls is the number of polls after which a list with a lower sequence counts as a new one.
	restartPolls = 3

	path        = "/v1/fleet"
	peerName    = "fleet list"
	maxList     = 16 << 20
	idleTimeout = 30 * time.Second
)

// Client reads the list.
type Client struct {
	config    Config
	http      *http.Client
	transport *http.Transport
	polls     *prometheus.CounterVec
	sequence  prometheus.Gauge
}

// New makes a client. It does not call the service.
func New(config Config) (*Client, error) {
	if config.Endpoint == "" {
		return nil, fault.New(fault.Invalid, "make fleet client", "", "no Endpoint is set")
	}
	config = config.withDefaults()
	transport := &http.Transport{DialContext: config.Dial, IdleConnTimeout: idleTimeout}
	c := &Client{
		config:    config,
		transport: transport,
		http:      &http.Client{Transport: transport},
		polls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sardine_fleet_polls_total",
			Help: "Polls of the fleet list by result.",
		}, []string{"result"}),
		sequence: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sardine_fleet_sequence",
			Help: "Sequence of the fleet list that is in use.",
		}),
	}
	return c, c.register(config.Metrics)
}

func (c Config) withDefaults() Config {
	c.Endpoint = strings.TrimSuffix(c.Endpoint, "/")
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.PollInterval == 0 {
		c.PollInterval = defaultPeriod
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return c
}

func (c *Client) register(registry prometheus.Registerer) error {
	if registry == nil {
		return nil
	}
	for _, collector := range []prometheus.Collector{c.polls, c.sequence} {
		if err := registry.Register(collector); err != nil {
			return fault.Wrap(err, fault.Invalid, "register fleet metrics", "")
		}
	}
	return nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Snapshot reads the list. Its errors are of kind Unavailable.
func (c *Client) Snapshot(ctx context.Context) (Snapshot, error) {
	s, _, err := c.get(ctx, "")
	return s, err
}

// get reads the list unless its tag is still the given one. It returns the new tag.
func (c *Client) get(ctx context.Context, tag string) (Snapshot, string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.config.Endpoint+path, nil)
	if err != nil {
		return Snapshot{}, "", fault.Wrap(err, fault.Invalid, "read list", peerName)
	}
	if tag != "" {
		r.Header.Set("If-None-Match", tag)
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return Snapshot{}, "", fault.Wrap(err, fault.Unavailable, "read list", peerName)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode == http.StatusNotModified {
		return Snapshot{}, tag, nil
	}
	if answer.StatusCode != http.StatusOK {
		return Snapshot{}, "", fault.New(fault.Unavailable, "read list", peerName, "status %d", answer.StatusCode)
	}
	var s Snapshot
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxList)).Decode(&s); err != nil {
		return Snapshot{}, "", fault.Wrap(err, fault.Unavailable, "decode list", peerName)
	}
	return s, answer.Header.Get("ETag"), nil
}

// wait returns the time to the next poll.
func (c *Client) wait() time.Duration {
	spread := time.Duration(float64(c.config.PollInterval) * jitter)
	return c.config.PollInterval - spread + rand.N(2*spread+1)
}
