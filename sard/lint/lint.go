// Package lint checks the configuration of a pool, and the document of an environment, before they are sent. It reports
// errors, entries that can have no effect, limits that contradict each other, and what differs from another version. It
// does no I/O.
package lint

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/sardineline/sardineline/sard/policy"
)

//go:generate go tool stringer -type=Severity,Rule,ChangeKind -output=enums_string.go

// Severity tells what becomes of a configuration with a finding.
type Severity int

// Severities of findings.
const (
	// Error means that instances refuse the configuration.
	Error Severity = iota
	// Warning means that instances accept the configuration, but an entry does not do what its author may expect.
	Warning
)

// MarshalText formats s as String does.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Rule is the kind of a finding.
type Rule int

// Kinds of findings.
const (
	// Invalid is content that can't be read, a name that is given twice, or a value out of range.
	Invalid Rule = iota
	// UnknownField is a field that is ignored.
	UnknownField
	// RepeatedField is a field that occurs twice in one object, of which the last one counts.
	RepeatedField
	// Unreachable is a queue that no request can reach.
	Unreachable
	// Shadowed is a queue of which another queue takes over a share of the requests.
	Shadowed
	// RepeatedKey is an API key that is given more than once, of which the last one counts.
	RepeatedKey
	// NoCaller is a queue that no account can call, or an account without a key.
	NoCaller
	// NoWorker is a queue of a service without workers.
	NoWorker
	// Shortage is a guarantee, or a sum of guarantees, that the workers can't meet.
	Shortage
	// Contradiction is a limit that makes another setting ineffective.
	Contradiction
)

// MarshalText formats r as String does.
func (r Rule) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// Finding is a single result of a check.
type Finding struct {
	Severity Severity
	Rule     Rule
	// Path locates the value in the file; empty for the whole file.
	Path string
	// Line is the line of the value, starting from 1; 0 if it is not known.
	Line    int
	Message string
}

// String formats f as a line of text.
func (f Finding) String() string {
	text := fmt.Sprintf("%s: %s: %s", f.Severity, f.Rule, f.Message)
	if f.Path != "" {
		text = f.Path + ": " + text
	}
	if f.Line > 0 {
		text = fmt.Sprintf("%d: %s", f.Line, text)
	}
	return text
}

// Sort orders findings by severity, errors first, and then by line and path.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path))
	})
}

// Locator returns the path and the line of a value in the file that a policy was read from.
type Locator func(policy.Place) (path string, line int)
