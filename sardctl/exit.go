package main

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/oper"
)

// The exit codes.
const (
	exitOK = iota
	exitFailure
	exitUsage
	exitInvalid
	exitDenied
	exitNotFound
	exitConflict
	exitNotDone
	exitUnknown
	exitJobFailed
)

const exitCodesHelp = `Command line of sardineline.

Exit codes: 0 done; 1 other failure; 2 wrong command line; 3 refused as invalid; 4 not allowed; 5 not found;
6 conflict, another change won; 7 not done, try again later; 8 unknown whether it was done; 9 a job did not succeed.`

// replyError is an error that an instance answered with.
type replyError struct {
	oper.ErrorResponse
	status int
}

func (e *replyError) Error() string {
	if e.ErrorResponse.Error == "" {
		return fmt.Sprintf("status %d", e.status)
	}
	return e.ErrorResponse.Error
}

// transportError tells that no instance answered.
type transportError struct {
	method string
	url    string
	// sent tells that an instance may have got the call.
	sent  bool
	cause error
}

func (e *transportError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.method, e.url, e.cause)
}

func (e *transportError) Unwrap() error { return e.cause }

// jobError tells that a job ended without success.
type jobError struct{ message string }

func (e *jobError) Error() string { return e.message }

var kindCodes = map[string]int{
	fault.Invalid.String():        exitInvalid,
	fault.Denied.String():         exitDenied,
	fault.NotFound.String():       exitNotFound,
	fault.Conflict.String():       exitConflict,
	fault.Throttled.String():      exitNotDone,
	fault.Unavailable.String():    exitNotDone,
	fault.OutcomeUnknown.String(): exitUnknown,
}

func exitCode(err error) int {
	var (
		usage     *flags.Error
		answered  *replyError
		transport *transportError
		job       *jobError
		local     *fault.Error
	)
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &answered):
		if answered.status == statusUnauthorized {
			return exitDenied
		}
		return max(kindCodes[answered.Kind], exitFailure)
	case errors.As(err, &transport) && transport.sent:
		return exitUnknown
	case errors.As(err, &transport):
		return exitNotDone
	case errors.As(err, &job):
		return exitJobFailed
	case errors.As(err, &local):
		return max(kindCodes[local.Kind.String()], exitFailure)
	}
	return exitFailure
}

// explainError tells what went wrong, where, and what to do.
func explainError(err error) string {
	lines := []string{err.Error()}
	var answered *replyError
	if errors.As(err, &answered) {
		for _, p := range answered.Problems {
			lines = append(lines, "  "+p.String())
		}
		for _, c := range answered.Changes {
			lines = append(lines, "  "+c.String())
		}
	}
	if hint := hintFor(exitCode(err), err); hint != "" {
		lines = append(lines, hint)
	}
	return strings.Join(lines, "\n")
}

func hintFor(code int, err error) string {
	var local *fault.Error
	if errors.As(err, &local) {
		return ""
	}
	switch code {
	case exitDenied:
		return "Check --token (SARDINE_TOKEN): operators' and client accounts' tokens are for different calls."
	case exitConflict:
		var answered *replyError
		if errors.As(err, &answered) && answered.Winner != nil {
			return fmt.Sprintf("Look at what won (sardctl document --of-version %d), then apply with --based-on %d.", answered.Winner.Version, answered.Winner.Version)
		}
	case exitNotDone:
		return "Nothing was changed. Check --address (SARDINE_ADDRESS) and try again."
	case exitUnknown:
		return "It may have been done: look before you repeat it (sardctl history, sardctl list)."
	}
	return ""
}
