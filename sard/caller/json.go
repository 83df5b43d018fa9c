package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/labstack/echo/v4"

	"github.com/sardineline/sardineline/sard/creds"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/intake"
)

// maxJobBody is the maximum size of the request body of a jobs call, in bytes.
const maxJobBody = 1_000_000

// jobShape is larger than that of any body of a jobs call: the largest one lists jobs that are to be cancelled, with IDs of more
// than 20 bytes.
var jobShape = intake.Shape{Objects: 16, Values: maxJobBody / 20, Depth: 8}

// errMultipleValues is returned for a body that holds anything after its first JSON value.
var errMultipleValues = errors.New("the body holds more than one JSON value")

// readJobBody reads the body of a jobs call.
func readJobBody(c echo.Context) ([]byte, error) {
	body, err := intake.ReadAll(c.Request(), creds.AccountOf(c), maxJobBody)
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return nil, echo.ErrStatusRequestEntityTooLarge
	case intake.IsRefusal(err):
		return nil, refusal(err)
	case err != nil:
		return nil, fault.Wrap(err, fault.Invalid, "read body", "caller")
	}
	return body, nil
}

// decodeJobBody decodes the JSON body of a jobs call. The error is an Invalid fault of the given step.
func decodeJobBody(body []byte, step string, into any) error {
	err := jobShape.Check(body)
	if err == nil {
		err = decodeStrict(body, into)
	}
	if err != nil {
		return fault.Wrap(err, fault.Invalid, step, "caller")
	}
	return nil
}

// refusal returns the error for a call that is refused because of what callers make the instance hold.
func refusal(err error) error {
	return fault.Wrap(err, fault.Unavailable, "take call", "caller").WithRetryAfter(intake.RetryAfter)
}

// decodeStrict decodes a text that must hold a single JSON value without unknown keys.
func decodeStrict(text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errMultipleValues
	}
	return nil
}
