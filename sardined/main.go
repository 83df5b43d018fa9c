// Command sardined is the daemon of an entry instance.
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

// version is set when the program is built.
var version = "devel"

// The exit codes.
const (
	exitStopped = iota
	exitFailed
	exitSettings
)

func main() {
	args := os.Args[1:]
	if len(args) > 0 && args[0] == platformCommand {
		os.Exit(runPlatform(args[1:]))
	}
	os.Exit(run(args))
}

func run(args []string) int {
	s, err := parseSettings(args)
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		_, _ = os.Stdout.WriteString(help.Message + "\n")
		return exitStopped
	}
	if err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		return exitSettings
	}
	if s.Version {
		_, _ = os.Stdout.WriteString("sardined " + version + "\n")
		return exitStopped
	}
	// net/http writes the bytes of unsolicited answers to the standard logger; they belong to callers.
	stdlog.SetOutput(io.Discard)
	log := hclog.New(&hclog.LoggerOptions{Name: "sardined", Level: hclog.LevelFromString(s.Log.Level), JSONFormat: s.Log.JSON})
	if err := serve(s, log); err != nil {
		log.Error("instance failed", "error", err)
		return exitFailed
	}
	return exitStopped
}

func serve(s settings, log hclog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	linked, unlink := context.WithCancel(context.Background())
	defer unlink()
	d, err := newDaemon(linked, s, &tcp{}, log)
	if err != nil {
		return err
	}
	return d.run(ctx)
}
