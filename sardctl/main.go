// Command sardctl is the command line of operators and callers.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

// version is set when the program is linked.
var version = "devel"

func main() {
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// run executes a command line and returns the exit code.
func run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	s := &session{in: stdin, out: stdout, err: stderr}
	parser, err := newParser(s)
	if err != nil {
		fmt.Fprintln(stderr, "sardctl:", err)
		return exitFailure
	}
	_, err = parser.ParseArgs(args)
	return report(err, stdout, stderr)
}

// report prints err and returns its exit code.
func report(err error, stdout, stderr io.Writer) int {
	if err == nil {
		return exitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, usage.Message)
		return exitOK
	}
	fmt.Fprintln(stderr, "sardctl:", explainError(err))
	return exitCode(err)
}
