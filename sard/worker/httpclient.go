package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// checkpointTimeout limits how long a worker may take to write a checkpoint. Callers limit it further by their context.
const checkpointTimeout = 5 * time.Minute

// stopTimeout limits how long a worker may take to stop a part.
const stopTimeout = 10 * time.Second

// maxReplyBytes limits the part of a worker's response body that is read.
const maxReplyBytes = 1 << 20

// httpClient implements Client over HTTP.
type httpClient struct{ config Config }

// Fence implements Client.
func (c *httpClient) Fence(ctx context.Context, req FenceRequest) (Report, error) {
	return post[Report](ctx, c, "fence", req, 0)
}

// Reserve implements Client.
func (c *httpClient) Reserve(ctx context.Context, req ReserveRequest) (Report, error) {
	return post[Report](ctx, c, "reserve", req, 0)
}

// Start implements Client.
func (c *httpClient) Start(ctx context.Context, req StartRequest) (Report, error) {
	return post[Report](ctx, c, "start", req, 0)
}

// Renew implements Client.
func (c *httpClient) Renew(ctx context.Context, req RenewRequest) (Report, error) {
	return post[Report](ctx, c, "renew", req, req.Wait.Std())
}

// Checkpoint implements Client.
func (c *httpClient) Checkpoint(ctx context.Context, req CheckpointRequest) (CheckpointReply, error) {
	return post[CheckpointReply](ctx, c, "checkpoint", req, checkpointTimeout)
}

// Throttle implements Client.
func (c *httpClient) Throttle(ctx context.Context, req ThrottleRequest) (Report, error) {
	return post[Report](ctx, c, "throttle", req, 0)
}

// Stop implements Client.
func (c *httpClient) Stop(ctx context.Context, req StopRequest) (Report, error) {
	return post[Report](ctx, c, "stop", req, stopTimeout)
}

// post sends req as an HTTP POST to the path of the call step and decodes the reply. The worker may hold the response
// for maxWait.
func post[Reply any](ctx context.Context, c *httpClient, step string, req any, maxWait time.Duration) (Reply, error) {
	var reply Reply
	ctx, cancel := context.WithTimeout(ctx, maxWait+c.config.Timeout)
	defer cancel()
	body, err := json.Marshal(req)
	if err != nil {
		return reply, fault.Wrap(err, fault.Internal, step, c.peer())
	}
	url := "http://" + c.config.Address + "/v1/" + step
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return reply, fault.Wrap(err, fault.Invalid, step, c.peer())
	}
	// An empty value omits the default User-Agent header.
	request.Header.Set("User-Agent", "")
	response, err := c.config.HTTP.Do(request)
	if err != nil {
		return reply, fault.Wrap(err, sendErrorKind(err), step, c.peer())
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return reply, fault.Wrap(err, fault.OutcomeUnknown, step, c.peer())
	}
	if response.StatusCode != http.StatusOK {
		return reply, c.refusalError(step, response.StatusCode, responseBody)
	}
	if err := json.Unmarshal(responseBody, &reply); err != nil {
		return reply, fault.Wrap(err, fault.OutcomeUnknown, step, c.peer())
	}
	return reply, nil
}

// sendErrorKind returns Unavailable if no connection was established, so that the request was surely not sent, and
// OutcomeUnknown for all other errors.
func sendErrorKind(err error) fault.Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.Unavailable
	}
	return fault.OutcomeUnknown
}

// peer returns the name of the worker for error messages.
func (c *httpClient) peer() string {
	return PeerName(c.config.Worker)
}

// refusalError returns the error for a response with a status other than 200. A response without a valid ErrorReply may
// come from another program, so the outcome is unknown.
func (c *httpClient) refusalError(step string, status int, body []byte) error {
	var reply ErrorReply
	if err := json.Unmarshal(body, &reply); err != nil || reply.Code == "" {
		return fault.New(fault.OutcomeUnknown, step, c.peer(), "status %d", status)
	}
	return ErrorFromReply(step, c.config.Worker, reply)
}

// PeerName returns the name of a worker for error messages.
func PeerName(worker ident.Worker) string {
	return "worker " + string(worker)
}

// ErrorFromReply returns the error for a worker's ErrorReply.
func ErrorFromReply(step string, worker ident.Worker, reply ErrorReply) error {
	kind := fault.Internal
	switch reply.Code {
	case StaleEpoch:
		kind = fault.Fenced
	case Occupied:
		kind = fault.Conflict
	case UnknownPart:
		kind = fault.NotFound
	case BadRequest:
		kind = fault.Invalid
	case Broken:
		kind = fault.Internal
	}
	return fault.New(kind, step, PeerName(worker), "%s: %s (epoch %d)", reply.Code, reply.Message, reply.Epoch)
}
