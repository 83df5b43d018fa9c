package lint

import (
	"errors"

	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/place"
)

// Document returns the findings of an environment document, and the document if it has no errors. A nil inventory leaves
// out the check against the workers.
func Document(text []byte, inventory *Inventory) (*envdoc.Document, []Finding) {
	doc, _, _, err := envdoc.Parse(text)
	if err != nil {
		return nil, documentErrors(err)
	}
	var findings []Finding
	if inventory != nil {
		if _, err := place.Plan(config.PlacementAccounts(doc), inventory.sites()); err != nil {
			findings = append(findings, Finding{Severity: Error, Rule: Shortage, Path: "Accounts", Message: err.Error()})
		}
	}
	return doc, findings
}

// documentErrors converts the error of envdoc.Parse to findings.
func documentErrors(err error) []Finding {
	var problems envdoc.Problems
	if !errors.As(err, &problems) {
		return []Finding{{Severity: Error, Rule: Invalid, Message: err.Error()}}
	}
	var findings []Finding
	for _, p := range problems {
		findings = append(findings, Finding{Severity: Error, Rule: Invalid, Path: p.Path, Line: p.Line, Message: p.Message})
	}
	return findings
}
