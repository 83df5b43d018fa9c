package bench

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"

	"github.com/sardineline/sardineline/sard/fault"
)

// KnownFailures are the lines of the file of known faults, by the name of the figure.
type KnownFailures map[string]string

// ReadKnownFailures reads the file of known faults. Its lines that start with "bench NAME |" are about figures; a missing
// file has none.
func ReadKnownFailures(path string) (KnownFailures, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "read known faults", path)
	}
	known := KnownFailures{}
	for line := range strings.Lines(string(text)) {
		name, _, _ := strings.Cut(line, "|")
		if name, ok := strings.CutPrefix(name, "bench "); ok {
			known[strings.TrimSpace(name)] = strings.TrimSpace(line)
		}
	}
	return known, nil
}

// Unlisted returns the names that are not known, and prints the lines of those that are.
func (k KnownFailures) Unlisted(out io.Writer, names []string) []string {
	var unknown []string
	for _, name := range names {
		if line, ok := k[name]; ok {
			fmt.Fprintln(out, "known:", line)
			continue
		}
		unknown = append(unknown, name)
	}
	return unknown
}
