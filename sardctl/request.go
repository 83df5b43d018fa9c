package main

import (
	"fmt"
	"io"
	"net/http"

	"github.com/sardineline/sardineline/sard/caller"
	"github.com/sardineline/sardineline/sard/ident"
)

// requestPrefix starts the paths of requests that are forwarded to backend servers.
const requestPrefix = "/r"

// answer is the answer to a request as it is printed in JSON.
type answer struct {
	Status  int
	Outcome string
	Body    string
}

// printAnswer writes the answer's body, and its status and outcome where they would be missed.
func (s *session) printAnswer(resp *http.Response) error {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return &transportError{method: resp.Request.Method, url: resp.Request.URL.String(), sent: true, cause: err}
	}
	a := answer{Status: resp.StatusCode, Outcome: resp.Header.Get(caller.HeaderOutcome), Body: string(body)}
	if s.options.Output == "json" {
		if err := s.print(a, nil); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(s.err, "%d %s\n", a.Status, a.Outcome)
		fmt.Fprintln(s.out, a.Body)
	}
	return outcomeError(a, resp)
}

// outcomeError returns the error that stands for an answer that the request did not get.
func outcomeError(a answer, resp *http.Response) error {
	cause := fmt.Errorf("%d %s", a.Status, a.Outcome)
	switch a.Outcome {
	case ident.NotRun.String():
		return &transportError{method: resp.Request.Method, url: resp.Request.URL.String(), cause: cause}
	case ident.Unknown.String():
		return &transportError{method: resp.Request.Method, url: resp.Request.URL.String(), sent: true, cause: cause}
	}
	return nil
}

type completionCommand struct{ session *session }

// completionScript has bash ask the program itself for completions.
const completionScript = `_sardctl() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -F _sardctl sardctl
`

// Execute prints the completion script.
func (c *completionCommand) Execute([]string) error {
	_, err := io.WriteString(c.session.out, completionScript)
	return err
}
