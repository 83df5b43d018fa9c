package object

import (
	"context"
	"errors"
	"net"
	"net/http"

	smithyhttp "github.com/aws/smithy-go/transport/http"

	"github.com/sardineline/sardineline/sard/fault"
)

// operation names a call of the API in metrics and errors.
type operation string

const (
	opPut    operation = "PutObject"
	opGet    operation = "GetObject"
	opList   operation = "ListObjectsV2"
	opDelete operation = "DeleteObject"
)

// changes tells whether a call of the operation can change an object.
func (o operation) changes() bool { return o == opPut || o == opDelete }

// call makes a call within its time limit, gives its error a kind and counts it.
func (c *Client) call(ctx context.Context, op operation, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	err := do(ctx)
	if err == nil {
		c.calls.WithLabelValues(string(op), "OK").Inc()
		return nil
	}
	kind := kindOf(err, op)
	c.calls.WithLabelValues(string(op), kind.String()).Inc()
	return fault.Wrap(err, kind, string(op), peerName)
}

func kindOf(err error, op operation) fault.Kind {
	kind := fault.Unavailable
	if op.changes() {
		kind = fault.OutcomeUnknown
	}
	var response *smithyhttp.ResponseError
	if errors.As(err, &response) {
		return statusKind(response.HTTPStatusCode(), kind)
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return fault.Unavailable
	}
	return kind
}

func statusKind(status int, otherwise fault.Kind) fault.Kind {
	switch {
	case status == http.StatusNotFound:
		return fault.NotFound
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return fault.Throttled
	case status == http.StatusForbidden, status == http.StatusUnauthorized:
		return fault.Denied
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return fault.Invalid
	}
	return otherwise
}
