package object

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/aws/retry"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/fault"
)

// Config configures a Client. Only Endpoint is required; the zero values of other fields select the defaults.
type Config struct {
	// Endpoint is the URL of the service.
	Endpoint string
	// Region, AccessKey and SecretKey are used to sign requests.
	Region    string
	AccessKey string
	SecretKey string
	// Bucket is the name of the bucket; the default is "sardineline".
	Bucket string
	// Dial opens connections; the default is a plain net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// CallTimeout limits the duration of a call including its retries; the default is 10 s.
	CallTimeout time.Duration
	// MaxAttempts limits the number of attempts for each call; the default is 3.
	MaxAttempts int
	// Registerer registers the metrics of the client; if nil, they are not registered.
	Registerer prometheus.Registerer
}

// Defaults of Config, and limits of the HTTP transport.
const (
	defaultBucket      = "sardineline"
	defaultRegion      = "local"
	defaultKey         = "sardineline"
	defaultCallTimeout = 10 * time.Second
	defaultMaxAttempts = 3

	// maxBackoff is the maximum delay before a retry.
	maxBackoff = time.Second
	// maxIdleConnections is the maximum number of idle connections to the service.
	maxIdleConnections = 4
	// idleTimeout is how long a connection may be idle before it is closed.
	idleTimeout = 30 * time.Second
)

// Client is a Store that keeps the objects in a bucket of a service with the S3 API.
type Client struct {
	config    Config
	transport *http.Transport
	service   *s3.Client
	calls     *prometheus.CounterVec
}

var _ Store = (*Client)(nil)

// New returns a client. It does not connect to the service.
func New(config Config) (*Client, error) {
	if config.Endpoint == "" {
		return nil, fault.New(fault.Invalid, "make object client", "", "Endpoint is not set")
	}
	config = config.withDefaults()
	c := &Client{
		config: config,
		transport: &http.Transport{
			DialContext:         config.Dial,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
		},
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sardine_object_calls_total",
			Help: "Calls of the object store by operation and result.",
		}, []string{"operation", "result"}),
	}
	c.service = config.service(c.transport)
	if config.Registerer == nil {
		return c, nil
	}
	if err := config.Registerer.Register(c.calls); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "register object metrics", "")
	}
	return c, nil
}

func (c Config) withDefaults() Config {
	orDefault := func(value, fallback string) string {
		if value == "" {
			return fallback
		}
		return value
	}
	c.Bucket = orDefault(c.Bucket, defaultBucket)
	c.Region = orDefault(c.Region, defaultRegion)
	c.AccessKey = orDefault(c.AccessKey, defaultKey)
	c.SecretKey = orDefault(c.SecretKey, defaultKey)
	if c.CallTimeout == 0 {
		c.CallTimeout = defaultCallTimeout
	}
	if c.MaxAttempts == 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	return c
}

func (c Config) service(transport *http.Transport) *s3.Client {
	credentials := aws.Credentials{AccessKeyID: c.AccessKey, SecretAccessKey: c.SecretKey}
	provider := func(context.Context) (aws.Credentials, error) { return credentials, nil }
	return s3.New(s3.Options{
		BaseEndpoint:               &c.Endpoint,
		Region:                     c.Region,
		UsePathStyle:               true,
		Credentials:                aws.CredentialsProviderFunc(provider),
		HTTPClient:                 &http.Client{Transport: transport},
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		Retryer: retry.NewStandard(func(o *retry.StandardOptions) {
			o.MaxAttempts = c.MaxAttempts
			o.MaxBackoff = maxBackoff
		}),
	})
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Put writes an object, replacing an existing one.
func (c *Client) Put(ctx context.Context, key Key, body []byte) error {
	if key == "" || len(body) > MaxObjectBytes {
		return fault.New(fault.Invalid, "put object", serviceName, "invalid object: key %q, %d bytes, limit is %d bytes", key, len(body), MaxObjectBytes)
	}
	return c.call(ctx, opPut, func(ctx context.Context) error {
		_, err := c.service.PutObject(ctx, &s3.PutObjectInput{
			Bucket: &c.config.Bucket,
			Key:    (*string)(&key),
			Body:   bytes.NewReader(body),
		})
		return err
	})
}

// Get returns the content of an object.
func (c *Client) Get(ctx context.Context, key Key) ([]byte, error) {
	var body []byte
	err := c.call(ctx, opGet, func(ctx context.Context) error {
		out, err := c.service.GetObject(ctx, &s3.GetObjectInput{Bucket: &c.config.Bucket, Key: (*string)(&key)})
		if err != nil {
			return err
		}
		defer func() { _ = out.Body.Close() }()
		body, err = io.ReadAll(io.LimitReader(out.Body, MaxObjectBytes))
		return err
	})
	return body, err
}

// List returns the objects whose keys start with prefix, sorted by key.
func (c *Client) List(ctx context.Context, prefix Key) ([]Info, error) {
	in := &s3.ListObjectsV2Input{Bucket: &c.config.Bucket, Prefix: (*string)(&prefix)}
	var entries []Info
	for {
		var out *s3.ListObjectsV2Output
		err := c.call(ctx, opList, func(ctx context.Context) (err error) {
			out, err = c.service.ListObjectsV2(ctx, in)
			return err
		})
		if err != nil {
			return nil, err
		}
		for _, o := range out.Contents {
			entries = append(entries, Info{Key: Key(aws.ToString(o.Key)), Size: aws.ToInt64(o.Size)})
		}
		if !aws.ToBool(out.IsTruncated) {
			return entries, nil
		}
		in.ContinuationToken = out.NextContinuationToken
	}
}

// Delete removes an object. Removing an object that does not exist succeeds.
func (c *Client) Delete(ctx context.Context, key Key) error {
	return c.call(ctx, opDelete, func(ctx context.Context) error {
		_, err := c.service.DeleteObject(ctx, &s3.DeleteObjectInput{Bucket: &c.config.Bucket, Key: (*string)(&key)})
		return err
	})
}
