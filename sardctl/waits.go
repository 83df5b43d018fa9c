package main

import (
	"net/url"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/sched"
)

// waitsCommand implements "sardctl waits".
type waitsCommand struct {
	Args struct {
		Job ident.Job `positional-arg-name:"JOB"`
	} `positional-args:"yes" required:"yes"`
	session *session
}

// Execute prints why a job of the pool waits, since when, and what ends that.
func (c *waitsCommand) Execute([]string) error {
	found, err := fetch[sched.JobWaits](c.session, newGetCall("/waits/"+url.PathEscape(string(c.Args.Job))))
	if err != nil {
		return err
	}
	return c.session.print(found, func(w *tableWriter) { printWaits(w, found) })
}

// printWaits prints why a job waits as tables.
func printWaits(w *tableWriter, found sched.JobWaits) {
	w.writeRow("JOB", "STATE", "PARTS THAT MAY RUN", "GROUPS THAT WAIT", "EPOCH")
	w.writeRow(found.Job, found.State, found.Running, len(found.Waits)+found.More, found.Epoch)
	if len(found.Waits) > 0 {
		w.startSection()
		w.writeRow("GROUP", "REASON", "WAITS FOR", "ENDED BY", "AT THE LATEST AFTER")
	}
	for _, g := range found.Waits {
		w.writeRow(g.Part, g.Reason, milliseconds(g.WaitedMs), g.EndedBy, limit(g.LimitMs))
	}
	if len(found.Orders) > 0 {
		w.startSection()
		w.writeRow("PART", "ATTEMPT", "WORKER", "WAITS FOR", "SINCE")
	}
	for _, o := range found.Orders {
		w.writeRow(o.Part, o.Attempt, o.Worker, o.Reason, milliseconds(o.WaitedMs))
	}
}

// milliseconds returns a number of milliseconds as a duration.
func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// limit formats a limit in milliseconds, of which 0 is none.
func limit(n int64) string {
	if n == 0 {
		return "-"
	}
	return milliseconds(n).String()
}
