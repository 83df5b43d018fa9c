package main

import (
	"crypto/rand"
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"

	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/oper"
	"github.com/sardineline/sardineline/sard/place"
)

const shortDigest = 12

func short(d ident.Digest) string {
	return string(d[:min(len(d), shortDigest)])
}

// newToken names one change, so that repeating the call can't make it twice.
func newToken() ident.WriteToken {
	return ident.WriteToken(rand.Text())
}

func guarantees(a place.Account) string {
	parts := make([]string, len(a.Guarantees))
	for i, g := range a.Guarantees {
		parts[i] = fmt.Sprintf("%dx%d", g.Count, g.Accelerators)
	}
	return strings.Join(parts, " ")
}

// inForce returns the document in force; that of version 0 when there is none.
func inForce(s *session) (oper.DocumentView, error) {
	view, err := fetch[oper.DocumentView](s, get(oper.PathDocument))
	var answered *replyError
	if errors.As(err, &answered) && answered.Kind == fault.NotFound.String() {
		return oper.DocumentView{}, nil
	}
	return view, err
}

type documentCommand struct {
	OfVersion ident.Version `long:"of-version" value-name:"VERSION" description:"an accepted version; the one in force when not given"`
	session   *session
}

// Execute prints a document. In the table form it is YAML, headed by its version as a comment.
func (c *documentCommand) Execute([]string) error {
	rec, err := c.record()
	if err != nil {
		return err
	}
	if c.session.options.Output == "json" {
		return c.session.print(rec, nil)
	}
	text, err := yaml.JSONToYAML(rec.Content)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "format document", "")
	}
	_, err = fmt.Fprintf(c.session.out, "# version %d, digest %s\n%s", rec.Version, rec.Digest, text)
	return err
}

func (c *documentCommand) record() (config.Record, error) {
	if c.OfVersion > 0 {
		return fetch[config.Record](c.session, get(fmt.Sprintf("%s/%d", oper.PathVersions, c.OfVersion)))
	}
	view, err := fetch[oper.DocumentView](c.session, get(oper.PathDocument))
	return config.Record{Head: view.Head, Content: view.Document}, err
}

type historyCommand struct {
	Limit   int `long:"limit" short:"n" default:"10" description:"number of versions"`
	session *session
}

// Execute lists the accepted versions.
func (c *historyCommand) Execute([]string) error {
	records, err := fetch[[]config.Record](c.session, get(fmt.Sprintf("%s?Limit=%d", oper.PathHistory, c.Limit)))
	if err != nil {
		return err
	}
	return c.session.print(records, func(w *rows) {
		w.row("VERSION", "DIGEST", "AUTHOR", "ACCEPTED", "NOTE")
		for _, r := range records {
			w.row(r.Version, short(r.Digest), r.Author, formatTime(r.Accepted), note(r))
		}
	})
}

func note(r config.Record) string {
	switch {
	case r.Restored > 0:
		return fmt.Sprintf("content of version %d", r.Restored)
	case r.Proof != nil:
		return fmt.Sprintf("proven for %v on %d instances", r.Proof.ProvenFor, r.Proof.Instances)
	}
	return ""
}

type restoreCommand struct {
	basedOn
	Args struct {
		Version ident.Version `positional-arg-name:"VERSION" description:"version whose content is taken again"`
	} `positional-args:"yes" required:"yes"`
	session *session
}

// Execute makes a new version with the content of an earlier one.
func (c *restoreCommand) Execute([]string) error {
	base, err := c.resolve(c.session)
	if err != nil {
		return err
	}
	in, err := post(oper.PathRestore, oper.RestoreRequest{Version: c.Args.Version, BasedOn: base, Token: newToken()})
	if err != nil {
		return err
	}
	verdict, err := fetch[config.ProposalResult](c.session, in)
	if err != nil {
		return err
	}
	return c.session.printVerdict(verdict)
}
