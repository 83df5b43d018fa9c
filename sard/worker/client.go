package worker

import (
	"context"
	"net/http"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// Client calls one worker. Every call is idempotent, so that it can be repeated under the same epoch. Its errors
// are *fault.Error of these kinds:
//
//   - Fenced: the worker has seen a higher epoch.
//   - Conflict: the accelerators are occupied.
//   - NotFound: the worker does not hold the part.
//   - Invalid and Internal: the worker refused the call or is broken.
//   - Unavailable: the call surely did not reach the worker.
//   - OutcomeUnknown: the call may have taken effect.
type Client interface {
	// Fence raises the worker's epoch and returns what it runs.
	Fence(ctx context.Context, req FenceRequest) (Report, error)
	// Reserve sets accelerators aside under a short lease.
	Reserve(ctx context.Context, req ReserveRequest) (Report, error)
	// Start starts a reserved part.
	Start(ctx context.Context, req StartRequest) (Report, error)
	// Renew renews leases and waits for news of the worker.
	Renew(ctx context.Context, req RenewRequest) (Report, error)
	// Checkpoint asks a part to write a checkpoint and waits for it.
	Checkpoint(ctx context.Context, req CheckpointRequest) (CheckpointReply, error)
	// Throttle limits a part's speed.
	Throttle(ctx context.Context, req ThrottleRequest) (Report, error)
	// Stop ends a part.
	Stop(ctx context.Context, req StopRequest) (Report, error)
}

// CallTimeout bounds a call that does not wait at the worker.
const CallTimeout = 2 * time.Second

// Config tells how to reach a worker.
type Config struct {
	// Worker is the worker's name, for errors.
	Worker ident.Worker
	// Address is the worker's host and port.
	Address string
	// HTTP makes the calls; nil means a client of its own made by NewTransport.
	HTTP *http.Client
	// Timeout bounds a call beyond the time for which the worker may hold it; 0 means CallTimeout.
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

// Idle connections of a transport.
const (
	idleConnectionsPerWorker = 2
	idleTimeout              = 90 * time.Second
	maxResponseHeader        = 4 << 10
)

// NewTransport returns a transport for calls of workers: few idle connections, small buffers, no compression.
func NewTransport() *http.Transport {
	return &http.Transport{
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnectionsPerWorker,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
		ReadBufferSize:         1 << 10,
		WriteBufferSize:        1 << 10,
	}
}
