package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/store"
)

//go:generate go tool stringer -type=CallEnd -output=enums_string.go

// CallEnd says how a call to the store ended.
type CallEnd int

// Ends of calls to the store.
const (
	// Answered is the end of a call that the store served; a failed precondition is an answer too.
	Answered CallEnd = iota
	// Silent is the end of a call whose answer did not come in time.
	Silent
	// Broken is the end of a call whose connection failed.
	Broken
	// Refused is the end of a call that the store refused, or for which it accepted no connection.
	Refused
	// Throttled is the end of a call that the store rejected because of load.
	Throttled
	// Abandoned is the end of a call that was cancelled, because its result was not needed any more.
	Abandoned
)

// callEnds is the number of values of CallEnd.
const callEnds = int(Abandoned) + 1

// callEnd returns the end of a call that returned err.
func callEnd(err error) CallEnd {
	switch {
	case err == nil:
		return Answered
	case errors.Is(err, context.Canceled):
		return Abandoned
	case fault.Is(err, fault.Throttled):
		return Throttled
	case fault.Is(err, fault.Unavailable):
		return Refused
	case errors.Is(err, context.DeadlineExceeded):
		return Silent
	case fault.Is(err, fault.OutcomeUnknown):
		return Broken
	default:
		return Answered
	}
}

// Trace tells what the store did for one call of a client.
type Trace struct {
	// Ends holds the number of calls to the store by CallEnd.
	Ends [callEnds]int
	// Longest is the duration of the longest one.
	Longest time.Duration
}

// Calls returns the number of calls to the store that have ended.
func (t Trace) Calls() int {
	calls := 0
	for _, count := range t.Ends {
		calls += count
	}
	return calls
}

// recorder builds a Trace.
type recorder struct {
	mu    sync.Mutex
	trace Trace
}

// note takes note of a call that has ended.
func (r *recorder) note(end CallEnd, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trace.Ends[end]++
	r.trace.Longest = max(r.trace.Longest, took)
}

// recorderKey is the key of a recorder in a context.
type recorderKey struct{}

// WithTrace returns a context whose calls to the store TraceOf tells of.
func WithTrace(ctx context.Context) context.Context {
	return context.WithValue(ctx, recorderKey{}, &recorder{})
}

// TraceOf returns the trace of a context that was made by WithTrace, and else an empty one.
func TraceOf(ctx context.Context) Trace {
	r, ok := ctx.Value(recorderKey{}).(*recorder)
	if !ok {
		return Trace{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.trace
}

// tracedStore is a Store that passes calls on to another one and notes them in the trace of their context.
type tracedStore struct{ store.Store }

// Apply runs a transaction.
func (s tracedStore) Apply(ctx context.Context, tx store.Tx) (store.Result, error) {
	started := time.Now()
	result, err := s.Store.Apply(ctx, tx)
	noteCall(ctx, started, err)
	return result, err
}

// List returns the rows of a range.
func (s tracedStore) List(ctx context.Context, r store.Range) (store.Listing, error) {
	started := time.Now()
	listing, err := s.Store.List(ctx, r)
	noteCall(ctx, started, err)
	return listing, err
}

// noteCall notes a call in the trace of its context, if there is one.
func noteCall(ctx context.Context, started time.Time, err error) {
	if r, ok := ctx.Value(recorderKey{}).(*recorder); ok {
		r.note(callEnd(err), time.Since(started))
	}
}
