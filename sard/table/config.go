package table

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	endpoints "github.com/aws/smithy-go/endpoints"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/fault"
)

// Config configures a Client. Zero values select the defaults.
type Config struct {
	// Endpoint is the URL of the service.
	Endpoint string
	// Region, AccessKey and SecretKey are used to sign requests.
	Region    string
	AccessKey string
	SecretKey string
	// Table is the name of the table; the default is "sardineline".
	Table string
	// Dial opens connections; the default is a plain net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// AttemptTimeout is how long the service may send nothing of its answer to a single attempt; the default is 1 s.
	AttemptTimeout time.Duration
	// CallTimeout limits the duration of a call including its retries, where each page of a list counts as a call; the default
	// is 5 s. It must be less than 10 minutes, the time for which the service recognises a repeated transaction.
	CallTimeout time.Duration
	// MaxAttempts limits the number of attempts for each call; the default is 5.
	MaxAttempts int
	// RetriesPerSecond limits the retries of all calls together; the default is 10.
	RetriesPerSecond float64
	// ReadsPerSecond limits the reads, where each page of a list counts as one; the default is 160. WritesPerSecond limits
	// the items written; the default is 50.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Seed seeds the random backoff between attempts; 0 selects a random seed.
	Seed uint64
	// Registerer registers the metrics of the client; if nil, they are not registered.
	Registerer prometheus.Registerer
	// Logger logs each write whose outcome was unknown and had to be checked; if nil, nothing is logged.
	Logger hclog.Logger
}

// Defaults and limits of the configuration.
const (
	defaultTable            = "sardineline"
	defaultRegion           = "local"
	defaultKey              = "sardineline"
	defaultAttemptTimeout   = time.Second
	defaultCallTimeout      = 5 * time.Second
	defaultMaxAttempts      = 5
	defaultRetriesPerSecond = 10
	defaultReadsPerSecond   = 160
	defaultWritesPerSecond  = 50

	// tokenLifetime is how long the service recognises a repeated transaction by its request token.
	tokenLifetime = 10 * time.Minute

	// maxIdleConnections is the maximum number of idle connections to the service.
	maxIdleConnections = 16
	// idleTimeout is how long a connection may be idle before it is closed.
	idleTimeout = 30 * time.Second
)

func (c Config) withDefaults() (Config, error) {
	if c.Endpoint == "" {
		return c, fault.New(fault.Invalid, "make table client", "", "Endpoint is not set")
	}
	orDefault(&c.Region, defaultRegion)
	orDefault(&c.AccessKey, defaultKey)
	orDefault(&c.SecretKey, defaultKey)
	orDefault(&c.Table, defaultTable)
	orDefault(&c.AttemptTimeout, defaultAttemptTimeout)
	orDefault(&c.CallTimeout, defaultCallTimeout)
	orDefault(&c.MaxAttempts, defaultMaxAttempts)
	orDefault(&c.RetriesPerSecond, defaultRetriesPerSecond)
	orDefault(&c.ReadsPerSecond, defaultReadsPerSecond)
	orDefault(&c.WritesPerSecond, defaultWritesPerSecond)
	if c.CallTimeout >= tokenLifetime {
		return c, fault.New(fault.Invalid, "make table client", "", "CallTimeout is %s, must be less than %s", c.CallTimeout, tokenLifetime)
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return c, nil
}

// orDefault sets a zero value to the fallback.
func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (c Config) transport() *http.Transport {
	return &http.Transport{
		DialContext:         c.Dial,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
}

// fixedEndpoint is an endpoint resolver that always returns the same URL. The SDK's own resolver compiles regular
// expressions on each call.
type fixedEndpoint struct{ url url.URL }

// ResolveEndpoint returns the configured endpoint.
func (f fixedEndpoint) ResolveEndpoint(context.Context, dynamodb.EndpointParameters) (endpoints.Endpoint, error) {
	return endpoints.Endpoint{URI: f.url}, nil
}

func (c Config) service(transport *http.Transport) (*dynamodb.Client, error) {
	endpoint, err := url.Parse(c.Endpoint)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "make table client", "")
	}
	credentials := aws.Credentials{AccessKeyID: c.AccessKey, SecretAccessKey: c.SecretKey}
	provider := func(context.Context) (aws.Credentials, error) { return credentials, nil }
	return dynamodb.New(dynamodb.Options{
		EndpointResolverV2:              fixedEndpoint{*endpoint},
		Region:                          c.Region,
		Credentials:                     aws.CredentialsProviderFunc(provider),
		HTTPClient:                      &http.Client{Transport: arrivalTransport{transport}},
		Retryer:                         aws.NopRetryer{},
		AccountIDEndpointMode:           aws.AccountIDEndpointModeDisabled,
		DisableValidateResponseChecksum: true,
	}), nil
}
