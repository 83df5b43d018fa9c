package main

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// tracedLogs has two lines that contain the id, not sorted by time, one with another id, and one that is not JSON.
const tracedLogs = `garbage that names 5c0e7a21d94b36f8
   3.5 i2 {"@timestamp":"2026-01-01T00:00:02Z","@module":"sardined.sched","@message":"part started","instance":"i2","part":"5c0e7a21d94b36f8.0.0.1","attempt":1}
{"@timestamp":"2026-01-01T00:00:01Z","@module":"sardined.front","@message":"call answered","instance":"i1","path":"/q/5c0e7a21d94b36f8","status":200}
{"@timestamp":"2026-01-01T00:00:01Z","@message":"call answered","path":"/q/0000000000000000"}
`

// TestTraceSortsLinesByTime checks that only lines with the id are printed, the earliest first.
func TestTraceSortsLinesByTime(t *testing.T) {
	var out, errs bytes.Buffer
	code := run([]string{"trace", "5c0e7a21d94b36f8"}, strings.NewReader(tracedLogs), &out, &errs)
	assert.Equal(t, code, exitOK, errs.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 3)
	assert.Assert(t, strings.Contains(lines[1], "i1") && strings.Contains(lines[1], "status=200"))
	assert.Assert(t, strings.Contains(lines[2], "i2") && strings.Contains(lines[2], "attempt=1"))
}

// TestTraceOfUnknownIDFails checks that trace fails for an id that no line contains, with an error that quotes the id.
func TestTraceOfUnknownIDFails(t *testing.T) {
	var out, errs bytes.Buffer
	code := run([]string{"trace", "ffffffffffffffff"}, strings.NewReader(tracedLogs), &out, &errs)
	assert.Assert(t, code != exitOK)
	assert.Assert(t, strings.Contains(errs.String(), "ffffffffffffffff"))
}
