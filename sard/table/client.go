package table

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"golang.org/x/time/rate"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// Client is a Store over the DynamoDB API.
type Client struct {
	config    Config
	transport *http.Transport
	service   *dynamodb.Client
	reads     *pace
	writes    *pace
	retries   *rate.Limiter
	metrics   *metrics
	jitter    *jitter

	// prefix and serial make the tokens of this client's writes.
	prefix string
	serial atomic.Uint64
	// suspect is set after a call that the service did not answer. A write then first reads, so that a
	// service that is down refuses it before anything is sent.
	suspect atomic.Bool
}

var _ Store = (*Client)(nil)

const (
	tokenBytes = 8
	tokenBase  = 36
)

// New makes a client. It does not call the service.
func New(config Config) (*Client, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	m, err := newMetrics(config.Registerer)
	if err != nil {
		return nil, err
	}
	random := make([]byte, tokenBytes)
	_, _ = crand.Read(random)
	transport := config.transport()
	service, err := config.service(transport)
	if err != nil {
		return nil, err
	}
	return &Client{
		config:    config,
		transport: transport,
		service:   service,
		reads:     newPace(config.ReadsPerSecond),
		writes:    newPace(config.WritesPerSecond),
		retries:   rate.NewLimiter(rate.Limit(config.RetriesPerSecond), burstOf(config.RetriesPerSecond)),
		metrics:   m,
		jitter:    newJitter(config.Seed),
		prefix:    hex.EncodeToString(random),
	}, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

func (c *Client) token() ident.WriteToken {
	return ident.WriteToken(c.prefix + "-" + strconv.FormatUint(c.serial.Add(1), tokenBase))
}

// attempt makes one attempt of a call within its time limit and classifies its error.
func (c *Client) attempt(ctx context.Context, op operation, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.AttemptTimeout)
	defer cancel()
	begun := time.Now()
	err := classify(call(ctx), op)
	c.metrics.count(op, err, time.Since(begun))
	return err
}

// pause waits before the next attempt, when the retry budget and the call's time allow one.
func (c *Client) pause(ctx context.Context, tried int) bool {
	if tried >= c.config.MaxAttempts || ctx.Err() != nil || !c.retries.Allow() {
		return false
	}
	return clock.Sleep(ctx, c.jitter.backoff(tried))
}

func (c *Client) note(err error) {
	switch {
	case err == nil, fault.Is(err, fault.NotFound), fault.Is(err, fault.Conflict), fault.Is(err, fault.Throttled):
		c.suspect.Store(false)
	case fault.Is(err, fault.Unavailable), fault.Is(err, fault.OutcomeUnknown):
		c.suspect.Store(true)
	}
}
