package main

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/oper"
)

// Exit codes of the program, explained in exitCodesHelp.
const (
	exitOK = iota
	exitFailure
	exitUsage
	exitInvalid
	exitDenied
	exitNotFound
	exitConflict
	exitUnavailable
	exitOutcomeUnknown
	exitJobFailed
)

// exitCodesHelp is the description at the start of the help text, which lists the exit codes.
const exitCodesHelp = `Command line of sardineline.

Exit codes: 0 done; 1 other failure; 2 wrong command line; 3 refused as invalid; 4 not allowed; 5 not found;
6 conflict, another change won; 7 not done, try again later; 8 unknown whether it was done; 9 a job did not succeed.`

// replyError is an error response of an instance with its HTTP status.
type replyError struct {
	oper.ErrorResponse
	status int
}

// Error returns the message of the error response, or its HTTP status if it has none.
func (e *replyError) Error() string {
	if e.ErrorResponse.Error == "" {
		return fmt.Sprintf("status %d", e.status)
	}
	return e.ErrorResponse.Error
}

// transportError means that a call got no complete response.
type transportError struct {
	method string
	url    string
	// maybeSent reports whether an instance may have received the call.
	maybeSent bool
	cause     error
}

// Error returns the method and URL of the call and the cause of its failure.
func (e *transportError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.method, e.url, e.cause)
}

// Unwrap returns the cause of the failure.
func (e *transportError) Unwrap() error { return e.cause }

// jobError means that a job did not succeed, or had not ended before a deadline.
type jobError struct{ message string }

// Error returns a message that names the job.
func (e *jobError) Error() string { return e.message }

// exitCodeByKind maps the kind of an error, as package fault names it, to an exit code. Kinds that are missing have the
// code exitFailure.
var exitCodeByKind = map[string]int{
	fault.Invalid.String():        exitInvalid,
	fault.Denied.String():         exitDenied,
	fault.NotFound.String():       exitNotFound,
	fault.Conflict.String():       exitConflict,
	fault.Throttled.String():      exitUnavailable,
	fault.Unavailable.String():    exitUnavailable,
	fault.OutcomeUnknown.String(): exitOutcomeUnknown,
}

// exitCode returns the exit code of the program for an error of a command.
func exitCode(err error) int {
	var (
		flagsErr     *flags.Error
		replyErr     *replyError
		transportErr *transportError
		jobErr       *jobError
		faultErr     *fault.Error
	)
	switch {
	case errors.As(err, &flagsErr):
		return exitUsage
	case errors.As(err, &replyErr):
		if replyErr.status == statusUnauthorized {
			return exitDenied
		}
		return max(exitCodeByKind[replyErr.Kind], exitFailure)
	case errors.As(err, &transportErr) && transportErr.maybeSent:
		return exitOutcomeUnknown
	case errors.As(err, &transportErr):
		return exitUnavailable
	case errors.As(err, &jobErr):
		return exitJobFailed
	case errors.As(err, &faultErr):
		return max(exitCodeByKind[faultErr.Kind.String()], exitFailure)
	}
	return exitFailure
}

// formatError returns the text to print for an error: its message, the problems or changes that the error response
// lists, and a hint.
func formatError(err error) string {
	lines := []string{err.Error()}
	var replyErr *replyError
	if errors.As(err, &replyErr) {
		for _, p := range replyErr.Problems {
			lines = append(lines, "  "+p.String())
		}
		for _, c := range replyErr.Changes {
			lines = append(lines, "  "+c.String())
		}
	}
	if hint := hintFor(exitCode(err), err); hint != "" {
		lines = append(lines, hint)
	}
	return strings.Join(lines, "\n")
}

// hintFor returns a hint on what the user can do about an error that leads to the exit code, or "".
func hintFor(code int, err error) string {
	var faultErr *fault.Error
	if errors.As(err, &faultErr) {
		return ""
	}
	switch code {
	case exitDenied:
		return "Check --token (SARDINE_TOKEN): operators' and client accounts' tokens are for different calls."
	case exitConflict:
		var replyErr *replyError
		if errors.As(err, &replyErr) && replyErr.Winner != nil {
			return fmt.Sprintf("Inspect the version that won (sardctl document --of-version %d), then apply with --based-on %d.", replyErr.Winner.Version, replyErr.Winner.Version)
		}
	case exitUnavailable:
		return "Nothing was changed. Check --address (SARDINE_ADDRESS) and try again."
	case exitOutcomeUnknown:
		return "The command may have taken effect: check before you repeat it (sardctl history, sardctl list)."
	}
	return ""
}
