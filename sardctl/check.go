package main

import (
	"fmt"

	"github.com/sardineline/sardineline/platform/conf"
	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/lint"
	"github.com/sardineline/sardineline/sard/policy"
)

// checkCommand implements "sardctl check".
type checkCommand struct {
	fileArg
	Kind      string `long:"kind" choice:"auto" choice:"document" choice:"pool" default:"auto" description:"what FILE holds: an environment document, or the configuration of a pool"`
	Against   string `long:"against" value-name:"FILE" description:"version in force, to print the changes that FILE makes to it"`
	Inventory string `long:"inventory" value-name:"FILE" description:"list of the workers, to check guarantees and services against"`
	Strict    bool   `long:"strict" description:"fail on warnings too"`
	Running   bool   `long:"running" description:"have an instance check a document against its topology and the version in force"`
	session   *session
}

// checkResult is the output of "sardctl check".
type checkResult struct {
	Findings []lint.Finding
	// Changes lists the differences from the version in force, if that was given.
	Changes []string
}

// Execute checks a file without a connection, unless --running is given.
func (c *checkCommand) Execute([]string) error {
	if c.Running {
		result, err := checkDocument(c.session, c.Args.File)
		if err != nil {
			return err
		}
		return c.session.printProposalResult(result)
	}
	content, err := c.session.readFile(c.Args.File)
	if err != nil {
		return err
	}
	inventory, err := c.readInventory()
	if err != nil {
		return err
	}
	var result checkResult
	if c.holdsPolicy(content) {
		result, err = c.checkPolicy(content, inventory)
	} else {
		result, err = c.checkDocument(content, inventory)
	}
	if err != nil {
		return err
	}
	if err := c.session.print(result, result.write); err != nil {
		return err
	}
	return c.verdict(result.Findings)
}

// holdsPolicy reports whether the content is the configuration of a pool.
func (c *checkCommand) holdsPolicy(content []byte) bool {
	return c.Kind == "pool" || c.Kind == "auto" && conf.LooksLikePolicy(content)
}

// readInventory reads the file given by --inventory, or returns nil without that flag.
func (c *checkCommand) readInventory() (*lint.Inventory, error) {
	if c.Inventory == "" {
		return nil, nil
	}
	text, err := c.session.readFile(c.Inventory)
	if err != nil {
		return nil, err
	}
	return lint.ParseInventory(text)
}

// checkPolicy checks the configuration of a pool.
func (c *checkCommand) checkPolicy(content []byte, inventory *lint.Inventory) (checkResult, error) {
	next, findings := conf.CheckPolicy(content, inventory)
	result := checkResult{Findings: findings}
	if c.Against == "" || next == nil {
		return result, nil
	}
	current, err := c.readPolicyInForce()
	if err != nil {
		return result, err
	}
	for _, change := range lint.Diff(current, next) {
		result.Changes = append(result.Changes, change.String())
	}
	return result, nil
}

// readPolicyInForce reads the configuration given by --against.
func (c *checkCommand) readPolicyInForce() (*policy.Policy, error) {
	text, err := c.session.readFile(c.Against)
	if err != nil {
		return nil, err
	}
	return conf.DecodePolicy(text)
}

// checkDocument checks an environment document.
func (c *checkCommand) checkDocument(content []byte, inventory *lint.Inventory) (checkResult, error) {
	next, findings := lint.Document(content, inventory)
	result := checkResult{Findings: findings}
	if c.Against == "" || next == nil {
		return result, nil
	}
	text, err := c.session.readFile(c.Against)
	if err != nil {
		return result, err
	}
	current, _, _, err := envdoc.Parse(text)
	if err != nil {
		return result, err
	}
	for _, change := range envdoc.Diff(current, next) {
		result.Changes = append(result.Changes, change.String())
	}
	return result, nil
}

// write prints the findings and the changes as text.
func (r checkResult) write(w *tableWriter) {
	for _, f := range r.Findings {
		w.writeRow(f)
	}
	if len(r.Findings) == 0 {
		w.writeRow("no findings")
	}
	if len(r.Changes) > 0 {
		w.startSection()
	}
	for _, change := range r.Changes {
		w.writeRow(change)
	}
}

// verdict returns an error of kind Invalid if there are errors, or warnings with --strict.
func (c *checkCommand) verdict(findings []lint.Finding) error {
	failures := 0
	for _, f := range findings {
		if f.Severity == lint.Error || c.Strict {
			failures++
		}
	}
	if failures == 0 {
		return nil
	}
	return fault.New(fault.Invalid, fmt.Sprintf("check %s", c.Args.File), "", "findings that count as errors: %d", failures)
}
