package main

import (
	"fmt"
	"io"
	"net/http"

	"github.com/sardineline/sardineline/sard/caller"
	"github.com/sardineline/sardineline/sard/ident"
)

// requestPrefix is the path prefix of requests that are forwarded to backend servers.
const requestPrefix = "/r"

// printedResponse is the JSON output for the response to a request. Outcome says whether the request ran.
type printedResponse struct {
	Status  int
	Outcome string
	Body    string
}

// printResponse prints the response to a request. With table output, the body goes to standard output, and the status
// and outcome go to standard error.
func (s *session) printResponse(resp *http.Response) error {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return &transportError{method: resp.Request.Method, url: resp.Request.URL.String(), maybeSent: true, cause: err}
	}
	a := printedResponse{Status: resp.StatusCode, Outcome: resp.Header.Get(caller.HeaderOutcome), Body: string(body)}
	if s.options.Output == "json" {
		if err := s.print(a, nil); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(s.stderr, "%d %s\n", a.Status, a.Outcome)
		fmt.Fprintln(s.stdout, a.Body)
	}
	return outcomeError(a, resp)
}

// outcomeError returns an error if the request did not run or it is unknown whether it ran, so that the exit code shows
// it.
func outcomeError(a printedResponse, resp *http.Response) error {
	cause := fmt.Errorf("%d %s", a.Status, a.Outcome)
	switch a.Outcome {
	case ident.NotRun.String():
		return &transportError{method: resp.Request.Method, url: resp.Request.URL.String(), cause: cause}
	case ident.Unknown.String():
		return &transportError{method: resp.Request.Method, url: resp.Request.URL.String(), maybeSent: true, cause: cause}
	}
	return nil
}

// completionCommand implements "sardctl completion".
type completionCommand struct{ session *session }

// completionScript is a bash script that runs sardctl itself to get the completions of a command line.
const completionScript = `_sardctl() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -F _sardctl sardctl
`

// Execute prints completionScript.
func (c *completionCommand) Execute([]string) error {
	_, err := io.WriteString(c.session.stdout, completionScript)
	return err
}
