package bench

import (
	"fmt"
	"io"
	"strings"
)

//go:generate go tool stringer -type=Sense -output=sense_string.go

// Sense tells on which side of its bound a value must lie.
type Sense int

// The senses of bounds.
const (
	// Unbounded values are printed for comparison only.
	Unbounded Sense = iota
	AtMost
	AtLeast
)

// Bound limits a figure.
type Bound struct {
	Sense Sense
	Limit float64
}

// UpperBound bounds a value from above.
func UpperBound(limit float64) Bound { return Bound{Sense: AtMost, Limit: limit} }

// LowerBound bounds a value from below.
func LowerBound(limit float64) Bound { return Bound{Sense: AtLeast, Limit: limit} }

// Holds tells whether a value keeps the bound.
func (b Bound) Holds(value float64) bool {
	switch b.Sense {
	case AtMost:
		return value <= b.Limit
	case AtLeast:
		return value >= b.Limit
	default:
		return true
	}
}

// String formats the bound, "-" for none.
func (b Bound) String() string {
	switch b.Sense {
	case AtMost:
		return fmt.Sprintf("<=%.4g", b.Limit)
	case AtLeast:
		return fmt.Sprintf(">=%.4g", b.Limit)
	default:
		return "-"
	}
}

// Figure is a measured value. Its name has no spaces.
type Figure struct {
	Name  string
	Value float64
	Unit  string
	Bound Bound
}

// OutOfBounds tells whether the value breaks its bound.
func (f Figure) OutOfBounds() bool {
	return !f.Bound.Holds(f.Value)
}

// String formats the figure as one line: name, value, unit, bound, OK or OVER.
func (f Figure) String() string {
	verdict := "OK"
	if f.OutOfBounds() {
		verdict = "OVER"
	}
	return fmt.Sprintf("%-52s %12.4g %-14s %-10s %s", f.Name, f.Value, f.Unit, f.Bound, verdict)
}

// Run runs the suites whose names start with prefix, prints their figures and returns the names of those over
// their bounds.
func Run(out io.Writer, suites []Suite, prefix string) []string {
	var over []string
	for _, s := range suites {
		if !strings.HasPrefix(s.Name, prefix) {
			continue
		}
		for _, f := range s.Run() {
			fmt.Fprintln(out, f)
			if f.OutOfBounds() {
				over = append(over, f.Name)
			}
		}
	}
	return over
}
