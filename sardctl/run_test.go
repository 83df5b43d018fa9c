package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/creds"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/oper"
	"github.com/sardineline/sardineline/sard/table"
)

// document is a valid document that may be promoted once it has been in force for 1 ms.
const document = "Accounts:\n- Name: north\nPromotion: {ProvenFor: 1ms}\n"

// fakeSystem fakes the services that the operators' API needs besides the configuration agent.
type fakeSystem struct {
	gang.JobService
	agent *config.Agent
}

// Status returns one instance, which runs the version that the agent has in force.
func (f *fakeSystem) Status(context.Context) (oper.StatusView, error) {
	r := f.agent.Report()
	return oper.StatusView{Version: r.Version, Instances: []oper.InstanceStatus{{Name: "i1", Version: r.Version, Digest: r.Digest}}}, nil
}

// Drain succeeds only for instance i1.
func (f *fakeSystem) Drain(_ context.Context, instance ident.Instance) error {
	if instance != "i1" {
		return fault.New(fault.NotFound, "drain", "", "no instance %s", instance)
	}
	return nil
}

// List returns one job, which is running.
func (f *fakeSystem) List(context.Context, ident.Account) ([]gang.JobView, error) {
	return []gang.JobView{{ID: "j1", Account: "north", State: ident.Running}}, nil
}

// startServer serves the operators' API with an empty table in memory and returns its URL. The bearer token of the
// operator is "t".
func startServer(t *testing.T, cfg config.Config) string {
	t.Helper()
	tokens, err := creds.NewTokens([]creds.TokenEntry{{Sha256: creds.HashToken("t"), Operator: "ana"}})
	assert.NilError(t, err)
	cfg.Store = &table.Memory{}
	agent := config.New(cfg)
	system := &fakeSystem{agent: agent}
	e := echo.New()
	oper.New(oper.Config{Tokens: tokens, Agent: agent, Jobs: system, StatusSource: system, Drainer: system}).Register(e)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return server.URL
}

// writeDocument writes a document to a temporary file and returns its path.
func writeDocument(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "document.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// runCommand runs a sardctl command line against the server at url and returns its exit code and output.
func runCommand(url string, args ...string) (int, string) {
	var out bytes.Buffer
	args = append([]string{"--address", url, "--token", "t"}, args...)
	code := run(args, strings.NewReader(""), &out, &out)
	return code, out.String()
}

// TestOperatorCommands checks the exit codes and output of a sequence of commands, each of which depends on those
// before it.
func TestOperatorCommands(t *testing.T) {
	url := startServer(t, config.Config{})
	good := writeDocument(t, document)
	steps := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"nothing in force", []string{"document"}, exitNotFound, "no document is in force"},
		{"diff", []string{"diff", good}, exitOK, "+ Accounts[north].Weight: 1"},
		{"apply", []string{"apply", good}, exitOK, "ana"},
		{"apply again", []string{"apply", good}, exitOK, "already in force"},
		{"bad document", []string{"apply", writeDocument(t, "Acounts: []")}, exitInvalid, "1:1: Acounts: unknown key"},
		{"stale base", []string{"apply", "--based-on", "0", writeDocument(t, document+"Limits: {MaxBody: 7}\n")}, exitConflict, "~ Limits.MaxBody: 1048576 -> 7"},
		{"second version", []string{"apply", "--based-on", "1", writeDocument(t, document+"Limits: {MaxBody: 7}\n")}, exitOK, "2"},
		{"restore", []string{"restore", "1"}, exitOK, "3"},
		{"history", []string{"history"}, exitOK, "content of version 1"},
		{"document", []string{"document", "--of-version", "2"}, exitOK, "MaxBody: 7"},
		{"status", []string{"-o", "json", "status"}, exitOK, `"Version": 3`},
		{"jobs", []string{"list", "--all"}, exitOK, "Running"},
		{"drain", []string{"drain", "i1"}, exitOK, "i1 is draining"},
		{"drain unknown", []string{"drain", "i2"}, exitNotFound, "no instance i2"},
		{"wrong command", []string{"aply"}, exitUsage, "Unknown command `aply'"},
		{"missing file", []string{"apply", "/nonexistent"}, exitInvalid, "no such file"},
		{"version", []string{"--version"}, exitOK, ""},
	}
	for _, tt := range steps {
		t.Run(tt.name, func(t *testing.T) {
			code, out := runCommand(url, tt.args...)
			assert.Equal(t, code, tt.code, out)
			assert.Assert(t, strings.Contains(out, tt.want), out)
		})
	}
}

// TestPromoteCarriesProof checks that an environment that requires a proof accepts a document only by promotion from an
// environment with the same promotion key.
func TestPromoteCarriesProof(t *testing.T) {
	key := []byte("shared")
	trial := startServer(t, config.Config{PromotionKey: key})
	production := startServer(t, config.Config{PromotionKey: key, RequireProof: true})
	other := startServer(t, config.Config{PromotionKey: []byte("other"), RequireProof: true})
	good := writeDocument(t, document)
	code, out := runCommand(trial, "apply", good)
	assert.Equal(t, code, exitOK, out)
	code, out = runCommand(production, "apply", good)
	assert.Equal(t, code, exitDenied, out)
	code, out = runCommand(other, "promote", "--wait", "--trial-address", trial, "--trial-token", "t")
	assert.Equal(t, code, exitDenied, out)
	code, out = runCommand(production, "promote", "--wait", "--trial-address", trial, "--trial-token", "t")
	assert.Equal(t, code, exitOK, out)
	_, want := runCommand(trial, "document")
	_, got := runCommand(production, "document")
	assert.Equal(t, got, want)
}

// TestUnreachableInstanceIsSkipped checks that a command uses the next address when the instance at the first one is
// down.
func TestUnreachableInstanceIsSkipped(t *testing.T) {
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	code, out := runCommand(dead.URL, "--address", startServer(t, config.Config{}), "status")
	assert.Equal(t, code, exitOK, out)
	code, out = runCommand(dead.URL, "status")
	assert.Equal(t, code, exitUnavailable, out)
}
