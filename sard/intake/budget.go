package intake

import (
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// budget bounds the memory of bodies. Beyond its limit, bodies are given up.
type budget struct {
	limit int64

	mu   sync.Mutex
	used int64
	// byAccount is the memory of the bodies of each account.
	byAccount map[ident.Account]int64
	// open holds the bodies that may be given up: those that are being read, and those whose request waits to be served.
	open []*Body
}

// charge counts further n bytes for a body. If that is too much, it gives up bodies; it returns false if the body itself is one
// of them, or was given up before.
func (b *budget) charge(body *Body, n int64) bool {
	kept, victims := b.chargeLocked(body, n)
	for range victims {
		body.guard.note(TooManyBodies)
	}
	return kept
}

// chargeLocked does what charge does, and returns how many bodies were given up.
func (b *budget) chargeLocked(body *Body, n int64) (kept bool, victims int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if body.givenUp {
		return false, 0
	}
	b.count(body, n)
	for ; b.used > b.limit; victims++ {
		victim := b.victim()
		if victim == nil || body.givenUp {
			break
		}
		b.giveUp(victim)
	}
	if b.used > b.limit && !body.givenUp {
		// All other bodies belong to requests that are being served.
		b.giveUp(body)
		victims++
	}
	return !body.givenUp, victims
}

// refund takes back n bytes of a body.
func (b *budget) refund(body *Body, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !body.givenUp {
		b.count(body, -n)
	}
}

// enter adds a body to those that may be given up. It calls interrupt if that happens.
func (b *budget) enter(body *Body, interrupt func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	body.interrupt = interrupt
	body.place = len(b.open)
	b.open = append(b.open, body)
}

// offer lets a body be given up while it waits for something else than its bytes, or for both. It calls interrupt if that
// happens. The returned function ends that.
func (b *budget) offer(body *Body, interrupt func()) (withdraw func()) {
	b.mu.Lock()
	former := body.interrupt
	if former != nil {
		body.interrupt = func() {
			former()
			interrupt()
		}
	}
	givenUp := body.givenUp
	b.mu.Unlock()
	if givenUp {
		interrupt()
		return func() {}
	}
	if former == nil {
		b.enter(body, interrupt)
		return func() { b.leave(body) }
	}
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if body.interrupt != nil {
			body.interrupt = former
		}
	}
}

// leave takes a body out of those that may be given up. It returns false if that has happened.
func (b *budget) leave(body *Body) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.close(body)
	return !body.givenUp
}

// inUse returns the memory of all bodies.
func (b *budget) inUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// count adds n bytes to what a body holds. The caller holds the lock.
func (b *budget) count(body *Body, n int64) {
	body.held += n
	b.used += n
	b.byAccount[body.account] += n
	if b.byAccount[body.account] == 0 {
		delete(b.byAccount, body.account)
	}
}

// victim returns the body to give up: among those of the account that holds most, the one that holds most for longest. The
// caller holds the lock.
func (b *budget) victim() *Body {
	var found *Body
	var most float64
	now := time.Now()
	for _, body := range b.open {
		if found != nil && b.byAccount[body.account] < b.byAccount[found.account] {
			continue
		}
		heavier := found == nil || b.byAccount[body.account] > b.byAccount[found.account]
		if burden := body.burden(now); heavier || burden > most {
			found, most = body, burden
		}
	}
	return found
}

// giveUp interrupts a body and no longer counts it. The caller holds the lock.
func (b *budget) giveUp(body *Body) {
	b.count(body, -body.held)
	body.givenUp = true
	if body.interrupt != nil {
		body.interrupt()
	}
	b.close(body)
}

// close takes a body out of open. The caller holds the lock.
func (b *budget) close(body *Body) {
	if body.interrupt == nil {
		return
	}
	last := b.open[len(b.open)-1]
	last.place = body.place
	b.open[body.place] = last
	b.open[len(b.open)-1] = nil
	b.open = b.open[:len(b.open)-1]
	body.interrupt = nil
}
