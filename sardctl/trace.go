package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/sardineline/sardineline/sard/fault"
)

// fieldMark starts the names of the fields that every log line has.
const fieldMark = "@"

type traceCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID"`
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"1"`
	session *session
}

// Execute prints the log lines about an id, of all instances, in the order of their times.
func (c *traceCommand) Execute([]string) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fault.New(fault.NotFound, "trace", "", "no line of the logs names %s", c.Args.ID)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	return c.session.print(lines, func(w *rows) {
		w.row("TIME", "INSTANCE", "MODULE", "MESSAGE", "FIELDS")
		for _, l := range lines {
			w.row(l.Time, l.Instance, l.Module, l.Message, l.Fields)
		}
	})
}

func (c *traceCommand) read() ([]logLine, error) {
	var lines []logLine
	err := eachLog(c.Args.Files, c.session.in, func(in io.Reader) error {
		return scanLog(in, c.Args.ID, func(text string) {
			var fields map[string]any
			if json.Unmarshal([]byte(text), &fields) == nil {
				lines = append(lines, newLogLine(fields))
			}
		})
	})
	return lines, err
}

// logLine is a line of a log.
type logLine struct {
	Time     string
	Instance string
	Module   string
	Message  string
	// Fields are the other fields as name=value, by name.
	Fields string
}

func newLogLine(fields map[string]any) logLine {
	text := func(name string) string {
		value, _ := fields[name].(string)
		return value
	}
	var rest []string
	for name, value := range fields {
		if !strings.HasPrefix(name, fieldMark) && name != "instance" {
			rest = append(rest, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(rest)
	return logLine{
		Time: text("@timestamp"), Instance: text("instance"), Module: text("@module"), Message: text("@message"),
		Fields: strings.Join(rest, " "),
	}
}
