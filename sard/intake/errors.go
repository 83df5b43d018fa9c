package intake

import (
	"errors"
	"time"
)

var (
	// ErrTooLarge means that a body exceeds its limit.
	ErrTooLarge = errors.New("request body too large")
	// ErrBodyLate means that a body had not arrived whole in time.
	ErrBodyLate = errors.New("the body did not arrive in time")
	// ErrGivenUp means that a body was given up because all of them together took too much memory.
	ErrGivenUp = errors.New("too many bodies at once")
	// ErrNoTurn means that the time of a request was over before there was memory to serve it.
	ErrNoTurn = errors.New("too many requests are being served")
)

// RetryAfter is what a client is told to wait whose request was refused by a limit.
const RetryAfter = time.Second

// IsRefusal reports whether an error means that a request was not served because of a limit that other clients don't meet, so
// that it may be sent again.
func IsRefusal(err error) bool {
	return errors.Is(err, ErrBodyLate) || errors.Is(err, ErrGivenUp) || errors.Is(err, ErrNoTurn)
}
