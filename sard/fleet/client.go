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

// Config configures a Client. Only Endpoint is required.
type Config struct {
	// Endpoint is the URL of the platform's list service without a path.
	Endpoint string
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Timeout limits the duration of a call; 0 means 2 s.
	Timeout time.Duration
	// PollInterval is the mean time between two polls; 0 means 2 s.
	PollInterval time.Duration
	// Metrics is where the client's metrics are registered; nil for nowhere.
	Metrics prometheus.Registerer
	// Logger logs when Watch can no longer read the list, and when it can again; nil for none.
	Logger hclog.Logger
}

const (
	defaultTimeout      = 2 * time.Second
	defaultPollInterval = 2 * time.Second
	// pollJitter is the largest deviation of a poll from PollInterval, as a fraction of it.
	pollJitter = 0.2
	// pollsBeforeSequenceReset is the number of polls in a row after which a lower sequence is accepted as that of a
	// recreated list.
	pollsBeforeSequenceReset = 3

	// fleetPath is the path at which the service serves the list.
	fleetPath = "/v1/fleet"
	// peerName is the name of the service in errors.
	peerName = "fleet list"
	// maxResponseBytes limits the part of a response that is read.
	maxResponseBytes = 16 << 20
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 30 * time.Second
)

// Client reads the platform's list of machines over HTTP.
type Client struct {
	config    Config
	http      *http.Client
	transport *http.Transport
	polls     *prometheus.CounterVec
	sequence  prometheus.Gauge
}

// New creates a Client. It does not call the service.
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

// withDefaults returns c with defaults for the unset fields.
func (c Config) withDefaults() Config {
	c.Endpoint = strings.TrimSuffix(c.Endpoint, "/")
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.PollInterval == 0 {
		c.PollInterval = defaultPollInterval
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return c
}

// register registers the client's metrics, if registry is set.
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

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Snapshot reads the list once and returns it. Errors are of kind Unavailable, or Invalid if Endpoint is not a valid
// URL.
func (c *Client) Snapshot(ctx context.Context) (Snapshot, error) {
	s, _, err := c.fetch(ctx, "")
	return s, err
}

// fetch reads the list and returns it with its ETag. If its ETag is still the given one, the snapshot is empty.
func (c *Client) fetch(ctx context.Context, etag string) (Snapshot, string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.config.Endpoint+fleetPath, nil)
	if err != nil {
		return Snapshot{}, "", fault.Wrap(err, fault.Invalid, "read list", peerName)
	}
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Snapshot{}, "", fault.Wrap(err, fault.Unavailable, "read list", peerName)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return Snapshot{}, etag, nil
	}
	if response.StatusCode != http.StatusOK {
		return Snapshot{}, "", fault.New(fault.Unavailable, "read list", peerName, "status %d", response.StatusCode)
	}
	var snapshot Snapshot
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&snapshot); err != nil {
		return Snapshot{}, "", fault.Wrap(err, fault.Unavailable, "decode list", peerName)
	}
	return snapshot, response.Header.Get("ETag"), nil
}

// nextPollDelay returns the time until the next poll, with jitter.
func (c *Client) nextPollDelay() time.Duration {
	maxJitter := time.Duration(float64(c.config.PollInterval) * pollJitter)
	return c.config.PollInterval - maxJitter + rand.N(2*maxJitter+1)
}
