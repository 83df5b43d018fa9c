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

// Config tells how to reach the table service and how much of it to use. Zero values mean the defaults.
type Config struct {
	// Endpoint is the URL of the service.
	Endpoint string
	// Region, AccessKey and SecretKey sign the calls.
	Region    string
	AccessKey string
	SecretKey string
	// Table names the table; "" means "sardineline".
	Table string
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// AttemptTimeout bounds one attempt of a call; 0 means 1 s.
	AttemptTimeout time.Duration
	// CallTimeout bounds a call with its retries, and must stay under 10 minutes; 0 means 5 s.
	CallTimeout time.Duration
	// MaxAttempts bounds the attempts of a call; 0 means 5.
	MaxAttempts int
	// RetriesPerSecond bounds the retries of all calls together; 0 means 10.
	RetriesPerSecond float64
	// ReadsPerSecond bounds the reads, of which a page of a list is one, and WritesPerSecond the items written;
	// 0 means 160 and 50.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Seed makes the random waits between attempts repeat; 0 means that they don't.
	Seed uint64
	// Registerer registers the client's metrics; nil for none.
	Registerer prometheus.Registerer
	// Logger takes a line for each write whose result had to be read back; nil for none.
	Logger hclog.Logger
}

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

	// tokenLifetime is how long the service recognises a transaction that is sent again.
	tokenLifetime = 10 * time.Minute

	maxIdleConnections = 16
	idleTimeout        = 30 * time.Second
)

func (c Config) withDefaults() (Config, error) {
	if c.Endpoint == "" {
		return c, fault.New(fault.Invalid, "make table client", "", "no Endpoint is set")
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
		return c, fault.New(fault.Invalid, "make table client", "", "CallTimeout %s is not under %s", c.CallTimeout, tokenLifetime)
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return c, nil
}

func orDefault[T comparable](value *T, otherwise T) {
	var zero T
	if *value == zero {
		*value = otherwise
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

// fixedEndpoint spares the SDK its endpoint rules, which compile patterns on each call.
type fixedEndpoint struct{ url url.URL }

// ResolveEndpoint returns the endpoint of the settings.
func (f fixedEndpoint) ResolveEndpoint(context.Context, dynamodb.EndpointParameters) (endpoints.Endpoint, error) {
	return endpoints.Endpoint{URI: f.url}, nil
}

func (c Config) service(transport *http.Transport) (*dynamodb.Client, error) {
	endpoint, err := url.Parse(c.Endpoint)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "make table client", "")
	}
	keys := aws.Credentials{AccessKeyID: c.AccessKey, SecretAccessKey: c.SecretKey}
	provide := func(context.Context) (aws.Credentials, error) { return keys, nil }
	return dynamodb.New(dynamodb.Options{
		EndpointResolverV2:              fixedEndpoint{*endpoint},
		Region:                          c.Region,
		Credentials:                     aws.CredentialsProviderFunc(provide),
		HTTPClient:                      &http.Client{Transport: transport},
		Retryer:                         aws.NopRetryer{},
		AccountIDEndpointMode:           aws.AccountIDEndpointModeDisabled,
		DisableValidateResponseChecksum: true,
	}), nil
}
