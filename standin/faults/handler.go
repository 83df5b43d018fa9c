package faults

import (
	"context"
	"net/http"
	"time"
)

// Delay blocks while a Freeze fault is active for the component, and then for the delay of a Slow fault. Cancelling the
// request does not end the delay by Slow, since a real service may also process a call whose caller has disconnected.
func (s *Set) Delay(ctx context.Context, component Component) {
	s.WaitWhileFrozen(ctx, component)
	if f, ok := s.Trigger(component, Slow); ok {
		time.Sleep(f.Delay.Std())
	}
}

// WaitWhileFrozen blocks while a Freeze fault is active for the component. It aborts the request when ctx is cancelled.
func (s *Set) WaitWhileFrozen(ctx context.Context, component Component) {
	for s.Has(component, Freeze) {
		changed := s.Changed()
		if !s.Has(component, Freeze) {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			Abort()
		}
	}
}

// Abort closes the connection of the current request without a response. It must be called from its HTTP handler.
func Abort() {
	panic(http.ErrAbortHandler)
}
