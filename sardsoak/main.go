// Command sardsoak runs random jobs against real processes, injects random faults and checks the invariants of the
// scheduler. A seed determines the random choices of one run. The program ends only processes that it started.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"

	"github.com/sardineline/sardineline/sardsoak/play"
)

// version is the version of the program. Builds set it through the linker.
var version = "devel"

// options are the command-line flags, which environment variables can also set.
type options struct {
	Seed          uint64        `long:"seed" env:"SARDSOAK_SEED" default:"1" description:"First seed."`
	Seeds         int           `long:"seeds" env:"SARDSOAK_SEEDS" default:"1" description:"Number of seeds to run, one after the other."`
	Span          time.Duration `long:"span" env:"SARDSOAK_SPAN" default:"40s" description:"How long jobs are submitted and faults are injected for each seed."`
	Program       string        `long:"program" env:"SARDSOAK_PROGRAM" default:".bin/sardined" description:"The daemon."`
	Dir           string        `long:"dir" env:"SARDSOAK_DIR" default:".run/soak" description:"Folder for settings and logs; a folder for each seed is made in it."`
	Instances     int           `long:"instances" env:"SARDSOAK_INSTANCES" default:"5" description:"Entry instances, each a process."`
	Workers       int           `long:"workers" env:"SARDSOAK_WORKERS" default:"16" description:"Workers of 8 accelerators."`
	Jobs          float64       `long:"jobs" env:"SARDSOAK_JOBS" default:"2.5" description:"Jobs a second."`
	Features      []string      `long:"feature" env:"SARDSOAK_FEATURES" env-delim:"," default:"run-times" default:"worker-speeds" default:"worker-speeds-min-racks=1" default:"admission" default:"store-check" description:"Optional feature of the pool that the daemon switches on; may be repeated."`
	FaultInterval time.Duration `long:"trouble-every" env:"SARDSOAK_TROUBLE_EVERY" default:"1500ms" description:"Mean time between the starts of two faults; 0 for no faults."`
	Untimed       bool          `long:"untimed" env:"SARDSOAK_UNTIMED" description:"Don't check invariants with a time limit; for overloaded machines."`
	Keep          bool          `long:"keep" env:"SARDSOAK_KEEP" description:"Keep the logs of seeds without violations too."`
	Version       bool          `long:"version" description:"Print the version and exit."`
}

// Exit codes of the program.
const (
	exitOK         = 0
	exitViolations = 1
	exitBadOptions = 2
)

// main runs the program and exits.
func main() {
	os.Exit(run())
}

// run parses the flags, runs all seeds one after another and returns the exit code.
func run() int {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return exitOK
		}
		return exitBadOptions
	}
	if opts.Version {
		_, _ = fmt.Fprintln(os.Stdout, version)
		return exitOK
	}
	if err := opts.validate(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitBadOptions
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := exitOK
	for seed := opts.Seed; seed < opts.Seed+uint64(opts.Seeds) && ctx.Err() == nil; seed++ {
		if !opts.runSeed(ctx, seed) {
			code = exitViolations
		}
	}
	return code
}

// validate checks the values of the flags.
func (o *options) validate() error {
	switch {
	case o.Instances < 1 || o.Workers < 1 || o.Seeds < 1:
		return errors.New("instances, workers and seeds must be 1 or more")
	case o.Span <= 0 || o.Jobs <= 0 || o.FaultInterval < 0:
		return errors.New("span and jobs must be positive, trouble-every must not be negative")
	}
	if _, err := os.Stat(o.Program); err != nil {
		return fmt.Errorf("program: %w", err)
	}
	return nil
}

// features returns the flags of the daemon that switch on the features.
func (o *options) features() []string {
	var args []string
	for _, feature := range o.Features {
		args = append(args, "--pool."+feature)
	}
	return args
}

// runSeed runs jobs and faults with one seed, prints the report and returns whether no invariant was violated.
func (o *options) runSeed(ctx context.Context, seed uint64) bool {
	dir := filepath.Join(o.Dir, fmt.Sprintf("seed-%d", seed))
	log, err := createLog(dir)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return false
	}
	defer func() { _ = log.Close() }()
	report, err := play.Run(ctx, play.Config{
		Seed: seed, Duration: o.Span, Program: o.Program, Dir: dir, Instances: o.Instances, Workers: o.Workers,
		Features: o.features(), JobsPerSecond: o.Jobs, FaultInterval: o.FaultInterval, CheckTiming: !o.Untimed,
		Logger: hclog.New(&hclog.LoggerOptions{Name: "soak", Output: log, JSONFormat: true}),
	})
	if err != nil {
		_, _ = fmt.Fprintf(os.Stdout, "seed %d: run failed: %v\n", seed, err)
		return false
	}
	_, _ = fmt.Fprintln(os.Stdout, report)
	if len(report.Violations) > 0 {
		_, _ = fmt.Fprintf(os.Stdout, "\tsettings, logs and injected faults are in %s\n", dir)
		return false
	}
	if !o.Keep {
		if err := os.RemoveAll(dir); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
		}
	}
	return true
}

// createLog creates an empty directory for the logs of a seed, and in it the log of the faults that are injected.
func createLog(dir string) (*os.File, error) {
	if err := errors.Join(os.RemoveAll(dir), os.MkdirAll(dir, 0o755)); err != nil {
		return nil, err
	}
	return os.Create(filepath.Join(dir, "troubles.log"))
}
