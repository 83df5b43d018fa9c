package lint

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/policy"
	"github.com/sardineline/sardineline/sard/work"
)

// goodQueue returns a queue without findings.
func goodQueue(name, prefix string) policy.Queue {
	return policy.Queue{
		Name: work.QueueName(name), Host: "h", Prefix: prefix, Timeout: time.Second,
		Settings: work.QueueSettings{Service: "s", Priority: 1, Failures: 2, Stretch: 3},
	}
}

// goodPolicy returns a policy without findings.
func goodPolicy() *policy.Policy {
	return &policy.Policy{
		Queues:   []policy.Queue{goodQueue("quotes", "/quotes/"), goodQueue("claims", "/claims/")},
		Services: []work.Service{"s"},
		Accounts: []policy.Account{{Name: "north", Keys: []string{"k1"}, Guarantee: 16}, {Name: "south", Keys: []string{"k2"}, Guarantee: 8}},
	}
}

// locateByIndex returns the section and the field as the path, and the index as the line.
func locateByIndex(at policy.Place) (string, int) {
	return fmt.Sprintf("%s.%s", at.Section, at.Field), at.Index
}

// TestPolicy checks the findings of configurations that differ from a good one in a single respect.
func TestPolicy(t *testing.T) {
	inventory := &Inventory{Workers: []WorkerSet{{Service: "s", Rack: "r", Count: 3, Accelerators: 8}}}
	tests := []struct {
		name   string
		change func(*policy.Policy)
		want   string
	}{
		{"good", func(*policy.Policy) {}, ""},
		{"repeated name", func(p *policy.Policy) { p.Queues[1].Name = "quotes" }, `1: Queues.Name: Error: Invalid: "quotes" is also the name of queue 0`},
		{"unknown service", func(p *policy.Policy) { p.Queues[0].Settings.Service = "t" }, `Queues.Service: Error: Invalid: there is no service "t"`},
		{"negative timeout", func(p *policy.Policy) { p.Queues[0].Timeout = -1 }, "Queues.Timeout: Error: Invalid: must not be negative"},
		{"relative prefix", func(p *policy.Policy) { p.Queues[0].Prefix = "q/" }, `Queues.Prefix: Error: Invalid: "q/" does not begin with a slash`},
		{"repeated account", func(p *policy.Policy) { p.Accounts[1].Name = "north" }, `1: Accounts.Name: Error: Invalid: "north" is also the name of account 0`},
		{"equal prefixes", func(p *policy.Policy) { p.Queues[1].Prefix = "/quotes/" }, `1: Queues.Prefix: Warning: Unreachable: queue "quotes" has the same host and prefix and gets all requests`},
		{"prefix that takes ids", func(p *policy.Policy) { p.Queues[1].Prefix = "/quotes/5c" }, `Queues.Prefix: Warning: Shadowed: queue "claims" gets the requests for ids that begin with "5c"`},
		{"prefix below another", func(p *policy.Policy) { p.Queues[1].Prefix = "/quotes/old/" }, ""},
		{"key of two accounts", func(p *policy.Policy) { p.Accounts[1].Keys = []string{"k1"} }, `Accounts.Keys: Warning: RepeatedKey: a key also belongs to account "south", for which it is taken`},
		{"key listed twice", func(p *policy.Policy) { p.Accounts[0].Keys = []string{"k1", "k1"} }, "Accounts.Keys: Warning: RepeatedKey: a key is listed twice"},
		{"account without key", func(p *policy.Policy) { p.Accounts[0].Keys = nil }, `Accounts.Keys: Warning: NoCaller: account "north" has no key`},
		{"no attempts", func(p *policy.Policy) { p.Queues[0].Settings.Failures = 0 }, "Queues.Failures: Warning: Contradiction: a job fails without an attempt"},
		{"objective below the work", func(p *policy.Policy) { p.Queues[0].Settings.Stretch = 0.5 }, "Queues.Stretch: Warning: Contradiction: with a stretch of 0.5, the objective of long jobs is shorter than their own work"},
		{"timeout below a write", func(p *policy.Policy) { p.Queues[0].Timeout = 100 * time.Millisecond }, "Queues.Timeout: Warning: Contradiction: 100ms is less than the 375ms that a submission needs to store its outcome"},
		{"service without workers", func(p *policy.Policy) {
			p.Services = append(p.Services, "t")
			p.Queues[1].Settings.Service = "t"
		}, `1: Queues.Service: Warning: NoWorker: no worker of the inventory belongs to service "t"`},
		{"guarantee over the pool", func(p *policy.Policy) { p.Accounts = p.Accounts[:1]; p.Accounts[0].Guarantee = 16 + 8 + 1 }, "Accounts.Guarantee: Warning: Shortage: 25 accelerators are guaranteed, the workers have 24"},
		{"sum of guarantees over the pool", func(p *policy.Policy) { p.Accounts[1].Guarantee = 16 }, "1: Accounts.Guarantee: Warning: Shortage: all guarantees together are 32 accelerators, the workers have 24"},
		{"guaranteed queue without a guarantee", func(p *policy.Policy) {
			p.Queues[0].Settings.Priority = work.Guaranteed
			p.Accounts = []policy.Account{{Name: "north", Keys: []string{"k1"}}}
		}, "Queues.Priority: Warning: Contradiction: its jobs are guaranteed, and no account has a guarantee"},
	}
	for _, test := range tests {
		p := goodPolicy()
		test.change(p)
		findings := Policy(p, locateByIndex, inventory)
		if test.want == "" {
			assert.Equal(t, len(findings), 0, "%s: %v", test.name, findings)
			continue
		}
		assert.Assert(t, len(findings) > 0, test.name)
		assert.Equal(t, findings[0].String(), test.want, test.name)
	}
}

// TestDiff checks that removed entries come first and that keys are not shown.
func TestDiff(t *testing.T) {
	from, to := goodPolicy(), goodPolicy()
	to.Queues[0] = goodQueue("audits", "/audits/")
	to.Queues[1].Settings.Stretch = 2
	to.Accounts[0].Keys = []string{"k3"}
	to.Accounts[1].Guarantee = 4
	var lines []string
	for _, change := range Diff(from, to) {
		lines = append(lines, change.String())
	}
	assert.DeepEqual(t, lines, []string{
		"- key 6ab9f1eb of account north",
		"- queue quotes",
		"~ account south: Guarantee: 8 -> 4",
		"~ queue claims: Stretch: 3 -> 2",
		"+ key 2f5052c9 of account north",
		"+ queue audits",
	})
}
