// Package policy holds the operator's configuration of a pool, which consists of queues, client accounts and limits,
// and follows its changes in the store. A pool is a set of workers whose jobs one scheduler places.
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

// Policy is one version of a pool's configuration. It must not be modified after BuildIndex was called.
type Policy struct {
	Version ident.Version
	Queues  []Queue
	// Services lists the services that queues may name; empty if they are not known.
	Services []work.Service
	Accounts []Account
	Limits   Limits

	byHost    map[string][]*Queue
	byName    map[work.QueueName]*Queue
	byKey     map[[sha256.Size]byte]ident.Account
	byAccount map[ident.Account]*Account
}

// Queue is a configured entry point for jobs, with the settings by which they are scheduled.
type Queue struct {
	Name work.QueueName
	// Host and Prefix are the HTTP host and the path prefix of the requests that belong to the queue.
	Host     string
	Prefix   string
	Settings work.QueueSettings
	// Public is set if requests need no API key.
	Public bool
	// Timeout limits the duration of a request.
	Timeout time.Duration
	// ExternalPlacement is set if an external service decides which workers may run a step.
	ExternalPlacement bool
}

// Account is a client account with its API keys and guarantee.
type Account struct {
	Name ident.Account
	Keys []string
	// Guarantee is the number of accelerators that the account can always reclaim for its guaranteed jobs.
	Guarantee ident.Accelerators
}

// Limits holds limits on client requests.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body; 0 means that the operator sets no limit.
	MaxBodyBytes int64
}

// BuildIndex builds the lookup tables that the other methods use. It must be called before them.
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
	p.byAccount = map[ident.Account]*Account{}
	for i := range p.Accounts {
		a := &p.Accounts[i]
		p.byAccount[a.Name] = a
		for _, key := range a.Keys {
			p.byKey[sha256.Sum256([]byte(key))] = a.Name
		}
	}
}

// Route returns the queue at host whose prefix is the longest match for path, and the remainder of path.
func (p *Policy) Route(host, path string) (queue *Queue, rest string, ok bool) {
	for _, q := range p.byHost[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return nil, "", false
}

// Queue returns the queue with the given name, or nil.
func (p *Policy) Queue(name work.QueueName) *Queue {
	return p.byName[name]
}

// IsPublic reports whether requests to the named queue need no API key.
func (p *Policy) IsPublic(name work.QueueName) bool {
	q := p.Queue(name)
	return q != nil && q.Public
}

// AccountByKey returns the account that an API key belongs to.
func (p *Policy) AccountByKey(key string) (ident.Account, bool) {
	account, ok := p.byKey[sha256.Sum256([]byte(key))]
	return account, ok
}

// Guarantee returns the number of accelerators guaranteed to an account; 0 if the account is unknown.
func (p *Policy) Guarantee(name ident.Account) ident.Accelerators {
	if a := p.byAccount[name]; a != nil {
		return a.Guarantee
	}
	return 0
}
