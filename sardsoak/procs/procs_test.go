package procs

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// startShell starts a process that runs a shell script, and returns the process and the path of its log.
func startShell(t *testing.T, script string) (*Process, string) {
	var group errgroup.Group
	log := filepath.Join(t.TempDir(), "log")
	p, err := Start(Config{Program: "/bin/sh", Args: []string{"-c", script}, LogPath: log, Group: &group})
	assert.NilError(t, err)
	t.Cleanup(func() {
		p.Kill()
		assert.NilError(t, group.Wait())
	})
	return p, log
}

// waitForLog waits until the log at a path contains the text want.
func waitForLog(t *testing.T, log, want string) {
	t.Helper()
	for range 3000 {
		text, err := os.ReadFile(log)
		assert.NilError(t, err)
		if strings.Contains(string(text), want) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%q was not written to the log", want)
}

// TestErrOfEndedProcess checks for each way to end a process whether Err returns an error.
func TestErrOfEndedProcess(t *testing.T) {
	tests := []struct {
		name   string
		script string
		end    func(*Process)
		want   string
	}{
		{"exits unexpectedly", "echo ready; exit 3", func(*Process) {}, "exited unexpectedly"},
		{"stops with success", "trap 'exit 0' TERM; echo ready; while :; do sleep 0.05; done", (*Process).Stop, ""},
		{"stops with failure", "trap 'exit 1' TERM; echo ready; while :; do sleep 0.05; done", (*Process).Stop, "exit status 1"},
		{"is killed", "echo ready; while :; do sleep 0.05; done", (*Process).Kill, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, log := startShell(t, test.script)
			waitForLog(t, log, "ready")
			test.end(p)
			<-p.Done()
			if test.want == "" {
				assert.NilError(t, p.Err())
				return
			}
			assert.ErrorContains(t, p.Err(), test.want)
		})
	}
}

// TestBlockedOutputIsKept checks that output is logged even if the process ends while its output is not read.
func TestBlockedOutputIsKept(t *testing.T) {
	p, log := startShell(t, "sleep 0.3; echo hello; sleep 0.1")
	p.BlockOutput(time.Second)
	<-p.Done()
	waitForLog(t, log, "hello")
}
