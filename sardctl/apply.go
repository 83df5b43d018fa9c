package main

import (
	"fmt"
	"net/http"

	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/oper"
)

// fileArg is the document that a command reads.
type fileArg struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"document in YAML or JSON; - for the standard input"`
	} `positional-args:"yes" required:"yes"`
}

// basedOn is the version that a change was made from.
type basedOn struct {
	BasedOn *ident.Version `long:"based-on" value-name:"VERSION" description:"version that the change was made from; the one in force when not given"`
}

// resolve returns the version to base a change on.
func (b basedOn) resolve(s *session) (ident.Version, error) {
	if b.BasedOn != nil {
		return *b.BasedOn, nil
	}
	current, err := inForce(s)
	return current.Version, err
}

type applyCommand struct {
	fileArg
	basedOn
	session *session
}

// Execute has a document accepted.
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
	in := call{method: http.MethodPut, path: oper.PathDocument, header: header, body: content}
	verdict, err := fetch[config.ProposalResult](c.session, in)
	if err != nil {
		return err
	}
	return c.session.printVerdict(verdict)
}

type checkCommand struct {
	fileArg
	session *session
}

// Execute checks a document and its plan.
func (c *checkCommand) Execute([]string) error {
	verdict, err := check(c.session, c.Args.File)
	if err != nil {
		return err
	}
	return c.session.printVerdict(verdict)
}

type diffCommand struct {
	fileArg
	session *session
}

// Execute prints what a document would change.
func (c *diffCommand) Execute([]string) error {
	verdict, err := check(c.session, c.Args.File)
	if err != nil {
		return err
	}
	return c.session.print(verdict.Changes, func(w *rows) {
		for _, change := range verdict.Changes {
			w.row(change)
		}
	})
}

func check(s *session, path string) (config.ProposalResult, error) {
	content, err := s.readFile(path)
	if err != nil {
		return config.ProposalResult{}, err
	}
	return fetch[config.ProposalResult](s, call{method: http.MethodPost, path: oper.PathCheck, body: content})
}

func (s *session) printVerdict(v config.ProposalResult) error {
	return s.print(v, func(w *rows) {
		note := ""
		if v.Unchanged {
			note = "already in force"
		}
		w.row("VERSION", "DIGEST", "AUTHOR", "NOTE")
		w.row(v.Version, short(v.Digest), v.Author, note)
		if len(v.Changes) > 0 {
			w.section()
		}
		for _, change := range v.Changes {
			w.row(change)
		}
		printPlan(w, v.Plan)
	})
}

func printPlan(w *rows, plan []config.DataCentreShare) {
	if len(plan) == 0 {
		return
	}
	w.section()
	w.row("DATA CENTRE", "ACCOUNT", "GUARANTEES")
	for _, share := range plan {
		for _, account := range share.Accounts {
			w.row(share.DataCentre, account.Name, guarantees(account))
		}
	}
}
