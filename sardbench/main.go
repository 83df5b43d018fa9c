// Command sardbench runs the benchmark suites and prints their figures. A figure is a named measured value, and may
// have a bound that it must not violate.
package main

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/jessevdk/go-flags"

	"github.com/sardineline/sardineline/sard/bench"
	"github.com/sardineline/sardineline/standin/costs"
)

// version is the version of the program. Builds set it through the linker.
var version = "devel"

// options are the command-line flags, which environment variables can also set.
type options struct {
	Suite   string `long:"suite" env:"SARDBENCH_SUITE" description:"Run the suites whose names start with this."`
	Known   string `long:"known-red" env:"SARDBENCH_KNOWN_RED" default:"KNOWN-RED.txt" description:"File of known faults; figures that it names as \"bench NAME\" don't fail the run."`
	Version bool   `long:"version" description:"Print the version and exit."`
}

func main() {
	os.Exit(run())
}

// run runs the benchmark suites and returns the exit code: 0 if no figure violates its bound except those listed as
// known failures, 1 if another figure does, and 2 for invalid options or an unreadable file of known failures.
func run() int {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return 0
		}
		return 2
	}
	if opts.Version {
		fmt.Fprintln(os.Stdout, version)
		return 0
	}
	failures := bench.Run(os.Stdout, slices.Concat(bench.Suites, costs.Suites), opts.Suite)
	knownFailures, err := bench.ReadKnownFailures(opts.Known)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if unlisted := knownFailures.Unlisted(os.Stdout, failures); len(unlisted) > 0 {
		return 1
	}
	return 0
}
