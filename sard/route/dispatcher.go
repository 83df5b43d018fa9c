package route

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// Settings of the dispatcher.
const (
	// shedInterval is the minimum time between two checks of all waiting requests.
	shedInterval = 20 * time.Millisecond
	// admissionMarginDivisor defines how early a request must be expected to end to be admitted:
	// 1/admissionMarginDivisor of the time left until its deadline.
	admissionMarginDivisor = 8
	// minRetryAfter is the minimum Retry-After sent to a caller.
	minRetryAfter = time.Second
)

// waitForSlot waits for a slot. If there is none, the second result is the rejection. A requeued waiter goes to the
// front of its account's queue.
func (r *Router) waitForSlot(ctx context.Context, w *waiter, requeued bool) (*slot, *NotRun) {
	if rejected := r.enqueue(w, requeued); rejected != nil {
		return nil, rejected
	}
	select {
	case result := <-w.result:
		return result.slot, result.notRun
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queue.remove(w) {
		return nil, r.rejection(w, "deadline exceeded while waiting for a slot", http.StatusGatewayTimeout)
	}
	result := <-w.result
	if result.slot != nil {
		r.returnUnused(result.slot)
	}
	return nil, r.rejection(w, "request ended before its slot was used", http.StatusGatewayTimeout)
}

// enqueue admits a waiter to its account's queue, or returns its rejection.
func (r *Router) enqueue(w *waiter, requeued bool) *NotRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if rejected := r.checkAdmission(w, requeued, now); rejected != nil {
		return rejected
	}
	r.queue.push(w, requeued)
	r.dispatch(now)
	r.metrics.waiting.Set(float64(r.queue.length))
	return nil
}

// checkAdmission returns a rejection if the queue of the waiter's account is full or the request is unlikely to end
// before its deadline.
func (r *Router) checkAdmission(w *waiter, requeued bool, now time.Time) *NotRun {
	q := r.queue.accountQueue(w.account)
	if q.limit == 0 {
		q.limit = r.limits.MaxWaitingRequests
	}
	if len(r.backendList) == 0 {
		return r.rejection(w, "no backend servers are known", http.StatusServiceUnavailable)
	}
	if !requeued && q.waiting.Len() >= q.limit {
		return r.rejection(w, "queue of the client account is full", http.StatusTooManyRequests)
	}
	position := q.waiting.Len()
	if requeued {
		position = 0
	}
	if lateness := r.expectedLateness(w, position, now); lateness > -w.deadline.Sub(now)/admissionMarginDivisor {
		return r.rejection(w, "request is not expected to finish before its deadline", http.StatusServiceUnavailable)
	}
	return nil
}

// expectedLateness estimates by how much a waiter at the position in its queue will miss its deadline. It is negative
// for a request that ends in time.
func (r *Router) expectedLateness(w *waiter, position int, now time.Time) time.Duration {
	expectedEnd := now.Add(r.expectedWait(w.account, position) + w.expectedService)
	return expectedEnd.Sub(w.deadline)
}

// expectedWait estimates the time until the position in an account's queue gets a slot. By Little's law, slotsInUse
// slots serve slotsInUse requests per mean service time.
func (r *Router) expectedWait(account ident.Account, position int) time.Duration {
	if r.queue.length == 0 || r.slotsInUse == 0 || r.overallServiceTime.mean == 0 {
		return 0
	}
	ahead := r.queue.expectedAhead(account, position)
	return time.Duration(ahead * float64(r.overallServiceTime.mean) / float64(r.slotsInUse))
}

// rejection returns the result of a request that gets no slot. Its Retry-After covers the time to serve the current
// queue, with jitter.
func (r *Router) rejection(w *waiter, reason string, status int) *NotRun {
	kind := fault.Unavailable
	if status == http.StatusTooManyRequests {
		kind = fault.Throttled
	}
	wait := r.expectedWait(w.account, r.queue.accountQueue(w.account).waiting.Len())
	retryAfter := max(wait, minRetryAfter)
	retryAfter += rand.N(retryAfter/4 + 1)
	return &NotRun{Status: status, Fault: fault.New(kind, "wait for a slot", "", "%s", reason).WithRetryAfter(retryAfter)}
}

// dispatch assigns slots to waiters until there are no more slots or waiters.
func (r *Router) dispatch(now time.Time) {
	r.shedLate(now)
	var skip map[*accountQueue]bool
	for {
		q := r.queue.next(skip)
		if q == nil {
			break
		}
		w := q.front()
		b := r.selectBackend(now, w)
		if b == nil || !r.verifyAcquire(b, now) {
			if skip == nil {
				skip = map[*accountQueue]bool{}
			}
			skip[q] = true
			continue
		}
		r.queue.dequeue(q)
		r.slotsInUse++
		w.result <- slotResult{slot: b.acquireSlot(now)}
	}
	if r.queue.length > 0 {
		r.scheduleDispatch(now)
	}
	r.metrics.waiting.Set(float64(r.queue.length))
}

// shedLate rejects the waiters that are expected to miss their deadlines.
func (r *Router) shedLate(now time.Time) {
	if now.Sub(r.lastShed) < shedInterval {
		return
	}
	r.lastShed = now
	for _, q := range r.queue.accounts {
		r.shedFromQueue(q, now)
	}
}

// shedFromQueue rejects the waiters of one queue that are expected to miss their deadlines.
func (r *Router) shedFromQueue(q *accountQueue, now time.Time) {
	position := 0
	for e := q.waiting.Front(); e != nil; {
		w := e.Value.(*waiter)
		e = e.Next()
		if r.expectedLateness(w, position, now) <= 0 {
			position++
			continue
		}
		r.queue.remove(w)
		w.result <- slotResult{
			notRun: r.rejection(w, "waiting request is not expected to finish before its deadline", http.StatusServiceUnavailable),
		}
	}
}

// returnUnused returns a slot over which no request was sent.
func (r *Router) returnUnused(s *slot) {
	now := time.Now()
	s.backend.breaker.cancelProbe()
	s.backend.freeSlots++
	s.backend.returnSlot(s)
	r.slotsInUse--
	r.dispatch(now)
}

// scheduleDispatch schedules the next call of dispatch: when the first server that is backing off can be used again,
// but at most shedInterval from now.
func (r *Router) scheduleDispatch(now time.Time) {
	at := now.Add(shedInterval)
	for _, b := range r.backendList {
		if now.Before(b.fullUntil) && b.fullUntil.Before(at) {
			at = b.fullUntil
		}
	}
	resetTimer(&r.dispatchTimer, at.Sub(now), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.dispatch(time.Now())
	})
}
