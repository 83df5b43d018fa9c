package main

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// poolConfig is a configuration of a pool with one warning.
const poolConfig = `{"version": 2, "routes": [{"name": "q", "host": "h", "prefix": "/q/", "service": "s", "attempts": 1, "stretch": 3, "priority": 1}],
"services": [{"name": "s"}], "tenants": [{"name": "a", "api_keys": ["k"], "guaranteed": {"gpu": 16}}, {"name": "b", "api_keys": []}]}`

// TestCheckWithoutConnection checks exit codes and output of the command check, which must not need an instance.
func TestCheckWithoutConnection(t *testing.T) {
	inventory := writeDocument(t, "Workers:\n- {Service: s, DataCentre: d, Rack: r, Count: 1, Accelerators: 8}\n")
	former := writeDocument(t, strings.ReplaceAll(poolConfig, `"q"`, `"old"`))
	tests := []struct {
		name  string
		args  []string
		stdin string
		code  int
		want  string
	}{
		{"documents of the repository", []string{"../documents/kowhai.yaml"}, "", exitOK, "no findings"},
		{"documents of the repository", []string{"../documents/observatory.yaml"}, "", exitOK, "no findings"},
		{"unknown key of a document", []string{"-"}, "Acounts: []", exitInvalid, "1: Acounts: Error: Invalid: unknown key"},
		{"guarantee that fits nowhere", []string{"--inventory", inventory, "-"}, "Accounts:\n- {Name: n, Guarantees: [{Accelerators: 16}]}\n", exitInvalid, "Accounts: Error: Shortage"},
		{"warning", []string{"-"}, poolConfig, exitOK, `tenants[1].api_keys: Warning: NoCaller: account "b" has no key`},
		{"warning with strict", []string{"--strict", "-"}, poolConfig, exitInvalid, "findings that count as errors: 1"},
		{"guarantee over the workers", []string{"--inventory", inventory, "-"}, poolConfig, exitOK, "tenants[0].guaranteed.gpu: Warning: Shortage: 16 accelerators are guaranteed, the workers have 8"},
		{"changes", []string{"--against", former, "-"}, poolConfig, exitOK, "- queue old\n+ queue q\n"},
		{"changes of a document", []string{"--against", "../documents/kowhai.yaml", "../documents/observatory.yaml"}, "", exitOK, "- Accounts[customer-desk]"},
		{"typed findings", []string{"-o", "json", "-"}, poolConfig, exitOK, `"Rule": "NoCaller"`},
		{"truncated configuration", []string{"-"}, poolConfig[:90], exitInvalid, "1: Error: Invalid: the file ends within a value"},
		{"inventory with an unknown key", []string{"--inventory", "../documents/kowhai.yaml", "-"}, poolConfig, exitInvalid, "read inventory"},
		{"empty file", []string{"--kind", "pool", "-"}, "", exitInvalid, "the file ends within a value"},
		{"missing file", []string{"/nonexistent"}, "", exitInvalid, "no such file"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			code := run(append([]string{"--address", "http://127.0.0.1:1", "check"}, test.args...), strings.NewReader(test.stdin), &out, &out)
			assert.Equal(t, code, test.code, out.String())
			assert.Assert(t, strings.Contains(out.String(), test.want), out.String())
		})
	}
}
