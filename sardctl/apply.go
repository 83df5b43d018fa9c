package main

import (
	"fmt"
	"net/http"

	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/oper"
)

// fileArg is the positional argument of commands that read a document from a file.
type fileArg struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"document in YAML or JSON; - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// basedOn is the flag --based-on, the version that the author of a change started from. The change is refused if
// another version has been accepted since.
type basedOn struct {
	BasedOn *ident.Version `long:"based-on" value-name:"VERSION" description:"version that the change is based on; defaults to the version in force"`
}

// resolve returns the version given by --based-on or, without that flag, the version in force.
func (b basedOn) resolve(s *session) (ident.Version, error) {
	if b.BasedOn != nil {
		return *b.BasedOn, nil
	}
	current, err := documentInForce(s)
	return current.Version, err
}

// applyCommand implements "sardctl apply".
type applyCommand struct {
	fileArg
	basedOn
	session *session
}

// Execute submits a document, which becomes the next version if it is accepted.
func (c *applyCommand) Execute([]string) error {
	content, err := c.session.readFile(c.Args.File)
	if err != nil {
		return err
	}
	if _, _, _, err := envdoc.Parse(content); err != nil {
		return err
	}
	base, err := c.resolve(c.session)
	if err != nil {
		return err
	}
	header := http.Header{}
	header.Set(oper.HeaderIfMatch, fmt.Sprintf("%q", fmt.Sprint(base)))
	header.Set(oper.HeaderWriteToken, string(newToken()))
	call := apiCall{method: http.MethodPut, path: oper.PathDocument, header: header, body: content}
	result, err := fetch[config.ProposalResult](c.session, call)
	if err != nil {
		return err
	}
	return c.session.printProposalResult(result)
}

// diffCommand implements "sardctl diff".
type diffCommand struct {
	fileArg
	session *session
}

// Execute prints the changes that applying a document would make to the document in force.
func (c *diffCommand) Execute([]string) error {
	result, err := checkDocument(c.session, c.Args.File)
	if err != nil {
		return err
	}
	return c.session.print(result.Changes, func(w *tableWriter) {
		for _, change := range result.Changes {
			w.writeRow(change)
		}
	})
}

// checkDocument reads a document from a file and has an instance validate it.
func checkDocument(s *session, path string) (config.ProposalResult, error) {
	content, err := s.readFile(path)
	if err != nil {
		return config.ProposalResult{}, err
	}
	return fetch[config.ProposalResult](s, apiCall{method: http.MethodPost, path: oper.PathCheck, body: content})
}

// printProposalResult prints the version of a submitted or checked document, its changes and its plan.
func (s *session) printProposalResult(v config.ProposalResult) error {
	return s.print(v, func(w *tableWriter) {
		note := ""
		if v.Unchanged {
			note = "already in force"
		}
		w.writeRow("VERSION", "DIGEST", "AUTHOR", "NOTE")
		w.writeRow(v.Version, shortenDigest(v.Digest), v.Author, note)
		if len(v.Changes) > 0 {
			w.startSection()
		}
		for _, change := range v.Changes {
			w.writeRow(change)
		}
		printPlan(w, v.Plan)
	})
}

// printPlan prints a plan: the guarantees of each account in each data centre.
func printPlan(w *tableWriter, plan []config.DataCentreShare) {
	if len(plan) == 0 {
		return
	}
	w.startSection()
	w.writeRow("DATA CENTRE", "ACCOUNT", "GUARANTEES")
	for _, share := range plan {
		for _, account := range share.Accounts {
			w.writeRow(share.DataCentre, account.Name, formatGuarantees(account))
		}
	}
}
