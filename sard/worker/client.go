package worker

import (
	"context"
	"net/http"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// Client calls a worker. All calls are idempotent and can be repeated under the same epoch. Errors are of type
// *fault.Error and of these kinds:
//
//   - Fenced: the worker has seen a higher epoch.
//   - Conflict: the accelerators are in use.
//   - NotFound: the worker does not have the part.
//   - Invalid: the worker rejected the call as invalid.
//   - Internal: the worker is broken, or the call can't be encoded.
//   - Unavailable: the call certainly did not reach the worker.
//   - OutcomeUnknown: the call may have taken effect.
type Client interface {
	// Fence raises the worker's epoch, so that it rejects calls under lower ones, and returns the parts that it has.
	Fence(ctx context.Context, req FenceRequest) (Report, error)
	// Reserve reserves accelerators for a part under a short lease.
	Reserve(ctx context.Context, req ReserveRequest) (Report, error)
	// Start starts a reserved part.
	Start(ctx context.Context, req StartRequest) (Report, error)
	// Renew renews the leases of parts. It can wait for a change in the worker's report.
	Renew(ctx context.Context, req RenewRequest) (Report, error)
	// Checkpoint asks a part to write a checkpoint and waits for it.
	Checkpoint(ctx context.Context, req CheckpointRequest) (CheckpointReply, error)
	// Throttle limits a part to a percentage of the speed of its accelerators.
	Throttle(ctx context.Context, req ThrottleRequest) (Report, error)
	// Stop stops a part and waits for its end.
	Stop(ctx context.Context, req StopRequest) (Report, error)
}

// CallTimeout is the default limit of a call, not counting the time for which the worker may hold its response.
const CallTimeout = 2 * time.Second

// Config configures a Client.
type Config struct {
	// Worker is the name of the worker for error messages.
	Worker ident.Worker
	// Address is the host and port of the worker.
	Address string
	// HTTP is used for the calls; nil means a new client with NewTransport.
	HTTP *http.Client
	// Timeout limits a call, not counting the time for which the worker may hold its response; 0 means CallTimeout.
	Timeout time.Duration
}

// New returns a Client that calls a worker over HTTP. Clients of many workers should share Config.HTTP.
func New(config Config) Client {
	if config.HTTP == nil {
		config.HTTP = &http.Client{Transport: NewTransport()}
	}
	if config.Timeout == 0 {
		config.Timeout = CallTimeout
	}
	return &httpClient{config: config}
}

// Limits of the HTTP transport that NewTransport returns.
const (
	idleConnectionsPerWorker = 2
	idleTimeout              = 90 * time.Second
	maxResponseHeaderBytes   = 4 << 10
)

// NewTransport returns an HTTP transport for calls to many workers, with few idle connections per worker, small buffers
// and no compression.
func NewTransport() *http.Transport {
	return &http.Transport{
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnectionsPerWorker,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         1 << 10,
		WriteBufferSize:        1 << 10,
	}
}
