package lint

import (
	"fmt"
	"strings"

	"github.com/sardineline/sardineline/sard/entry"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/policy"
	"github.com/sardineline/sardineline/sard/work"
)

// jobIDDigits is the number of hexadecimal digits of a job's id, which follows the prefix of its queue.
const jobIDDigits = 16

// policyCheck collects the findings of a policy.
type policyCheck struct {
	policy   *policy.Policy
	locate   Locator
	findings []Finding
}

// Policy returns the findings of a pool's configuration. A nil inventory leaves out the checks against the workers.
func Policy(p *policy.Policy, locate Locator, inventory *Inventory) []Finding {
	c := &policyCheck{policy: p, locate: locate}
	for _, problem := range p.Check() {
		c.add(Error, Invalid, problem.Place, "%s", problem.Message)
	}
	c.checkPrefixes()
	c.checkKeys()
	c.checkCallers()
	c.checkLimits()
	if inventory != nil {
		c.checkWorkers(inventory)
	}
	return c.findings
}

// add adds a finding.
func (c *policyCheck) add(severity Severity, rule Rule, at policy.Place, format string, args ...any) {
	path, line := c.locate(at)
	c.findings = append(c.findings, Finding{Severity: severity, Rule: rule, Path: path, Line: line, Message: fmt.Sprintf(format, args...)})
}

// warnQueue adds a warning about a field of a queue.
func (c *policyCheck) warnQueue(index int, field policy.Field, rule Rule, format string, args ...any) {
	c.add(Warning, rule, policy.Place{Section: policy.Queues, Index: index, Field: field}, format, args...)
}

// warnAccount adds a warning about a field of an account.
func (c *policyCheck) warnAccount(index int, field policy.Field, rule Rule, format string, args ...any) {
	c.add(Warning, rule, policy.Place{Section: policy.Accounts, Index: index, Field: field}, format, args...)
}

// address is what requests select a queue by.
type address struct{ host, prefix string }

// checkPrefixes finds queues that others hide. Of equal prefixes the first one counts, and otherwise the longest.
func (c *policyCheck) checkPrefixes() {
	first := map[address]int{}
	for i, q := range c.policy.Queues {
		a := address{q.Host, q.Prefix}
		if other, ok := first[a]; ok {
			c.warnQueue(i, policy.Prefix, Unreachable, "queue %q has the same host and prefix and gets all requests", c.policy.Queues[other].Name)
			continue
		}
		first[a] = i
	}
	for i, q := range c.policy.Queues {
		c.checkShadow(i, q, first)
	}
}

// checkShadow finds the queues that a queue takes job ids from, because its prefix is theirs followed by digits of an id.
func (c *policyCheck) checkShadow(index int, q policy.Queue, first map[address]int) {
	for cut := len(q.Prefix) - 1; cut >= max(1, len(q.Prefix)-jobIDDigits); cut-- {
		if !isHex(q.Prefix[cut]) {
			return
		}
		if other, ok := first[address{q.Host, q.Prefix[:cut]}]; ok && other != index {
			c.warnQueue(other, policy.Prefix, Shadowed, "queue %q gets the requests for ids that begin with %q", q.Name, q.Prefix[cut:])
		}
	}
}

// isHex reports whether a character is a hexadecimal digit.
func isHex(c byte) bool {
	return strings.IndexByte("0123456789abcdefABCDEF", c) >= 0
}

// checkKeys finds API keys that are given more than once. The messages do not show them.
func (c *policyCheck) checkKeys() {
	owners := map[string]int{}
	for i, a := range c.policy.Accounts {
		for _, key := range a.Keys {
			other, ok := owners[key]
			owners[key] = i
			switch {
			case !ok || key == "":
			case other == i:
				c.warnAccount(i, policy.Keys, RepeatedKey, "a key is listed twice")
			default:
				c.warnAccount(other, policy.Keys, RepeatedKey, "a key also belongs to account %q, for which it is taken", a.Name)
			}
		}
	}
}

// checkCallers finds accounts without keys, and queues that need a key if no account has one.
func (c *policyCheck) checkCallers() {
	callers := 0
	for i, a := range c.policy.Accounts {
		if len(a.Keys) == 0 {
			c.warnAccount(i, policy.Keys, NoCaller, "account %q has no key", a.Name)
			continue
		}
		callers++
	}
	for i, q := range c.policy.Queues {
		if !q.Public && callers == 0 {
			c.warnQueue(i, policy.WholeEntry, NoCaller, "queue %q needs a key, and no account has one", q.Name)
		}
	}
}

// checkLimits finds limits of queues that contradict what the queue is for.
func (c *policyCheck) checkLimits() {
	guaranteed := false
	for _, a := range c.policy.Accounts {
		guaranteed = guaranteed || a.Guarantee > 0
	}
	for i, q := range c.policy.Queues {
		s := q.Settings
		if s.Failures == 0 {
			c.warnQueue(i, policy.Failures, Contradiction, "a job fails without an attempt")
		}
		if s.Stretch < 1 {
			c.warnQueue(i, policy.Stretch, Contradiction, "with a stretch of %g, the objective of long jobs is shorter than their own work", s.Stretch)
		}
		if q.Timeout > 0 && q.Timeout < entry.MinTimeout {
			c.warnQueue(i, policy.Timeout, Contradiction, "%v is less than the %v that a submission needs to store its outcome", q.Timeout, entry.MinTimeout)
		}
		if s.Priority == work.Guaranteed && !guaranteed {
			c.warnQueue(i, policy.Priority, Contradiction, "its jobs are guaranteed, and no account has a guarantee")
		}
	}
}

// checkWorkers compares the queues and guarantees with the workers.
func (c *policyCheck) checkWorkers(inventory *Inventory) {
	available := inventory.byService()
	named := map[work.Service]bool{}
	for i, q := range c.policy.Queues {
		named[q.Settings.Service] = true
		if _, ok := available[q.Settings.Service]; !ok {
			c.warnQueue(i, policy.Service, NoWorker, "no worker of the inventory belongs to service %q", q.Settings.Service)
		}
	}
	pool := ident.Accelerators(0)
	for service := range named {
		pool += available[service]
	}
	sum, last := ident.Accelerators(0), 0
	for i, a := range c.policy.Accounts {
		sum += a.Guarantee
		if a.Guarantee > 0 {
			last = i
		}
		if a.Guarantee > pool {
			c.warnAccount(i, policy.Guarantee, Shortage, "%d accelerators are guaranteed, the workers have %d", a.Guarantee, pool)
		}
	}
	if sum > pool {
		c.warnAccount(last, policy.Guarantee, Shortage, "all guarantees together are %d accelerators, the workers have %d", sum, pool)
	}
}
