package bench

import (
	"fmt"
	"io"
	"strings"
)

//go:generate go tool stringer -type=Sense -output=sense_string.go

// Sense is the direction of a Bound: whether its limit is the largest or the smallest allowed value.
type Sense int

// The directions that a Bound can have.
const (
	// Unbounded means that any value is allowed; the figure is printed for comparison only.
	Unbounded Sense = iota
	// AtMost means that the limit is the largest allowed value.
	AtMost
	// AtLeast means that the limit is the smallest allowed value.
	AtLeast
)

// Bound is the range of allowed values of a figure: up to Limit or from Limit on, as Sense tells. The zero value allows
// any value.
type Bound struct {
	Sense Sense
	Limit float64
}

// UpperBound returns a bound that allows values up to limit.
func UpperBound(limit float64) Bound { return Bound{Sense: AtMost, Limit: limit} }

// LowerBound returns a bound that allows values from limit on.
func LowerBound(limit float64) Bound { return Bound{Sense: AtLeast, Limit: limit} }

// Holds reports whether the bound allows a value.
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

// String formats the bound, as "-" when it allows any value.
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

// Figure is a measured value with its unit and its bound. Its name has no spaces.
type Figure struct {
	Name  string
	Value float64
	Unit  string
	Bound Bound
}

// OutOfBounds reports whether the value violates its bound.
func (f Figure) OutOfBounds() bool {
	return !f.Bound.Holds(f.Value)
}

// String formats the figure as one line: name, value, unit, bound, OK or OVER.
func (f Figure) String() string {
	status := "OK"
	if f.OutOfBounds() {
		status = "OVER"
	}
	return fmt.Sprintf("%-52s %12.4g %-14s %-10s %s", f.Name, f.Value, f.Unit, f.Bound, status)
}

// Run runs the suites whose names start with prefix, prints their figures and returns the names of those that violate
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
