package intake

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/sardineline/sardineline/sard/ident"
)

// serving bounds the memory of requests that are being served. Requests beyond it wait, each lane of each account in the order
// in which they came.
type serving struct {
	limit int64
	all   *semaphore.Weighted
	// used is the memory of the requests that are being served.
	used atomic.Int64

	mu       sync.Mutex
	accounts map[ident.Account]*accountBounds
}

// accountBounds bounds an account, so that none takes all of the memory, and each of its lanes.
type accountBounds struct {
	all   *semaphore.Weighted
	lanes [laneCount]laneBound
}

const (
	// accountDivisor is the part of the memory that a single account may use, and laneDivisor the part of that for one lane.
	accountDivisor = 2
	laneDivisor    = 2
)

// newServing returns a bound of limit bytes.
func newServing(limit int64) *serving {
	return &serving{limit: limit, all: semaphore.NewWeighted(limit), accounts: map[ident.Account]*accountBounds{}}
}

// account returns the bounds of an account.
func (s *serving) account(name ident.Account) *accountBounds {
	s.mu.Lock()
	defer s.mu.Unlock()
	bounds, ok := s.accounts[name]
	if !ok {
		bounds = &accountBounds{all: semaphore.NewWeighted(s.limit / accountDivisor)}
		for lane := range bounds.lanes {
			bounds.lanes[lane].Weighted = semaphore.NewWeighted(s.laneLimit())
		}
		s.accounts[name] = bounds
	}
	return bounds
}

// laneLimit returns the memory that one lane of one account may use.
func (s *serving) laneLimit() int64 {
	return s.limit / accountDivisor / laneDivisor
}

// Turn is the permission to serve a request. Its zero value is that of a process without a Guard.
type Turn struct {
	serving *serving
	lane    *laneBound
	// bounds are the bounds that the turn counts for, the narrowest first.
	bounds [3]*semaphore.Weighted
	bytes  int64
	since  time.Time
}

// Need is what a request needs to be served.
type Need struct {
	Account ident.Account
	Lane    Lane
	// Bytes is an estimate of the memory.
	Bytes int64
}

// Serve waits until a request may be served, at most until ctx ends. It fails with ErrNoTurn then, or at once if the wait is
// expected to take longer. The caller must end the turn.
func (g *Guard) Serve(ctx context.Context, r *http.Request, need Need) (Turn, error) {
	if g == nil {
		return Turn{}, nil
	}
	s := g.serving
	account := s.account(need.Account)
	lane := &account.lanes[need.Lane]
	turn := Turn{
		serving: s, lane: lane, bytes: min(need.Bytes, s.laneLimit()), bounds: [...]*semaphore.Weighted{lane.Weighted, account.all, s.all},
	}
	if turn.tryTake() {
		return turn, nil
	}
	if deadline, ok := ctx.Deadline(); ok && lane.expectedWait() > time.Until(deadline) || !turn.await(ctx, r) {
		g.note(TooMuchServing)
		return Turn{}, ErrNoTurn
	}
	return turn, nil
}

// await waits until the turn can be taken. It returns false if ctx ends before, or the body of the request is given up.
func (t *Turn) await(ctx context.Context, r *http.Request) bool {
	t.lane.waiting.Add(1)
	defer t.lane.waiting.Add(-1)
	body, _ := r.Body.(*Body)
	ctx, endOffer := body.Offer(ctx)
	defer endOffer()
	for n, bound := range t.bounds {
		if bound.Acquire(ctx, t.bytes) != nil {
			t.giveBack(n)
			return false
		}
	}
	t.begin()
	return true
}

// tryTake takes the turn if that is possible without waiting.
func (t *Turn) tryTake() bool {
	for n, bound := range t.bounds {
		if !bound.TryAcquire(t.bytes) {
			t.giveBack(n)
			return false
		}
	}
	t.begin()
	return true
}

// begin records that the request is being served from now on.
func (t *Turn) begin() {
	t.since = time.Now()
	t.lane.inService.Add(1)
	t.serving.used.Add(t.bytes)
}

// giveBack gives back what was taken of the first n bounds.
func (t *Turn) giveBack(n int) {
	for _, bound := range t.bounds[:n] {
		bound.Release(t.bytes)
	}
}

// Shrink gives back what a request no longer needs: it keeps the given memory.
func (t *Turn) Shrink(bytes int64) {
	if t.serving == nil || bytes >= t.bytes {
		return
	}
	for _, bound := range t.bounds {
		bound.Release(t.bytes - bytes)
	}
	t.serving.used.Add(bytes - t.bytes)
	t.bytes = bytes
}

// End ends the turn. It may be called more than once.
func (t *Turn) End() {
	if t.lane == nil {
		return
	}
	t.Shrink(0)
	t.lane.inService.Add(-1)
	t.lane.observe(time.Since(t.since))
	t.lane = nil
}
