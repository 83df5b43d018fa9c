package caller

import (
	"encoding/json"
	"errors"
	"io"
)

var errTrailing = errors.New("there is more than one JSON value in the body")

// decodeStrict reads one JSON value and refuses unknown keys.
func decodeStrict(body io.Reader, into any) error {
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errTrailing
	}
	return nil
}
