package route

import (
	"container/list"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// waiter is a request that waits for a slot.
type waiter struct {
	account  ident.Account
	class    ident.RequestClass
	deadline time.Time
	// expectedService is the time that the request is expected to need once it has a slot.
	expectedService time.Duration
	// failedBackends are the servers at which the request failed.
	failedBackends []*backend
	// result receives the slot or the rejection. Its buffer holds one element, so that sending never blocks.
	result chan slotResult
	// element is the waiter's position in its queue; nil if it is not queued.
	element *list.Element
}

// slotResult ends the wait of a waiter: it holds either a slot or the rejection of the request.
type slotResult struct {
	slot   *slot
	notRun *NotRun
}

// accountQueue is the queue of one client account.
type accountQueue struct {
	weight float64
	// limit is the maximum number of waiters.
	limit   int
	waiting list.List
	// pass is the virtual time, in the stride scheduling of fairQueue, at which the next waiter is due.
	pass float64
}

// fairQueue distributes slots among client accounts in proportion to their weights, by stride scheduling. Waiters of
// one account are served first in, first out.
type fairQueue struct {
	accounts map[ident.Account]*accountQueue
	// virtualTime is the pass of the account whose waiter was served last.
	virtualTime float64
	// length is the number of waiters in all queues.
	length int
}

// configure sets the weight and the maximum number of waiters of an account.
func (q *fairQueue) configure(account ident.Account, weight, limit int) {
	aq := q.accountQueue(account)
	aq.weight = max(float64(weight), 1)
	aq.limit = limit
}

// accountQueue returns the queue of an account and creates it if needed.
func (q *fairQueue) accountQueue(account ident.Account) *accountQueue {
	aq, ok := q.accounts[account]
	if !ok {
		aq = &accountQueue{weight: 1}
		q.accounts[account] = aq
	}
	return aq
}

// push adds a waiter to its account's queue, at the front if it has waited before.
func (q *fairQueue) push(w *waiter, atFront bool) {
	aq := q.accountQueue(w.account)
	if aq.waiting.Len() == 0 {
		aq.pass = max(aq.pass, q.virtualTime)
	}
	if atFront {
		w.element = aq.waiting.PushFront(w)
	} else {
		w.element = aq.waiting.PushBack(w)
	}
	q.length++
}

// remove removes a waiter. It returns false if the waiter is not queued.
func (q *fairQueue) remove(w *waiter) bool {
	if w.element == nil {
		return false
	}
	q.accountQueue(w.account).waiting.Remove(w.element)
	w.element = nil
	q.length--
	return true
}

// next returns the non-empty account queue with the lowest pass, or nil if there is none. It ignores the queues in
// skip.
func (q *fairQueue) next(skip map[*accountQueue]bool) *accountQueue {
	var first *accountQueue
	for _, aq := range q.accounts {
		if aq.waiting.Len() == 0 || skip[aq] {
			continue
		}
		if first == nil || aq.pass < first.pass {
			first = aq
		}
	}
	return first
}

// front returns the first waiter of the queue.
func (q *accountQueue) front() *waiter {
	return q.waiting.Front().Value.(*waiter)
}

// dequeue removes the first waiter of an account's queue and advances the account's pass.
func (q *fairQueue) dequeue(aq *accountQueue) *waiter {
	w := aq.front()
	q.remove(w)
	q.virtualTime = max(q.virtualTime, aq.pass)
	aq.pass += 1 / aq.weight
	return w
}

// expectedAhead estimates how many waiters are served before one at the position in the account's queue.
func (q *fairQueue) expectedAhead(account ident.Account, position int) float64 {
	own := q.accountQueue(account)
	ahead := float64(position)
	for _, aq := range q.accounts {
		if aq != own {
			ahead += min(float64(aq.waiting.Len()), float64(position+1)*aq.weight/own.weight)
		}
	}
	return ahead
}
