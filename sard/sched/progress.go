package sched

import "github.com/sardineline/sardineline/sard/pool"

// progressFields returns the fields of a log line that tell how far an attempt got that is stopped, and why slow work is
// moved.
func progressFields(stop pool.Stop) []any {
	p := stop.Progress
	if !stop.Reason.OfMove() {
		return []any{"percent", p.Percent}
	}
	return []any{"percent", p.Percent, "rate", p.Rate, "best_rate", p.BestRate, "unchanged_ms", p.Unchanged.Milliseconds()}
}
