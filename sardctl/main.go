// Command sardctl is the command-line client for operators and client accounts.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

// version is set by the linker.
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

// reportError prints err, or the help or version that it carries, and returns the exit code.
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
