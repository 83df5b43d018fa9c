package main

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPlatformCheck checks the exit codes of the subcommand platform when it starts no instance.
func TestPlatformCheck(t *testing.T) {
	settingsPath := filepath.Join(t.TempDir(), "node.toml")
	assert.NilError(t, os.WriteFile(settingsPath, []byte(`
node = "i1"
zone = "z"
ip = "10.0.0.1"
port_range = [7000, 7015]
[listen]
front = "10.0.0.1:8521"
ready = "10.0.0.1:8523"
[bounds]
hold_max_ms = 6000
stop_ms = 400
grace_s = 6
revoke_ms = 5000
status_s = 120
[platform]
address = "10.0.0.2:8524"
form = "table"
`), 0o600))
	tests := []struct {
		name string
		args []string
		want int
	}{
		{"good", []string{"--check", "--settings", settingsPath}, exitOK},
		{"missing file", []string{"--check", "--settings", settingsPath + "x"}, exitBadSettings},
		{"unknown flag", []string{"--chek"}, exitBadSettings},
		{"help", []string{"--help"}, exitOK},
	}
	for _, test := range tests {
		assert.Equal(t, runPlatform(test.args), test.want, test.name)
	}
}
