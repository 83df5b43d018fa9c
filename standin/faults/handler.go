package faults

import (
	"context"
	"net/http"
	"time"
)

// Delay waits while the part is frozen and as long as Slow says. A closed request does not end the wait by Slow,
// as a service may act on a call whose caller has gone.
func (s *Set) Delay(ctx context.Context, at Component) {
	s.WaitWhileFrozen(ctx, at)
	if f, ok := s.Trigger(at, Slow); ok {
		time.Sleep(f.Delay.Std())
	}
}

// WaitWhileFrozen waits while the part is frozen. A closed request ends the wait.
func (s *Set) WaitWhileFrozen(ctx context.Context, at Component) {
	for s.Has(at, Freeze) {
		changed := s.Changed()
		if !s.Has(at, Freeze) {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			Abort()
		}
	}
}

// Abort closes the connection of the request that is being served, without an answer.
func Abort() {
	panic(http.ErrAbortHandler)
}
