package main

import (
	"bufio"
	"io"
	"os"
	"strings"

	"github.com/sardineline/sardineline/sard/fault"
)

// maxLogLine bounds a log line, in bytes.
const maxLogLine = 1 << 20

// eachLog calls visit for each file, or for the given input when there are none.
func eachLog(files []string, in io.Reader, visit func(io.Reader) error) error {
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

// scanLog calls visit with the JSON of each line that holds a text. What precedes the JSON of a line, and lines without
// any, are passed over.
func scanLog(in io.Reader, holds string, visit func(text string)) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		if start := strings.IndexByte(text, '{'); start >= 0 && strings.Contains(text, holds) {
			visit(text[start:])
		}
	}
	if err := scanner.Err(); err != nil {
		return fault.Wrap(err, fault.Invalid, "read log", "")
	}
	return nil
}
