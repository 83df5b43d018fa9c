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

// KnownFailures holds the figures that are known to violate their bounds. It maps the name of each to its line in the
// file of known failures.
type KnownFailures map[string]string

// ReadKnownFailures reads the figures that are known to violate their bounds from a file. The line of such a figure
// starts with "bench NAME |"; all other lines, such as those of failing tests, are skipped. A missing file is treated
// as empty.
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

// Unlisted returns those of the given figure names that are not known failures. For each of the others, it prints the
// line from the file of known failures to out.
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
