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

// shell starts a shell script and returns the path of its log.
func shell(t *testing.T, script string) (*Process, string) {
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

// await waits until a log holds a text.
func await(t *testing.T, log, want string) {
	t.Helper()
	for range 3000 {
		text, err := os.ReadFile(log)
		assert.NilError(t, err)
		if strings.Contains(string(text), want) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%q is not in the log", want)
}

func TestFailures(t *testing.T) {
	tests := []struct {
		name   string
		script string
		end    func(*Process)
		want   string
	}{
		{"ends by itself", "echo ready; exit 3", func(*Process) {}, "ended by itself"},
		{"stops well", "trap 'exit 0' TERM; echo ready; while :; do sleep 0.05; done", (*Process).Stop, ""},
		{"stops badly", "trap 'exit 1' TERM; echo ready; while :; do sleep 0.05; done", (*Process).Stop, "exit status 1"},
		{"is killed", "echo ready; while :; do sleep 0.05; done", (*Process).Kill, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, log := shell(t, test.script)
			await(t, log, "ready")
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

func TestOutputIsKeptWhileNobodyReads(t *testing.T) {
	p, log := shell(t, "sleep 0.3; echo hello; sleep 0.1")
	p.BlockOutput(time.Second)
	<-p.Done()
	await(t, log, "hello")
}
