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
	"github.com/sardineline/sardineline/sard/store"
)

// Client is a Store that calls a service with the DynamoDB API.
type Client struct {
	config    Config
	transport *http.Transport
	service   *dynamodb.Client
	reads     *rateLimit
	writes    *rateLimit
	retries   *rate.Limiter
	metrics   *metrics
	jitter    *jitter

	// tokenPrefix and tokenSerial form the unique tokens of the client's writes.
	tokenPrefix string
	tokenSerial atomic.Uint64
	// unresponsive is set after a call without a response. A write is then preceded by a read, so that it fails
	// without having been sent while the service is down.
	unresponsive atomic.Bool
}

var _ Store = (*Client)(nil)

const (
	// tokenBytes is the number of random bytes in the token prefix of a client.
	tokenBytes = 8
	// tokenBase is the base in which the serial number of a token is written.
	tokenBase = 36
)

// New returns a client. It does not connect to the service.
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
		config:      config,
		transport:   transport,
		service:     service,
		reads:       newRateLimit(config.ReadsPerSecond),
		writes:      newRateLimit(config.WritesPerSecond),
		retries:     rate.NewLimiter(rate.Limit(config.RetriesPerSecond), burstSize(config.RetriesPerSecond)),
		metrics:     m,
		jitter:      newJitter(config.Seed),
		tokenPrefix: hex.EncodeToString(random),
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

func (c *Client) newToken() ident.WriteToken {
	return ident.WriteToken(c.tokenPrefix + "-" + strconv.FormatUint(c.tokenSerial.Add(1), tokenBase))
}

// attempt makes a single attempt of a call, which ends when nothing of the answer arrives for the attempt timeout. It wraps the
// error and records the metrics.
func (c *Client) attempt(ctx context.Context, op operation, call func(context.Context) error) error {
	ctx, cancel := store.WithSilenceLimit(ctx, c.config.AttemptTimeout)
	defer cancel()
	started := time.Now()
	err := wrapError(call(ctx), op)
	c.metrics.observe(op, err, time.Since(started))
	return err
}

// waitRetry waits for the backoff before the next attempt. It returns false if the attempts, the retry budget or the time
// of the call are used up.
func (c *Client) waitRetry(ctx context.Context, attempts int) bool {
	if attempts >= c.config.MaxAttempts || ctx.Err() != nil || !c.retries.Allow() {
		return false
	}
	return clock.Sleep(ctx, c.jitter.backoff(attempts))
}

// noteResult updates unresponsive from the result of a call.
func (c *Client) noteResult(err error) {
	switch {
	case err == nil, fault.Is(err, fault.NotFound), fault.Is(err, fault.Conflict), fault.Is(err, fault.Throttled):
		c.unresponsive.Store(false)
	case fault.Is(err, fault.Unavailable), fault.Is(err, fault.OutcomeUnknown):
		c.unresponsive.Store(true)
	}
}
