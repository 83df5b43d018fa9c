package main

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// schedulerLog has a job that ended in time, one that waited for its start, one whose capacity was reclaimed, one
// with a failed part, one that ran longer than estimated, one that failed, one that has not ended, one that was
// cancelled and one that was held back in a pool with room.
const schedulerLog = `{"@timestamp":"2026-01-01T00:00:00Z","@module":"sardined.sched","@message":"job taken in","job":"a","priority":0,"need":{"CPU":2000,"Accelerators":1}}
{"@timestamp":"2026-01-01T00:00:00Z","@module":"sardined.sched","@message":"part started","part":"a.0.0.0","attempt":1}
{"@timestamp":"2026-01-01T00:00:01Z","@module":"sardined.sched","@message":"job ended","job":"a","state":"Succeeded","took_ms":1000,"objective_ms":2000}
{"@timestamp":"2026-01-01T00:00:00Z","@module":"sardined.sched","@message":"job taken in","job":"b","priority":0,"need":{"CPU":2000,"Accelerators":1}}
{"@timestamp":"2026-01-01T00:00:03Z","@module":"sardined.sched","@message":"part started","part":"b.0.0.0","attempt":1}
{"@timestamp":"2026-01-01T00:00:04Z","@module":"sardined.sched","@message":"job ended","job":"b","state":"Succeeded","took_ms":4000,"objective_ms":2000}
{"@timestamp":"2026-01-01T00:00:00Z","@module":"sardined.sched","@message":"job taken in","job":"c","priority":1,"checkpoints":true,"need":{"CPU":2000,"Accelerators":1}}
{"@timestamp":"2026-01-01T00:00:00Z","@module":"sardined.sched","@message":"part started","part":"c.0.0.0","attempt":1}
{"@timestamp":"2026-01-01T00:00:02Z","@module":"sardined.sched","@message":"part is stopped","part":"c.0.0.0","attempt":1,"reason":"capacity reclaimed"}
{"@timestamp":"2026-01-01T00:00:02Z","@module":"sardined.sched","@message":"part ended","part":"c.0.0.0","attempt":1,"how":"Stopped"}
{"@timestamp":"2026-01-01T00:00:09Z","@module":"sardined.sched","@message":"job ended","job":"c","state":"Succeeded","took_ms":9000,"objective_ms":4000}
{"@timestamp":"2026-01-01T00:00:00Z","@module":"sardined.sched","@message":"job taken in","job":"d","priority":1,"checkpoints":true,"need":{"CPU":2000,"Accelerators":1}}
{"@timestamp":"2026-01-01T00:00:00Z","@module":"sardined.sched","@message":"part started","part":"d.0.0.0","attempt":1}
{"@timestamp":"2026-01-01T00:00:01Z","@module":"sardined.sched","@message":"part ended","part":"d.0.0.0","attempt":1,"how":"Failed"}
{"@timestamp":"2026-01-01T00:00:09Z","@module":"sardined.sched","@message":"job ended","job":"d","state":"Succeeded","took_ms":9000,"objective_ms":4000}
{"@timestamp":"2026-01-01T00:00:00Z","@module":"sardined.sched","@message":"job taken in","job":"h","priority":1,"need":{}}
{"@timestamp":"2026-01-01T00:00:09Z","@module":"sardined.sched","@message":"job ended","job":"h","state":"Succeeded","took_ms":9000,"objective_ms":4000}
{"@timestamp":"2026-01-01T00:00:00Z","@module":"sardined.sched","@message":"job taken in","job":"e","priority":2,"need":{}}
{"@timestamp":"2026-01-01T00:00:01Z","@module":"sardined.sched","@message":"job ended","job":"e","state":"Failed","took_ms":1000,"objective_ms":4000}
{"@timestamp":"2026-01-01T00:00:00Z","@module":"sardined.sched","@message":"job taken in","job":"f","priority":2,"need":{}}
{"@timestamp":"2026-01-01T00:00:00Z","@module":"sardined.sched","@message":"job taken in","job":"g","priority":2,"need":{}}
{"@timestamp":"2026-01-01T00:00:01Z","@module":"sardined.sched","@message":"job ended","job":"g","state":"Cancelled","took_ms":1000,"objective_ms":4000}
{"@timestamp":"2026-01-01T00:00:00Z","@module":"sardined.sched","@message":"job taken in","job":"i","priority":2,"need":{}}
{"@timestamp":"2026-01-01T00:00:02Z","@module":"sardined.sched","@message":"part waits though the pool has room","job":"i","part":"i.0.0.0","reason":"Quarantined"}
{"@timestamp":"2026-01-01T00:00:03Z","@module":"sardined.sched","@message":"part started","part":"i.0.0.0","attempt":1}
{"@timestamp":"2026-01-01T00:00:04Z","@module":"sardined.sched","@message":"job ended","job":"i","state":"Succeeded","took_ms":4000,"objective_ms":2000}
`

// TestCauses checks that each job in schedulerLog is counted under its cause and that cancelled jobs are left out.
func TestCauses(t *testing.T) {
	var out, errs bytes.Buffer
	code := run([]string{"causes"}, strings.NewReader(schedulerLog), &out, &errs)
	assert.Equal(t, code, exitOK, errs.String())
	text := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{
		"0 in time 1 0s -1s", "0 waited for the first start 1 3s 2s", "1 capacity reclaimed 1 0s 5s",
		"1 part failed 1 0s 5s", "1 work longer than estimated 1 0s 5s", "2 job failed 1 0s -3s", "2 not ended 1 0s 0s", "2 held back: Quarantined 1 3s 2s",
		"LOST WORK CORE SECONDS PARTS EXAMPLE SAVED capacity reclaimed 20 1 c.0.0.0 20", "part failed 10 1 d.0.0.0 0",
	} {
		assert.Assert(t, strings.Contains(text, want), "%q is missing in %q", want, text)
	}
	assert.Assert(t, !strings.Contains(text, "Cancelled"))
}
