// Command rig2 holds the stand-ins and the cases of the second review: a table store, executors, a proxy before each of
// them, clients, and the cases that put them together with real processes of the product.
//
//	rig2 case NAME FOLDER   plays a case and writes FOLDER/record.txt
//	rig2 executor ...       is started by a case
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases are the cases by their names. The file of each case adds it.
var cases = map[string]func(*rig) error{}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "executor" {
		os.Exit(runExecutor(os.Args[2:]))
	}
	if len(os.Args) != 4 || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 case NAME FOLDER")
		os.Exit(exitCannotRun)
	}
	os.Exit(playCase(cases[os.Args[2]], os.Args[3]))
}

// playCase plays a case and returns its exit code.
func playCase(play func(*rig) error, folder string) int {
	r, err := newRig(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "can't run:", err)
		return exitCannotRun
	}
	defer r.close()
	r.endOnSignal()
	err = play(r)
	var broken brokenError
	switch {
	case err == nil:
		r.record.note("verdict", "the rule held")
		return exitHeld
	case errors.As(err, &broken):
		r.record.note("verdict", "broken: "+broken.Error())
		return exitBroken
	default:
		r.record.note("verdict", "the case could not run: "+err.Error())
		return exitCannotRun
	}
}

// brokenError says how a rule was broken.
type brokenError string

// Error returns the description.
func (b brokenError) Error() string { return string(b) }

// broken returns a brokenError.
func broken(format string, args ...any) error { return brokenError(fmt.Sprintf(format, args...)) }
