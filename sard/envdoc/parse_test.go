package envdoc_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/fault"
)

// minimalDocument is a valid document with one account and one guarantee.
const minimalDocument = "Accounts:\n- Name: north\n  Guarantees:\n  - Accelerators: 64\n"

func TestParseReportsAllProblems(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{"empty", "", "1:1: the document is empty"},
		{"not a mapping", "- a", "1:1: must be a mapping, not a list"},
		{"syntax", "Accounts: [", "1:11: sequence end token ']' not found"},
		{"two documents", minimalDocument + "---\n" + minimalDocument, "6:1: the text must contain only one document"},
		{"directive", "%YAML 1.1\n---\n", "1:1: must be a mapping, not \"%YAML 1.1\""},
		{"anchor", "Accounts: &a [*a]", "1:11: Accounts: must be a plain value, not an anchor or alias\n1:11: Accounts: at least one client account is required"},
		{
			"unknown and duplicate keys",
			minimalDocument + "  Wieght: 2\nLimits: {MaxBody: 1, MaxBody: 2}\n",
			"5:3: Accounts[0].Wieght: unknown key; known keys are Name, Guarantees, Weight, MaxQueuedJobs, MaxWaitingRequests\n" +
				"6:22: Limits.MaxBody: duplicate key",
		},
		{
			"types",
			"Accounts:\n- Name: 7\n  Weight: heavy\n  Guarantees: 8\nLimits:\n  CheckpointGrace: soon\n",
			"2:9: Accounts[0].Name: must be text, not \"7\"\n" +
				"2:9: Accounts[0].Name: \"\" is not a valid name: use 1 to 63 characters from a-z, 0-9 and -, and start and end with a letter or digit\n" +
				"3:11: Accounts[0].Weight: must be an integer, not \"heavy\"\n" +
				"4:15: Accounts[0].Guarantees: must be a list, not \"8\"\n" +
				"6:20: Limits.CheckpointGrace: time: invalid duration \"soon\"",
		},
		{
			"accounts",
			"Accounts:\n- Name: north\n  Weight: -1\n- Name: north\n  Guarantees:\n  - {Accelerators: 0}\n  - {Accelerators: 257, Count: -1}\n",
			"3:11: Accounts[0].Weight: -1 is out of range: must be from 0 to 1000\n" +
				"4:9: Accounts[1].Name: \"north\" is already used by Accounts[0]\n" +
				"6:20: Accounts[1].Guarantees[0].Accelerators: 0 is out of range: must be from 1 to 256\n" +
				"7:20: Accounts[1].Guarantees[1].Accelerators: 257 is out of range: must be from 1 to 256\n" +
				"7:32: Accounts[1].Guarantees[1].Count: -1 is out of range: must be from 0 to 4096",
		},
		{
			"routes",
			minimalDocument + "Routes:\n- {Name: a, Path: /x, Class: Sometimes}\n- {Name: b, Path: /x, Timeout: 2h}\n- {Name: c, Path: /x/}\n",
			"6:30: Routes[0].Class: unknown name \"Sometimes\"\n" +
				"7:19: Routes[1].Path: \"/x\" is already used by Routes[0]\n" +
				"7:32: Routes[1].Timeout: 2h0m0s is out of range: must be from 0s to 1h0m0s\n" +
				"8:19: Routes[2].Path: must start with \"/\", have no empty, \".\" or \"..\" segments and not end with \"/\"",
		},
		{
			"objective",
			minimalDocument + "Objective: {CompletionTime: .nan, Fragmentation: -.5}\n",
			"5:29: Objective.CompletionTime: must be a number, not \".nan\"\n" +
				"5:50: Objective.Fragmentation: must be a finite number, 0 or greater",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, _, _, err := envdoc.Parse([]byte(tt.text))
			assert.Assert(t, fault.Is(err, fault.Invalid))
			var problems envdoc.Problems
			assert.Assert(t, errors.As(err, &problems))
			assert.Equal(t, problems.Error(), tt.want)
		})
	}
}

// TestMessagesRepeatExcerpts guards against messages that repeat a whole input, such as a binary file.
func TestMessagesRepeatExcerpts(t *testing.T) {
	long := strings.Repeat("x", 1<<16)
	tests := []struct{ name, text string }{
		{"not a document", "a\x00\x01" + long},
		{"control characters", strings.Repeat("\x00", 1<<16)},
		{"name", "Accounts:\n- Name: " + long},
		{"repeated names", "Accounts:\n- Name: " + long + "\n- Name: " + long},
		{"unknown key", long + ": 1"},
		{"number", "Accounts:\n- Weight: " + long},
		{"duration", minimalDocument + "Limits: {CheckpointGrace: " + long + "}"},
		{"class", minimalDocument + "Routes:\n- {Name: a, Path: /x, Class: " + long + "}"},
		{"path", minimalDocument + "Routes:\n- {Name: a, Path: /" + long + "}\n- {Name: b, Path: /" + long + "}"},
		{"syntax", "Accounts: {" + long},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, _, _, err := envdoc.Parse([]byte(tt.text))
			assert.Assert(t, err != nil)
			assert.Assert(t, len(err.Error()) < 2000, "%d bytes", len(err.Error()))
		})
	}
}

func TestDigestIgnoresFormatting(t *testing.T) {
	_, canonical, want, err := envdoc.Parse([]byte(minimalDocument))
	assert.NilError(t, err)
	tests := []struct {
		name string
		text string
		same bool
	}{
		{"comments", "# comment\n" + minimalDocument, true},
		{"flow style", "{Accounts: [{Name: north, Guarantees: [{Accelerators: 64}]}]}", true},
		{"explicit defaults", minimalDocument + "  Weight: 1\nPromotion: {ProvenFor: 10m}\n", true},
		{"canonical form", string(canonical), true},
		{"different weight", minimalDocument + "  Weight: 2\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, _, got, err := envdoc.Parse([]byte(tt.text))
			assert.NilError(t, err)
			assert.Equal(t, got == want, tt.same)
		})
	}
}

func TestDecodeChecksDigest(t *testing.T) {
	want, canonical, digest, err := envdoc.Parse([]byte(minimalDocument))
	assert.NilError(t, err)
	doc, err := envdoc.Decode(canonical, digest)
	assert.NilError(t, err)
	assert.DeepEqual(t, doc, want)
	_, err = envdoc.Decode(append(canonical, ' '), digest)
	assert.ErrorContains(t, err, "has digest")
}
