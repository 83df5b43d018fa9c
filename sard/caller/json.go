package caller

import (
	"encoding/json"
	"errors"
	"io"
)

// errMultipleValues is returned for a body that holds anything after its first JSON value.
var errMultipleValues = errors.New("the body holds more than one JSON value")

// decodeStrict decodes a body that must hold a single JSON value without unknown keys.
func decodeStrict(body io.Reader, into any) error {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errMultipleValues
	}
	return nil
}
