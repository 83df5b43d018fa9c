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

// Accounts and queues of the configuration.
const (
	accountCount = 3
	// accountGuarantee is the guarantee of each account in accelerators.
	accountGuarantee = 16
	// maxFailures is the number of failed attempts that makes a job fail.
	maxFailures = 3
	// priorityCount is the number of priorities. Each has a queue from the start.
	priorityCount = 3
)

// operator changes the configuration during a run.
type operator struct {
	harness *harness

	mu      sync.Mutex
	version ident.Version
	// keys are the valid keys of each account, the oldest first.
	keys [accountCount][]string
	// addedQueues has for each added queue, by number, the time from which all instances must know it.
	addedQueues []time.Time
	// revoked has for each revoked key the time from which all instances must refuse it.
	revoked  map[string]time.Time
	keyCount int
}

// newOperator returns an operator with two keys for each account.
func newOperator(h *harness) *operator {
	o := &operator{harness: h, revoked: map[string]time.Time{}}
	for a := range o.keys {
		o.keys[a] = []string{o.newKey(), o.newKey()}
	}
	return o
}

// meanChangeInterval is the mean time between two changes of the configuration.
const meanChangeInterval = 4 * time.Second

// run changes the configuration at random times until ctx ends.
func (o *operator) run(ctx context.Context, rng *rand.Rand) error {
	for clock.Sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanChangeInterval))) {
		change := o.addQueue
		if rng.IntN(2) == 0 {
			change = func() error { return o.replaceKey(rng.IntN(accountCount)) }
		}
		if err := change(); err != nil {
			return err
		}
		o.harness.counters.configChanges.Add(1)
	}
	return nil
}

// newKey returns a key that has not been used before.
func (o *operator) newKey() string {
	o.keyCount++
	return fmt.Sprintf("key-%d-%d", o.harness.config.Seed, o.keyCount)
}

// maxBodyBytes is the largest body of a request that the configuration allows.
const maxBodyBytes = 256 << 10

// queuePrefix returns the path prefix of the queue that exists from the start for a priority.
func queuePrefix(p work.Priority) string { return fmt.Sprintf("/queue-%d/", p) }

// addedQueuePrefix returns the path prefix of added queue n.
func addedQueuePrefix(n int) string { return fmt.Sprintf("/added-%d/", n) }

// queueSettings returns the settings of a queue of a priority.
func queueSettings(p work.Priority) work.QueueSettings {
	return work.QueueSettings{Service: service, Priority: p, Failures: maxFailures, Stretch: 3, Target: time.Second}
}

// publish writes the current configuration to the store under a new version.
func (o *operator) publish() error {
	o.version += 3
	p := &policy.Policy{Version: o.version, Limits: policy.Limits{MaxBodyBytes: maxBodyBytes}}
	for n := range work.Priority(priorityCount) {
		p.Queues = append(p.Queues, newQueue(queuePrefix(n), n))
	}
	for n := range o.addedQueues {
		p.Queues = append(p.Queues, newQueue(addedQueuePrefix(n), priorityCount-1))
	}
	for a, keys := range o.keys {
		p.Accounts = append(p.Accounts, policy.Account{Name: accountName(a), Keys: keys, Guarantee: accountGuarantee})
	}
	return o.harness.publishPolicy(p)
}

// newQueue returns a queue with a path prefix and a priority.
func newQueue(prefix string, p work.Priority) policy.Queue {
	return policy.Queue{Name: work.QueueName("q" + prefix), Host: host, Prefix: prefix, Settings: queueSettings(p), Timeout: callTimeout}
}

// replaceKey revokes the oldest key of an account and adds a new one.
func (o *operator) replaceKey(account int) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := o.keys[account][0]
	o.keys[account] = append(o.keys[account][1:], o.newKey())
	if err := o.publish(); err != nil {
		return err
	}
	o.revoked[key] = time.Now().Add(maxRevocationDelay)
	return nil
}

// addQueue adds a queue to the configuration and publishes it.
func (o *operator) addQueue() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addedQueues = append(o.addedQueues, time.Now().Add(maxConfigDelay))
	return o.publish()
}

// oldestKey returns the key of an account that has been valid for longest.
func (o *operator) oldestKey(account int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keys[account][0]
}

// newestQueue returns the number of the newest added queue, or -1 if there is none, and whether all instances must know
// it by now.
func (o *operator) newestQueue() (int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := len(o.addedQueues) - 1
	return n, n >= 0 && time.Now().After(o.addedQueues[n])
}

// revokedKey returns a key that all instances must refuse by now, or "".
func (o *operator) revokedKey() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, from := range o.revoked {
		if time.Now().After(from) {
			return key
		}
	}
	return ""
}
