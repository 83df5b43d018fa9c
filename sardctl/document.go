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

// shortDigestLength is the number of characters of a document's digest that tables show.
const shortDigestLength = 12

// shortenDigest returns the first shortDigestLength characters of a digest.
func shortenDigest(d ident.Digest) string {
	return string(d[:min(len(d), shortDigestLength)])
}

// newToken returns a random token that identifies one change of the document, so that a repeated call does not apply
// the change twice.
func newToken() ident.WriteToken {
	return ident.WriteToken(rand.Text())
}

// formatGuarantees formats the guarantees of an account as in "2x8 1x16". Each is a count and a number of accelerators.
func formatGuarantees(a place.Account) string {
	parts := make([]string, len(a.Guarantees))
	for i, g := range a.Guarantees {
		parts[i] = fmt.Sprintf("%dx%d", g.Count, g.Accelerators)
	}
	return strings.Join(parts, " ")
}

// documentInForce returns the document in force, or an empty one with version 0 if none was accepted yet.
func documentInForce(s *session) (oper.DocumentView, error) {
	view, err := fetch[oper.DocumentView](s, newGetCall(oper.PathDocument))
	var replyErr *replyError
	if errors.As(err, &replyErr) && replyErr.Kind == fault.NotFound.String() {
		return oper.DocumentView{}, nil
	}
	return view, err
}

// documentCommand implements "sardctl document".
type documentCommand struct {
	OfVersion ident.Version `long:"of-version" value-name:"VERSION" description:"accepted version to print; defaults to the version in force"`
	session   *session
}

// Execute prints a document. With table output it prints YAML, preceded by a comment with the version.
func (c *documentCommand) Execute([]string) error {
	rec, err := c.fetchRecord()
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
	_, err = fmt.Fprintf(c.session.stdout, "# version %d, digest %s\n%s", rec.Version, rec.Digest, text)
	return err
}

// fetchRecord returns the document of the version given by --of-version or, without that flag, the document in force.
func (c *documentCommand) fetchRecord() (config.Record, error) {
	if c.OfVersion > 0 {
		return fetch[config.Record](c.session, newGetCall(fmt.Sprintf("%s/%d", oper.PathVersions, c.OfVersion)))
	}
	view, err := fetch[oper.DocumentView](c.session, newGetCall(oper.PathDocument))
	return config.Record{Head: view.Head, Content: view.Document}, err
}

// historyCommand implements "sardctl history".
type historyCommand struct {
	Limit   int `long:"limit" short:"n" default:"10" description:"maximum number of versions to list"`
	session *session
}

// Execute lists the accepted versions of the document.
func (c *historyCommand) Execute([]string) error {
	records, err := fetch[[]config.Record](c.session, newGetCall(fmt.Sprintf("%s?Limit=%d", oper.PathHistory, c.Limit)))
	if err != nil {
		return err
	}
	return c.session.print(records, func(w *tableWriter) {
		w.writeRow("VERSION", "DIGEST", "AUTHOR", "ACCEPTED", "NOTE")
		for _, r := range records {
			w.writeRow(r.Version, shortenDigest(r.Digest), r.Author, formatTime(r.Accepted), versionNote(r))
		}
	})
}

// versionNote returns the text for the NOTE column of a version: from which version it was restored or with which proof
// it was promoted.
func versionNote(r config.Record) string {
	switch {
	case r.Restored > 0:
		return fmt.Sprintf("content of version %d", r.Restored)
	case r.Proof != nil:
		return fmt.Sprintf("proven for %v on %d instances", r.Proof.ProvenFor, r.Proof.Instances)
	}
	return ""
}

// restoreCommand implements "sardctl restore".
type restoreCommand struct {
	basedOn
	Args struct {
		Version ident.Version `positional-arg-name:"VERSION" description:"version to restore"`
	} `positional-args:"yes" required:"yes"`
	session *session
}

// Execute submits the content of an earlier version of the document as a new version.
func (c *restoreCommand) Execute([]string) error {
	base, err := c.resolve(c.session)
	if err != nil {
		return err
	}
	call, err := newPostCall(oper.PathRestore, oper.RestoreRequest{Version: c.Args.Version, BasedOn: base, Token: newToken()})
	if err != nil {
		return err
	}
	result, err := fetch[config.ProposalResult](c.session, call)
	if err != nil {
		return err
	}
	return c.session.printProposalResult(result)
}
