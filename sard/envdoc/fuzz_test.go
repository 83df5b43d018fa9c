package envdoc_test

import (
	"testing"

	"github.com/sardineline/sardineline/sard/envdoc"
)

// FuzzParse checks that any text is either rejected or has a canonical form that parses to the same digest.
func FuzzParse(f *testing.F) {
	seeds := []string{
		minimalDocument, "", "{}", "Accounts: !!str x", "Accounts: &a [*a]", "Accounts: [{<<: [1], Name: a}]", "Accounts:\n- ? a\n  : b",
		"!!map {Accounts: [{Name: a}]}", "Accounts: [{Name: a, Weight: 0x10}]", "Limits: {MaxBody: 99999999999999999999}",
		"Accounts: [{Name: |-\n  a}]", "Objective: {Fragmentation: .inf}\nAccounts: [{Name: a}]", "\"Accounts\": [{\"Name\": \"a\"}]", "- - -", ":", "? ? ?", "a: b: c", "%YAML 1.1\n---\n",
	}
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, canonical, digest, err := envdoc.Parse(text)
		if err != nil {
			return
		}
		if _, err := envdoc.Decode(canonical, digest); err != nil {
			t.Fatalf("canonical form of %+v: %v", doc, err)
		}
		_, _, reparsed, err := envdoc.Parse(canonical)
		if err != nil || reparsed != digest {
			t.Fatalf("canonical form parses to %s, %v; want %s", reparsed, err, digest)
		}
	})
}
