// Package fault defines an error type that records the operation that failed, the peer (the remote end of the call),
// and a kind that tells callers how to react.
package fault

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

//go:generate go tool stringer -type=Kind -output=kind_string.go

// Kind classifies errors by how a caller can react to them.
type Kind int

// The kinds of errors, which tell what went wrong and whether the call may have changed anything.
const (
	// Internal is a programming error, or an error that fits no other kind.
	Internal Kind = iota
	// Invalid is rejected input; retrying the same input fails again.
	Invalid
	// Denied is a call that the caller is not authorised to make.
	Denied
	// NotFound is a reference to an object that does not exist.
	NotFound
	// Conflict is a failed precondition; nothing was changed.
	Conflict
	// Fenced is a call made under a lease that was released, or that another holder has taken over under a higher epoch;
	// nothing was changed.
	Fenced
	// Throttled is a call rejected because of load; nothing was changed.
	Throttled
	// Unavailable is a peer that was unreachable or refused the call; nothing was changed.
	Unavailable
	// OutcomeUnknown is a call that may or may not have taken effect, such as one whose response was lost.
	OutcomeUnknown
)

// Error is an error annotated with the failed step, the peer and a kind.
type Error struct {
	// Step names the operation that failed, such as "reserve part".
	Step string
	// Peer names the remote end, such as "worker r1-w3" or "table"; empty for local operations.
	Peer string
	// Kind tells how a caller can react.
	Kind Kind
	// RetryAfter is the delay to wait before a retry; 0 when unknown.
	RetryAfter time.Duration

	cause error
}

// New returns an Error whose cause is formatted from format and args.
func New(kind Kind, step, peer, format string, args ...any) *Error {
	return &Error{Step: step, Peer: peer, Kind: kind, cause: eris.Errorf(format, args...)}
}

// Wrap returns an Error with err as its cause.
func Wrap(err error, kind Kind, step, peer string) *Error {
	return &Error{Step: step, Peer: peer, Kind: kind, cause: err}
}

// WithRetryAfter returns a copy of e with RetryAfter set to delay.
func (e *Error) WithRetryAfter(delay time.Duration) *Error {
	withDelay := *e
	withDelay.RetryAfter = delay
	return &withDelay
}

// Error formats the step, the peer, the cause and the kind.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v (%s)", e.Step, e.cause, e.Kind)
	}
	return fmt.Sprintf("%s at %s: %v (%s)", e.Step, e.Peer, e.cause, e.Kind)
}

// Unwrap returns the cause, so that errors.Is and errors.As see through e.
func (e *Error) Unwrap() error {
	return e.cause
}

// KindOf returns the kind of the outermost Error in the chain of err, or Internal if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether err is of the given kind. It returns false for a nil err.
func Is(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}

// RetryAfterOf returns the RetryAfter of the outermost Error in the chain of err, or 0 if there is none.
func RetryAfterOf(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}
