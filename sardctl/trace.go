package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/sardineline/sardineline/sard/fault"
)

// standardFieldPrefix is the prefix of the names of the fields that every log line has, such as its time and message.
const standardFieldPrefix = "@"

// traceCommand implements "sardctl trace".
type traceCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID"`
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"1"`
	session *session
}

// Execute prints the log lines that contain an id, from the logs of all instances, sorted by time.
func (c *traceCommand) Execute([]string) error {
	lines, err := c.readLines()
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fault.New(fault.NotFound, "trace", "", "no log line contains %s", c.Args.ID)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	return c.session.print(lines, func(w *tableWriter) {
		w.writeRow("TIME", "INSTANCE", "MODULE", "MESSAGE", "FIELDS")
		for _, l := range lines {
			w.writeRow(l.Time, l.Instance, l.Module, l.Message, l.Fields)
		}
	})
}

// readLines returns the log lines that contain the id. Lines that are not JSON are skipped.
func (c *traceCommand) readLines() ([]logLine, error) {
	var lines []logLine
	err := forEachLog(c.Args.Files, c.session.stdin, func(in io.Reader) error {
		return scanLog(in, c.Args.ID, func(text string) {
			var fields map[string]any
			if json.Unmarshal([]byte(text), &fields) == nil {
				lines = append(lines, newLogLine(fields))
			}
		})
	})
	return lines, err
}

// logLine is a log line split into the columns that trace prints.
type logLine struct {
	Time     string
	Instance string
	Module   string
	Message  string
	// Fields are the remaining fields of the line as name=value, sorted by name.
	Fields string
}

// newLogLine returns the log line for the decoded fields of a JSON log line.
func newLogLine(fields map[string]any) logLine {
	text := func(name string) string {
		value, _ := fields[name].(string)
		return value
	}
	var rest []string
	for name, value := range fields {
		if !strings.HasPrefix(name, standardFieldPrefix) && name != "instance" {
			rest = append(rest, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(rest)
	return logLine{
		Time: text("@timestamp"), Instance: text("instance"), Module: text("@module"), Message: text("@message"),
		Fields: strings.Join(rest, " "),
	}
}
