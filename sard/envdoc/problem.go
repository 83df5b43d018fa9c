package envdoc

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a document's text.
type Problem struct {
	// Line and Column count from 1; 0 when the problem has no place in the text.
	Line   int
	Column int
	// Path names the value, such as "Accounts[1].Weight".
	Path    string
	Message string
}

// String formats p as "line:column: path: message".
func (p Problem) String() string {
	text := p.Message
	if p.Path != "" {
		text = p.Path + ": " + text
	}
	if p.Line == 0 {
		return text
	}
	return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, text)
}

// Problems are all errors of a document, in the order of the text.
type Problems []Problem

// Error lists the problems, one a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

func (ps Problems) sort() {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
}
