// Command sardctl is the command-line client for operators and client accounts.
//
// The package uses these terms:
//
//   - An instance is one of the server processes of an environment.
//   - A document is the configuration of an environment, such as its client accounts and their guaranteed capacity.
//     Each accepted document has a version; the version in force is the one that the instances use.
//   - A proof states that a document has been in force on all instances of an environment, the trial environment,
//     without invariant violations. Promotion submits that document with its proof to another environment.
//   - A domain is a data centre whose jobs are scheduled together; its holder is the instance that schedules them.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

// version is the version of the program. Builds set it through the linker.
var version = "devel"

// main runs the command line and exits.
func main() {
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// run executes a command line and returns the exit code.
func run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	s := &session{stdin: stdin, stdout: stdout, stderr: stderr}
	parser, err := newParser(s)
	if err != nil {
		fmt.Fprintln(stderr, "sardctl:", err)
		return exitFailure
	}
	_, err = parser.ParseArgs(args)
	return reportError(err, stdout, stderr)
}

// reportError prints err to stderr, or to stdout if it carries the help text or the version, and returns the exit code.
func reportError(err error, stdout, stderr io.Writer) int {
	if err == nil {
		return exitOK
	}
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, flagsErr.Message)
		return exitOK
	}
	fmt.Fprintln(stderr, "sardctl:", formatError(err))
	return exitCode(err)
}
