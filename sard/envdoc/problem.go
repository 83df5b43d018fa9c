package envdoc

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is an error in the text of a document.
type Problem struct {
	// Line is the line of the problem, starting from 1; 0 when the position is unknown.
	Line int
	// Column is the column of the problem, starting from 1; 0 when the position is unknown.
	Column int
	// Path locates the value, such as "Accounts[1].Weight"; empty for a problem with the whole text.
	Path string
	// Message describes the problem.
	Message string
}

// String formats p as "line:column: path: message", without the parts that are unknown.
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

// Problems is an error that lists all problems of a document in the order of the text.
type Problems []Problem

// Error lists the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// sort orders the problems by position.
func (ps Problems) sort() {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
}
