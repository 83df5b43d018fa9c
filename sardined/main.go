// Command sardined runs an entry instance, one of several server processes that accept jobs and requests of client
// accounts, schedule the jobs and forward the requests to backend servers.
//
// The package uses these terms:
//
//   - The document is the configuration of an environment, with its client accounts and guarantees. Each accepted
//     document has a version.
//   - A domain is a data centre whose jobs are scheduled together. Its holder is the instance that has the domain's
//     lease and schedules the jobs.
//   - A member is an instance that this instance knows of and does not consider lost.
//   - The peer link is the connection between instances.
//   - The platform's list, or fleet list, contains the instances, backend servers and workers.
//   - A violation is a broken invariant that an instance has detected in operation.
package main

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"
)

// version is the version of the program. Builds set it through the linker.
var version = "devel"

// Exit codes of the program.
const (
	// exitOK follows a graceful shutdown, a valid settings file with --check, or the output of the help text or the
	// version.
	exitOK = iota
	// exitFailed follows an error at the start or during operation.
	exitFailed
	// exitBadSettings follows invalid flags, environment variables or settings files.
	exitBadSettings
)

// main runs the program with the arguments of the command line: the subcommand platform or, without it, an instance.
func main() {
	args := os.Args[1:]
	if len(args) > 0 && args[0] == platformCommand {
		os.Exit(runPlatform(args[1:]))
	}
	os.Exit(run(args))
}

// run parses the settings, runs an instance and returns the exit code.
func run(args []string) int {
	s, err := parseSettings(args)
	if err != nil {
		return reportParseError(err)
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

// memoryLimitPercent is the share of the allowed memory that is set as the runtime's soft memory limit. The rest is for the program and the
// buffers of connections.
const memoryLimitPercent = 60

// runDaemon runs an instance until it is interrupted or terminated by a signal.
func runDaemon(s settings, log hclog.Logger) error {
	debug.SetMemoryLimit(s.Limits.machine().MemoryBytes * memoryLimitPercent / 100)
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

// reportParseError prints the help text if it was asked for, and otherwise the error in the arguments. It returns the exit
// code.
func reportParseError(err error) int {
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		_, _ = os.Stdout.WriteString(help.Message + "\n")
		return exitOK
	}
	_, _ = os.Stderr.WriteString(err.Error() + "\n")
	return exitBadSettings
}
