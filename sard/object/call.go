package object

import (
	"context"
	"errors"
	"net"
	"net/http"

	smithyhttp "github.com/aws/smithy-go/transport/http"

	"github.com/sardineline/sardineline/sard/fault"
)

// operation is the name of an S3 API operation, as used in metrics and errors.
type operation string

// The S3 operations that Client uses.
const (
	opPut    operation = "PutObject"
	opGet    operation = "GetObject"
	opList   operation = "ListObjectsV2"
	opDelete operation = "DeleteObject"
)

// mutates reports whether the operation can change an object.
func (o operation) mutates() bool { return o == opPut || o == opDelete }

// call runs request with the call timeout, wraps its error with a fault kind and counts the result.
func (c *Client) call(ctx context.Context, op operation, request func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	err := request(ctx)
	if err == nil {
		c.calls.WithLabelValues(string(op), "OK").Inc()
		return nil
	}
	kind := errorKind(err, op)
	c.calls.WithLabelValues(string(op), kind.String()).Inc()
	return fault.Wrap(err, kind, string(op), serviceName)
}

// errorKind returns the fault kind of an error of the SDK. If the error does not determine the outcome, the kind is
// OutcomeUnknown for an operation that can change an object and Unavailable for one that reads.
func errorKind(err error, op operation) fault.Kind {
	kind := fault.Unavailable
	if op.mutates() {
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

// statusKind returns the fault kind for an HTTP status, or the fallback if the status does not determine it.
func statusKind(status int, fallback fault.Kind) fault.Kind {
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
	return fallback
}
