// Command sardined runs an entry instance.
package main

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"
)

// version is set by the linker.
var version = "devel"

// The exit codes.
const (
	// exitOK follows a graceful shutdown, or output that was asked for.
	exitOK = iota
	// exitFailed follows a failure at start or in operation.
	exitFailed
	// exitBadSettings follows invalid flags, environment variables or settings files.
	exitBadSettings
)

// main runs the platform command or the daemon.
func main() {
	args := os.Args[1:]
	if len(args) > 0 && args[0] == platformCommand {
		os.Exit(runPlatform(args[1:]))
	}
	os.Exit(run(args))
}

// run parses the settings, runs the daemon and returns the exit code.
func run(args []string) int {
	s, err := parseSettings(args)
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		_, _ = os.Stdout.WriteString(help.Message + "\n")
		return exitOK
	}
	if err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		return exitBadSettings
	}
	if s.Version {
		_, _ = os.Stdout.WriteString("sardined " + version + "\n")
		return exitOK
	}
	// net/http logs the content of unsolicited responses to the standard logger, and that content belongs to callers.
	stdlog.SetOutput(io.Discard)
	log := hclog.New(&hclog.LoggerOptions{Name: "sardined", Level: hclog.LevelFromString(s.Log.Level), JSONFormat: s.Log.JSON})
	if err := runDaemon(s, log); err != nil {
		log.Error("instance failed", "error", err)
		return exitFailed
	}
	return exitOK
}

// runDaemon runs an instance until it is interrupted or terminated by a signal.
func runDaemon(s settings, log hclog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	linkCtx, closeLink := context.WithCancel(context.Background())
	defer closeLink()
	d, err := newDaemon(linkCtx, s, &tcp{}, log)
	if err != nil {
		return err
	}
	return d.run(ctx)
}
