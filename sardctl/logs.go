package main

import (
	"bufio"
	"io"
	"os"
	"strings"

	"github.com/sardineline/sardineline/sard/fault"
)

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// forEachLog opens each of the named log files and calls visit with it. If no files are named, it calls visit with in.
func forEachLog(files []string, in io.Reader, visit func(io.Reader) error) error {
	if len(files) == 0 {
		return visit(in)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return fault.Wrap(err, fault.Invalid, "read log", name)
		}
		err = visit(file)
		_ = file.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// scanLog calls visit with the JSON object of each log line that contains substring. It skips lines without an object,
// and ignores any text before the object.
func scanLog(in io.Reader, substring string, visit func(text string)) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		if start := strings.IndexByte(text, '{'); start >= 0 && strings.Contains(text, substring) {
			visit(text[start:])
		}
	}
	if err := scanner.Err(); err != nil {
		return fault.Wrap(err, fault.Invalid, "read log", "")
	}
	return nil
}
