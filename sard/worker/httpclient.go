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

// checkpointTimeout bounds how long a worker may take over a checkpoint; callers bound it further by their context.
const checkpointTimeout = 5 * time.Minute

// stopTimeout bounds how long a worker may take to end a part.
const stopTimeout = 10 * time.Second

// maxReply bounds a worker's answer in bytes.
const maxReply = 1 << 20

type httpClient struct{ config Config }

func (c *httpClient) Fence(ctx context.Context, req FenceRequest) (Report, error) {
	return call[Report](ctx, c, "fence", req, 0)
}

func (c *httpClient) Reserve(ctx context.Context, req ReserveRequest) (Report, error) {
	return call[Report](ctx, c, "reserve", req, 0)
}

func (c *httpClient) Start(ctx context.Context, req StartRequest) (Report, error) {
	return call[Report](ctx, c, "start", req, 0)
}

func (c *httpClient) Renew(ctx context.Context, req RenewRequest) (Report, error) {
	return call[Report](ctx, c, "renew", req, req.Wait.Std())
}

func (c *httpClient) Checkpoint(ctx context.Context, req CheckpointRequest) (CheckpointReply, error) {
	return call[CheckpointReply](ctx, c, "checkpoint", req, checkpointTimeout)
}

func (c *httpClient) Throttle(ctx context.Context, req ThrottleRequest) (Report, error) {
	return call[Report](ctx, c, "throttle", req, 0)
}

func (c *httpClient) Stop(ctx context.Context, req StopRequest) (Report, error) {
	return call[Report](ctx, c, "stop", req, stopTimeout)
}

// call posts req and decodes the answer. The worker may hold the answer for as long as hold.
func call[Reply any](ctx context.Context, c *httpClient, step string, req any, hold time.Duration) (Reply, error) {
	var reply Reply
	ctx, cancel := context.WithTimeout(ctx, hold+c.config.Timeout)
	defer cancel()
	body, err := json.Marshal(req)
	if err != nil {
		return reply, fault.Wrap(err, fault.Internal, step, c.peer())
	}
	url := "http://" + c.config.Address + "/v1/" + step
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return reply, fault.Wrap(err, fault.Invalid, step, c.peer())
	}
	// The empty value keeps the library's default out of the message.
	post.Header.Set("User-Agent", "")
	answer, err := c.config.HTTP.Do(post)
	if err != nil {
		return reply, fault.Wrap(err, sendKind(err), step, c.peer())
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxReply))
	if err != nil {
		return reply, fault.Wrap(err, fault.OutcomeUnknown, step, c.peer())
	}
	if answer.StatusCode != http.StatusOK {
		return reply, c.refusal(step, answer.StatusCode, text)
	}
	if err := json.Unmarshal(text, &reply); err != nil {
		return reply, fault.Wrap(err, fault.OutcomeUnknown, step, c.peer())
	}
	return reply, nil
}

// sendKind tells an unreached worker from an answer that was lost.
func sendKind(err error) fault.Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.Unavailable
	}
	return fault.OutcomeUnknown
}

func (c *httpClient) peer() string {
	return PeerName(c.config.Worker)
}

func (c *httpClient) refusal(step string, status int, text []byte) error {
	var reply ErrorReply
	if err := json.Unmarshal(text, &reply); err != nil || reply.Code == "" {
		return fault.New(fault.OutcomeUnknown, step, c.peer(), "status %d", status)
	}
	return ErrorFromReply(step, c.config.Worker, reply)
}

// PeerName names a worker in errors.
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
