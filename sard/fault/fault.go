// Package fault gives errors that carry the step and the peer at which they arose, and a kind that callers act on.
package fault

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

//go:generate go tool stringer -type=Kind -output=kind_string.go

// Kind is what a caller can do about an error.
type Kind int

// The kinds of errors.
const (
	// Internal is a defect or an error without a better kind.
	Internal Kind = iota
	// Invalid is input that fails the same way each time.
	Invalid
	// Denied is a caller without the right to the call.
	Denied
	// NotFound is a thing that does not exist.
	NotFound
	// Conflict is a condition that did not hold; nothing was changed.
	Conflict
	// Fenced is a call under an epoch or lease that has been superseded; nothing was changed.
	Fenced
	// Throttled is a refusal for load; nothing was changed.
	Throttled
	// Unavailable is a peer that was not reached or refused; nothing was changed.
	Unavailable
	// OutcomeUnknown is a call that may or may not have taken effect.
	OutcomeUnknown
)

// Error is an error with its step, peer and kind.
type Error struct {
	// Step is what was being done, such as "reserve part".
	Step string
	// Peer is the other end, such as "worker r1-w3" or "table"; empty for local steps.
	Peer string
	// Kind is what can be done about the error.
	Kind Kind
	// RetryAfter is when to try again; 0 when not known.
	RetryAfter time.Duration

	cause error
}

// New makes an error of a kind with a message.
func New(kind Kind, step, peer, message string, args ...any) *Error {
	return &Error{Step: step, Peer: peer, Kind: kind, cause: eris.Errorf(message, args...)}
}

// Wrap gives err a kind, a step and a peer.
func Wrap(err error, kind Kind, step, peer string) *Error {
	return &Error{Step: step, Peer: peer, Kind: kind, cause: err}
}

// WithRetryAfter returns a copy of e that tells when to try again.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	c := *e
	c.RetryAfter = wait
	return &c
}

// Error formats the step, the peer and the cause.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v (%s)", e.Step, e.cause, e.Kind)
	}
	return fmt.Sprintf("%s at %s: %v (%s)", e.Step, e.Peer, e.cause, e.Kind)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// KindOf returns the kind of the outermost Error in err, or Internal.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is tells whether err is of a kind. A nil err is of none.
func Is(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}

// RetryAfterOf returns when to try again after err, or 0.
func RetryAfterOf(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}
