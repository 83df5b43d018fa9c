package table

import (
	"errors"
	"net"
	"net/http"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	smithyhttp "github.com/aws/smithy-go/transport/http"

	"github.com/sardineline/sardineline/sard/fault"
)

// wrapError wraps an error of the SDK with its fault kind. A request that may have been sent and was not rejected gets
// OutcomeUnknown.
func wrapError(err error, op operation) error {
	var classified *fault.Error
	if err == nil || errors.As(err, &classified) {
		return err
	}
	return fault.Wrap(err, errorKind(err), string(op), serviceName)
}

// errorKind returns the fault kind of an error of the SDK.
func errorKind(err error) fault.Kind {
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return cancellationKind(cancelled.CancellationReasons)
	}
	var response *smithyhttp.ResponseError
	if errors.As(err, &response) && response.HTTPStatusCode() >= http.StatusInternalServerError {
		return fault.OutcomeUnknown
	}
	var api smithy.APIError
	if errors.As(err, &api) {
		return codeKind(api.ErrorCode())
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return fault.Unavailable
	}
	return fault.OutcomeUnknown
}

// codeKind returns the fault kind of an error code of the service.
func codeKind(code string) fault.Kind {
	switch code {
	case "ConditionalCheckFailedException":
		return fault.Conflict
	case "ProvisionedThroughputExceededException", "ThrottlingException", "RequestLimitExceeded",
		"TransactionConflictException":
		return fault.Throttled
	case "TransactionInProgressException":
		return fault.OutcomeUnknown
	case "AccessDeniedException", "UnrecognizedClientException", "InvalidSignatureException",
		"MissingAuthenticationTokenException":
		return fault.Denied
	case "ValidationException", "ResourceNotFoundException", "IdempotentParameterMismatchException",
		"SerializationException", "UnknownOperationException":
		return fault.Invalid
	}
	return fault.Internal
}

// cancellationKind returns the fault kind of a cancelled transaction. A cancelled transaction has no effect.
func cancellationKind(reasons []types.CancellationReason) fault.Kind {
	kind := fault.Internal
	for _, reason := range reasons {
		if reason.Code == nil {
			continue
		}
		switch *reason.Code {
		case "ConditionalCheckFailed":
			return fault.Conflict
		case "TransactionConflict", "ProvisionedThroughputExceeded", "ThrottlingError":
			kind = fault.Throttled
		}
	}
	return kind
}
