package route

import (
	"container/list"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// ticket is a request that waits for a slot.
type ticket struct {
	account  ident.Account
	class    ident.RequestClass
	deadline time.Time
	// need is the time that the request is expected to take once it has a slot.
	need time.Duration
	// failed are the servers at which the request has failed.
	failed []*backend
	// granted receives the slot, or the reason why there is none. It holds one element.
	granted chan grant
	element *list.Element
}

// grant ends the wait of a ticket.
type grant struct {
	slot   *slot
	notRun *NotRun
}

// line is the queue of one client account.
type line struct {
	weight  float64
	limit   int
	waiting list.List
	// pass is the virtual time at which the next ticket is due.
	pass float64
}

// queue shares slots among client accounts in the ratio of their weights (stride scheduling). Tickets of one
// account are served in the order of arrival.
type queue struct {
	lines map[ident.Account]*line
	// clock is the pass of the last ticket served.
	clock float64
	count int
}

// configure sets an account's weight and its bound of waiting tickets.
func (q *queue) configure(account ident.Account, weight, limit int) {
	l := q.line(account)
	l.weight = max(float64(weight), 1)
	l.limit = limit
}

func (q *queue) line(account ident.Account) *line {
	l, ok := q.lines[account]
	if !ok {
		l = &line{weight: 1}
		q.lines[account] = l
	}
	return l
}

// push adds a ticket at the end of its account's line, or at its start when it has waited before.
func (q *queue) push(t *ticket, first bool) {
	l := q.line(t.account)
	if l.waiting.Len() == 0 {
		l.pass = max(l.pass, q.clock)
	}
	if first {
		t.element = l.waiting.PushFront(t)
	} else {
		t.element = l.waiting.PushBack(t)
	}
	q.count++
}

// remove takes a ticket out. It returns false when the ticket no longer waits.
func (q *queue) remove(t *ticket) bool {
	if t.element == nil {
		return false
	}
	q.line(t.account).waiting.Remove(t.element)
	t.element = nil
	q.count--
	return true
}

// next returns the line whose turn it is, or nil. Lines in skip are passed over.
func (q *queue) next(skip map[*line]bool) *line {
	var first *line
	for _, l := range q.lines {
		if l.waiting.Len() == 0 || skip[l] {
			continue
		}
		if first == nil || l.pass < first.pass {
			first = l
		}
	}
	return first
}

// head returns the first ticket of the line.
func (l *line) head() *ticket {
	return l.waiting.Front().Value.(*ticket)
}

// serve takes the first ticket of a line out and charges the account.
func (q *queue) serve(l *line) *ticket {
	t := l.head()
	q.remove(t)
	q.clock = max(q.clock, l.pass)
	l.pass += 1 / l.weight
	return t
}

// ahead estimates how many tickets are served before one that is added to the account's line at a position.
func (q *queue) ahead(account ident.Account, position int) float64 {
	own := q.line(account)
	served := float64(position)
	for _, l := range q.lines {
		if l != own {
			served += min(float64(l.waiting.Len()), float64(position+1)*l.weight/own.weight)
		}
	}
	return served
}
