package lint

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/policy"
	"github.com/sardineline/sardineline/sard/work"
)

// ChangeKind tells how an entry differs between two versions.
type ChangeKind int

// Kinds of changes. Removed entries come first, since they cut callers off.
const (
	// Removed is an entry that only the former version has.
	Removed ChangeKind = iota
	// Changed is a value that differs.
	Changed
	// Added is an entry that only the new version has.
	Added
)

// MarshalText formats k as String does.
func (k ChangeKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Change is a difference between two versions of a pool's configuration.
type Change struct {
	Kind ChangeKind
	// Entry names the entry, such as "queue quotes" or "key 1f0c2a77 of account north".
	Entry string
	// Field names the value of a Changed entry; Old and New are its values.
	Field    string `json:",omitempty"`
	Old, New string `json:",omitempty"`
}

// String formats c as a line of a diff: "-" for a removed entry, "~" for a changed value and "+" for an added entry.
func (c Change) String() string {
	switch c.Kind {
	case Removed:
		return "- " + c.Entry
	case Added:
		return "+ " + c.Entry
	default:
		return fmt.Sprintf("~ %s: %s: %s -> %s", c.Entry, c.Field, c.Old, c.New)
	}
}

// Diff returns the changes from one version of a pool's configuration to another, compared by names: removed entries
// first, then changed and added ones.
func Diff(from, to *policy.Policy) []Change {
	var changes []Change
	changes = diffEntries(changes, accountsByName(from), accountsByName(to), "account", accountFields)
	changes = diffEntries(changes, keysByName(from), keysByName(to), "key", noFields)
	changes = diffEntries(changes, queuesByName(from), queuesByName(to), "queue", queueFields)
	if old, now := from.Limits.MaxBodyBytes, to.Limits.MaxBodyBytes; old != now {
		changes = append(changes, Change{Kind: Changed, Entry: "limits", Field: policy.MaxBodyBytes.String(), Old: fmt.Sprint(old), New: fmt.Sprint(now)})
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Entry, b.Entry)) })
	return changes
}

// field is a named value of an entry as text.
type field struct {
	name  policy.Field
	value string
}

// diffEntries adds the changes between the entries of a kind, by name.
func diffEntries[K ~string, T any](changes []Change, from, to map[K]T, kind string, fields func(T) []field) []Change {
	for name, old := range from {
		entry := kind + " " + string(name)
		now, ok := to[name]
		if !ok {
			changes = append(changes, Change{Kind: Removed, Entry: entry})
			continue
		}
		after := fields(now)
		for i, f := range fields(old) {
			if f.value != after[i].value {
				changes = append(changes, Change{Kind: Changed, Entry: entry, Field: f.name.String(), Old: f.value, New: after[i].value})
			}
		}
	}
	for name := range to {
		if _, ok := from[name]; !ok {
			changes = append(changes, Change{Kind: Added, Entry: kind + " " + string(name)})
		}
	}
	return changes
}

// accountsByName returns the accounts of a policy.
func accountsByName(p *policy.Policy) map[ident.Account]policy.Account {
	accounts := map[ident.Account]policy.Account{}
	for _, a := range p.Accounts {
		accounts[a.Name] = a
	}
	return accounts
}

// accountFields returns the values of an account that are compared.
func accountFields(a policy.Account) []field {
	return []field{{policy.Guarantee, fmt.Sprint(a.Guarantee)}}
}

// keyName identifies an API key without showing it.
type keyName string

// keyNameDigits is the number of digits of a key's digest that identify it.
const keyNameDigits = 8

// keysByName returns the API keys of a policy.
func keysByName(p *policy.Policy) map[keyName]struct{} {
	keys := map[keyName]struct{}{}
	for _, a := range p.Accounts {
		for _, key := range a.Keys {
			digest := sha256.Sum256([]byte(key))
			name := fmt.Sprintf("%s of account %s", hex.EncodeToString(digest[:])[:keyNameDigits], a.Name)
			keys[keyName(name)] = struct{}{}
		}
	}
	return keys
}

// noFields returns no values, for entries that have only a name.
func noFields(struct{}) []field { return nil }

// queuesByName returns the queues of a policy.
func queuesByName(p *policy.Policy) map[work.QueueName]policy.Queue {
	queues := map[work.QueueName]policy.Queue{}
	for _, q := range p.Queues {
		queues[q.Name] = q
	}
	return queues
}

// queueFields returns the values of a queue that are compared.
func queueFields(q policy.Queue) []field {
	return []field{
		{policy.Host, q.Host},
		{policy.Prefix, q.Prefix},
		{policy.Service, string(q.Settings.Service)},
		{policy.Priority, fmt.Sprint(q.Settings.Priority)},
		{policy.Failures, fmt.Sprint(q.Settings.Failures)},
		{policy.Stretch, fmt.Sprint(q.Settings.Stretch)},
		{policy.Target, fmt.Sprint(q.Settings.Target)},
		{policy.Timeout, fmt.Sprint(q.Timeout)},
		{policy.Public, fmt.Sprint(q.Public)},
	}
}
