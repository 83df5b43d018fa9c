// Package policy holds the operator's configuration of a pool: its queues and client accounts.
package policy

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// Policy is one version of the configuration. It is not changed after Index was called.
type Policy struct {
	Version  ident.Version
	Queues   []Queue
	Accounts []Account
	Limits   Limits

	byHost  map[string][]*Queue
	byName  map[work.QueueName]*Queue
	byKey   map[[sha256.Size]byte]ident.Account
	account map[ident.Account]*Account
}

// Queue is a way in for jobs.
type Queue struct {
	Name work.QueueName
	// Host and Prefix select the calls of the queue.
	Host     string
	Prefix   string
	Settings work.QueueSettings
	// Public tells that calls need no key.
	Public bool
	// Timeout bounds a call.
	Timeout time.Duration
	// ExternalPlacement tells that a service outside decides which workers may run a step.
	ExternalPlacement bool
}

// Account is a client account.
type Account struct {
	Name ident.Account
	Keys []string
	// Guarantee is the number of accelerators that the account can always reclaim for its guaranteed jobs.
	Guarantee ident.Accelerators
}

// Limits bound the calls of clients.
type Limits struct {
	// MaxBodyBytes is the largest body of a call; 0 means no limit of the operator's.
	MaxBodyBytes int64
}

// BuildIndex prepares p for lookups.
func (p *Policy) BuildIndex() {
	p.byHost = map[string][]*Queue{}
	p.byName = map[work.QueueName]*Queue{}
	for i := range p.Queues {
		q := &p.Queues[i]
		p.byHost[q.Host] = append(p.byHost[q.Host], q)
		p.byName[q.Name] = q
	}
	for _, queues := range p.byHost {
		slices.SortFunc(queues, func(a, b *Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	p.byKey = map[[sha256.Size]byte]ident.Account{}
	p.account = map[ident.Account]*Account{}
	for i := range p.Accounts {
		a := &p.Accounts[i]
		p.account[a.Name] = a
		for _, key := range a.Keys {
			p.byKey[sha256.Sum256([]byte(key))] = a.Name
		}
	}
}

// Route returns the queue with the longest prefix of path at host, and the rest of path.
func (p *Policy) Route(host, path string) (queue *Queue, rest string, ok bool) {
	for _, q := range p.byHost[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return nil, "", false
}

// Queue returns a queue by its name, or nil.
func (p *Policy) Queue(name work.QueueName) *Queue {
	return p.byName[name]
}

// AccountByKey returns the account that has a key.
func (p *Policy) AccountByKey(key string) (ident.Account, bool) {
	account, ok := p.byKey[sha256.Sum256([]byte(key))]
	return account, ok
}

// Guarantee returns the accelerators guaranteed to an account.
func (p *Policy) Guarantee(name ident.Account) ident.Accelerators {
	if a := p.account[name]; a != nil {
		return a.Guarantee
	}
	return 0
}
