package route

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// Times of the dispatcher.
const (
	// shedEvery is the least time between two checks of all waiting requests.
	shedEvery = 20 * time.Millisecond
	// admitMargin is the part of its time that a request must have to spare when it begins to wait.
	admitMargin = 8
	// minRetryAfter is the least time after which a caller is told to come back.
	minRetryAfter = time.Second
)

// wait waits for a slot. The second result tells why there is none.
func (r *Router) wait(ctx context.Context, t *ticket, first bool) (*slot, *NotRun) {
	if refused := r.join(t, first); refused != nil {
		return nil, refused
	}
	select {
	case g := <-t.granted:
		return g.slot, g.notRun
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queue.remove(t) {
		return nil, r.givenUp(t, "the deadline passed while the request waited", http.StatusGatewayTimeout)
	}
	g := <-t.granted
	if g.slot != nil {
		r.putBack(g.slot)
	}
	return nil, r.givenUp(t, "the caller left", http.StatusGatewayTimeout)
}

func (r *Router) join(t *ticket, first bool) *NotRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if refused := r.admits(t, first, now); refused != nil {
		return refused
	}
	r.queue.push(t, first)
	r.dispatch(now)
	r.metrics.waiting.Set(float64(r.queue.count))
	return nil
}

// admits tells whether a ticket may wait: its account has room, and it is likely to be done by its deadline.
func (r *Router) admits(t *ticket, first bool, now time.Time) *NotRun {
	l := r.queue.line(t.account)
	if l.limit == 0 {
		l.limit = r.limits.MaxWaitingRequests
	}
	if len(r.order) == 0 {
		return r.givenUp(t, "no backend server is known", http.StatusServiceUnavailable)
	}
	if !first && l.waiting.Len() >= l.limit {
		return r.givenUp(t, "too many requests of the account are waiting", http.StatusTooManyRequests)
	}
	position := l.waiting.Len()
	if first {
		position = 0
	}
	if late := r.lateness(t, position, now); late > -t.deadline.Sub(now)/admitMargin {
		return r.givenUp(t, "the request would not be done in time", http.StatusServiceUnavailable)
	}
	return nil
}

// lateness estimates by how much a ticket at a position of its line will miss its deadline.
func (r *Router) lateness(t *ticket, position int, now time.Time) time.Duration {
	done := now.Add(r.expectedWait(t.account, position) + t.need)
	return done.Sub(t.deadline)
}

// expectedWait estimates when a position of an account's line is served: by Little's law the slots held serve
// one request each in the mean service time.
func (r *Router) expectedWait(account ident.Account, position int) time.Duration {
	if r.queue.count == 0 || r.held == 0 || r.overall.mean == 0 {
		return 0
	}
	ahead := r.queue.ahead(account, position)
	return time.Duration(ahead * float64(r.overall.mean) / float64(r.held))
}

// givenUp makes the final answer to a request that gets no slot, with the time after which to come back.
func (r *Router) givenUp(t *ticket, reason string, status int) *NotRun {
	kind := fault.Unavailable
	if status == http.StatusTooManyRequests {
		kind = fault.Throttled
	}
	backlog := r.expectedWait(t.account, r.queue.line(t.account).waiting.Len())
	after := max(backlog, minRetryAfter)
	after += rand.N(after/4 + 1)
	return &NotRun{Status: status, Fault: fault.New(kind, "wait for a slot", "", "%s", reason).WithRetryAfter(after)}
}

// dispatch hands slots to waiting tickets for as long as there are both.
func (r *Router) dispatch(now time.Time) {
	r.shed(now)
	var skip map[*line]bool
	for {
		l := r.queue.next(skip)
		if l == nil {
			break
		}
		t := l.head()
		b := r.pick(now, t)
		if b == nil || !r.mayTake(b, now) {
			if skip == nil {
				skip = map[*line]bool{}
			}
			skip[l] = true
			continue
		}
		r.queue.serve(l)
		r.held++
		t.granted <- grant{slot: b.take(now)}
	}
	if r.queue.count > 0 {
		r.wakeForServers(now)
	}
	r.metrics.waiting.Set(float64(r.queue.count))
}

// shed gives up the waiting tickets that will not be done in time.
func (r *Router) shed(now time.Time) {
	if now.Sub(r.shedAt) < shedEvery {
		return
	}
	r.shedAt = now
	for _, l := range r.queue.lines {
		r.shedLine(l, now)
	}
}

func (r *Router) shedLine(l *line, now time.Time) {
	position := 0
	for e := l.waiting.Front(); e != nil; {
		t := e.Value.(*ticket)
		e = e.Next()
		if r.lateness(t, position, now) <= 0 {
			position++
			continue
		}
		r.queue.remove(t)
		t.granted <- grant{notRun: r.givenUp(t, "the request will not be done in time", http.StatusServiceUnavailable)}
	}
}

// putBack returns a slot that was not used.
func (r *Router) putBack(s *slot) {
	now := time.Now()
	s.backend.breaker.abandon()
	s.backend.free++
	s.backend.give(s)
	r.held--
	r.dispatch(now)
}

// wakeForServers calls dispatch again when the first server that is passed over for a time can be used.
func (r *Router) wakeForServers(now time.Time) {
	at := now.Add(shedEvery)
	for _, b := range r.order {
		if now.Before(b.fullTil) && b.fullTil.Before(at) {
			at = b.fullTil
		}
	}
	restart(&r.wake, at.Sub(now), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.dispatch(time.Now())
	})
}
