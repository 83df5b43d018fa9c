package play

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/policy"
	"github.com/sardineline/sardineline/sard/work"
)

// The accounts and the kinds of queue that are played.
const (
	accounts = 3
	// guarantee is that of each account, in accelerators.
	guarantee = 16
	// failures is how many failed attempts make a job fail.
	failures = 3
	// priorities is how many queues there are, one for each priority.
	priorities = 3
)

// operator changes the configuration.
type operator struct {
	world *world

	mu      sync.Mutex
	version ident.Version
	// keys are those of each account that are in force.
	keys [accounts][]string
	// extra are queues that were added, by their numbers, with the time from which they must be known.
	extra []time.Time
	// revoked are keys that were taken away, with the time from which they must not work.
	revoked map[string]time.Time
	issued  int
}

func newOperator(w *world) *operator {
	o := &operator{world: w, revoked: map[string]time.Time{}}
	for a := range o.keys {
		o.keys[a] = []string{o.issue(), o.issue()}
	}
	return o
}

// changeEvery is the mean time between two changes of the configuration.
const changeEvery = 4 * time.Second

// work changes the configuration at random times until ctx ends.
func (o *operator) work(ctx context.Context, draw *rand.Rand) error {
	for clock.Sleep(ctx, time.Duration(draw.ExpFloat64()*float64(changeEvery))) {
		change := o.addQueue
		if draw.IntN(2) == 0 {
			change = func() error { return o.revoke(draw.IntN(accounts)) }
		}
		if err := change(); err != nil {
			return err
		}
		o.world.tally.changes.Add(1)
	}
	return nil
}

// issue makes a new key.
func (o *operator) issue() string {
	o.issued++
	return fmt.Sprintf("key-%d-%d", o.world.config.Seed, o.issued)
}

// queuePrefix is that of the queue of a priority.
func queuePrefix(p work.Priority) string { return fmt.Sprintf("/queue-%d/", p) }

// extraPrefix is that of an added queue.
func extraPrefix(n int) string { return fmt.Sprintf("/added-%d/", n) }

func terms(p work.Priority) work.QueueSettings {
	return work.QueueSettings{Service: service, Priority: p, Failures: failures, Stretch: 3, Target: time.Second}
}

// publish puts the present configuration in force under a new version.
func (o *operator) publish() error {
	o.version += 3
	p := &policy.Policy{Version: o.version, Limits: policy.Limits{MaxBodyBytes: 256 << 10}}
	for n := range work.Priority(priorities) {
		p.Queues = append(p.Queues, queue(queuePrefix(n), n))
	}
	for n := range o.extra {
		p.Queues = append(p.Queues, queue(extraPrefix(n), priorities-1))
	}
	for a, keys := range o.keys {
		p.Accounts = append(p.Accounts, policy.Account{Name: accountName(a), Keys: keys, Guarantee: guarantee})
	}
	return o.world.publishPolicy(p)
}

func queue(prefix string, p work.Priority) policy.Queue {
	return policy.Queue{Name: work.QueueName("q" + prefix), Host: host, Prefix: prefix, Settings: terms(p), Timeout: callTime}
}

// revoke takes a key of an account away and gives it another one.
func (o *operator) revoke(account int) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := o.keys[account][0]
	o.keys[account] = append(o.keys[account][1:], o.issue())
	if err := o.publish(); err != nil {
		return err
	}
	o.revoked[key] = time.Now().Add(revocation)
	return nil
}

// addQueue adds a queue.
func (o *operator) addQueue() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.extra = append(o.extra, time.Now().Add(configTime))
	return o.publish()
}

// key returns a key of an account that has been in force for longest.
func (o *operator) key(account int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keys[account][0]
}

// newestQueue returns the number of the newest added queue, and whether it must be known by now; -1 for none.
func (o *operator) newestQueue() (int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := len(o.extra) - 1
	return n, n >= 0 && time.Now().After(o.extra[n])
}

// deadKey returns a key that must not work any more, or "".
func (o *operator) deadKey() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, from := range o.revoked {
		if time.Now().After(from) {
			return key
		}
	}
	return ""
}
