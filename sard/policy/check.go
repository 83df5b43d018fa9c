package policy

import (
	"fmt"
	"math"
	"strings"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

//go:generate go tool stringer -type=Section,Field -output=enums_string.go

// Section is a part of a Policy that a Place refers to.
type Section int

// Sections of a Policy.
const (
	// Queues is the list Policy.Queues.
	Queues Section = iota
	// Accounts is the list Policy.Accounts.
	Accounts
	// RequestLimits is Policy.Limits.
	RequestLimits
)

// Field is a value of a section's entry that a Place refers to.
type Field int

// Fields of queues, accounts and limits.
const (
	// WholeEntry stands for the entry itself.
	WholeEntry Field = iota
	// Name is the name of a queue or an account.
	Name
	// Host is Queue.Host.
	Host
	// Prefix is Queue.Prefix.
	Prefix
	// Service is QueueSettings.Service.
	Service
	// Priority is QueueSettings.Priority.
	Priority
	// Failures is QueueSettings.Failures.
	Failures
	// Stretch is QueueSettings.Stretch.
	Stretch
	// Target is QueueSettings.Target.
	Target
	// Timeout is Queue.Timeout.
	Timeout
	// Public is Queue.Public.
	Public
	// Keys is Account.Keys.
	Keys
	// Guarantee is Account.Guarantee.
	Guarantee
	// MaxBodyBytes is Limits.MaxBodyBytes.
	MaxBodyBytes
)

// Place refers to a value of a Policy.
type Place struct {
	Section Section
	// Index is the position of the entry in its section.
	Index int
	Field Field
}

// Problem is an error because of which a Policy can't be used.
type Problem struct {
	Place   Place
	Message string
}

// Problems lists the errors of a Policy in the order of its entries.
type Problems []Problem

// Error returns the first problem and the number of the others.
func (ps Problems) Error() string {
	if len(ps) == 0 {
		return "no problem"
	}
	text := fmt.Sprintf("%s %d: %s", ps[0].Place.Section, ps[0].Place.Index, ps[0].Message)
	if len(ps) > 1 {
		text += fmt.Sprintf(", and %d more", len(ps)-1)
	}
	return text
}

// Check returns the errors because of which the policy can't be used.
func (p *Policy) Check() Problems {
	var problems Problems
	p.checkQueues(&problems)
	p.checkAccounts(&problems)
	if p.Limits.MaxBodyBytes < 0 {
		problems.add(Place{Section: RequestLimits, Field: MaxBodyBytes}, "must not be negative")
	}
	return problems
}

// add adds a problem.
func (ps *Problems) add(at Place, format string, args ...any) {
	*ps = append(*ps, Problem{Place: at, Message: fmt.Sprintf(format, args...)})
}

// checkQueues adds the problems of the queues.
func (p *Policy) checkQueues(problems *Problems) {
	services := map[work.Service]bool{}
	for _, s := range p.Services {
		services[s] = true
	}
	first := map[work.QueueName]int{}
	for i := range p.Queues {
		q := &p.Queues[i]
		at := func(f Field) Place { return Place{Section: Queues, Index: i, Field: f} }
		if other, ok := first[q.Name]; ok {
			problems.add(at(Name), "%q is also the name of queue %d", q.Name, other)
		} else {
			first[q.Name] = i
		}
		if q.Name == "" {
			problems.add(at(Name), "must not be empty")
		}
		if q.Host == "" {
			problems.add(at(Host), "must not be empty")
		}
		if !strings.HasPrefix(q.Prefix, "/") {
			problems.add(at(Prefix), "%q does not begin with a slash", q.Prefix)
		}
		if len(services) > 0 && !services[q.Settings.Service] {
			problems.add(at(Service), "there is no service %q", q.Settings.Service)
		}
		q.checkNumbers(problems, at)
	}
}

// checkNumbers adds the numbers of the queue that are out of range.
func (q *Queue) checkNumbers(problems *Problems, at func(Field) Place) {
	if q.Settings.Priority < 0 {
		problems.add(at(Priority), "must not be negative")
	}
	if q.Settings.Failures < 0 {
		problems.add(at(Failures), "must not be negative")
	}
	if q.Settings.Stretch < 0 || math.IsNaN(q.Settings.Stretch) || math.IsInf(q.Settings.Stretch, 0) {
		problems.add(at(Stretch), "must be a number that is not negative")
	}
	if q.Settings.Target < 0 {
		problems.add(at(Target), "must not be negative")
	}
	if q.Timeout < 0 {
		problems.add(at(Timeout), "must not be negative")
	}
}

// checkAccounts adds the problems of the accounts.
func (p *Policy) checkAccounts(problems *Problems) {
	first := map[ident.Account]int{}
	for i, a := range p.Accounts {
		at := func(f Field) Place { return Place{Section: Accounts, Index: i, Field: f} }
		if other, ok := first[a.Name]; ok {
			problems.add(at(Name), "%q is also the name of account %d", a.Name, other)
		} else {
			first[a.Name] = i
		}
		if a.Name == "" {
			problems.add(at(Name), "must not be empty")
		}
		for _, key := range a.Keys {
			if key == "" {
				problems.add(at(Keys), "a key must not be empty")
			}
		}
		if a.Guarantee < 0 {
			problems.add(at(Guarantee), "must not be negative")
		}
	}
}
