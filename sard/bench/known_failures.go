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

// KnownFailures maps names of figures to their lines in the file of known failures.
type KnownFailures map[string]string

// ReadKnownFailures reads the file of known failures. Lines that start with "bench NAME |" concern figures, others are
// ignored. A missing file is treated as empty.
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

// Unlisted returns the names that are not known failures, and prints the lines of those that are.
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
