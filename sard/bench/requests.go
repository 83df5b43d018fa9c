package bench

import (
	"fmt"
	"time"

	"github.com/sardineline/sardineline/sard/load"
)

// suiteError returns the figure of a suite that could not be run, which violates its bound. Its unit is the error text.
func suiteError(name string, err error) []Figure {
	return []Figure{{Name: name + ".errors", Value: 1, Unit: err.Error(), Bound: UpperBound(0)}}
}

// millis returns a duration in milliseconds.
func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// AddedLatency measures the latency and processor time that an instance adds to requests at half load.
func AddedLatency() []Figure {
	overhead, err := load.MeasureOverhead()
	if err != nil {
		return suiteError("route.added", err)
	}
	return []Figure{
		{"route.added.p50", millis(overhead.P50), "ms", UpperBound(0.3)},
		{"route.added.p99", millis(overhead.P99), "ms", UpperBound(2)},
		{"route.added.processor", millis(overhead.CPUTime), "ms/request", Bound{}},
	}
}

// OfferedLoads measures nine instances in one process in front of fifty backend servers, at several rates of requests.
func OfferedLoads() []Figure {
	figures := measureLoad("route.load50", 0.5, false, Bound{})
	figures = append(figures, measureLoad("route.load90", 0.9, false, Bound{})...)
	figures = append(figures, measureLoad("route.load200", 2, false, LowerBound(0.95))...)
	return append(figures, measureLoad("route.load90lost", 0.9, true, Bound{})...)
}

// measureLoad measures requests that arrive at a rate given as a share of the capacity of the servers. With loss, an
// instance and five backend servers are lost during the measurement. goodput is the bound of the goodput.
func measureLoad(name string, share float64, loss bool, goodput Bound) []Figure {
	outcome, err := load.Run(share, loss)
	if err != nil {
		return suiteError(name, err)
	}
	return []Figure{
		{name + ".wait.p50", millis(outcome.WaitP50), "ms", Bound{}},
		{name + ".wait.p99", millis(outcome.WaitP99), "ms", Bound{}},
		{name + ".goodput", outcome.Goodput, "of possible", goodput},
		{name + ".refusals", outcome.RefusedAttempts, "per request", Bound{}},
		{name + ".notrun", outcome.NotRun, "share", Bound{}},
		{name + ".notrun.notrepeated", outcome.NotRepeatedNotRun, "share", Bound{}},
		{name + ".unknown", outcome.Unknown, "share", Bound{}},
		{name + ".giveup.p50", millis(outcome.RejectionP50), "ms", Bound{}},
		{name + ".giveup.p99", millis(outcome.RejectionP99), "ms", Bound{}},
	}
}

// FailingServers measures the retries per request while a third of the backend servers fail all requests. Their bound
// is the retry budget.
func FailingServers() []Figure {
	result, err := load.MeasureFailingServers()
	if err != nil {
		return suiteError("route.failing", err)
	}
	return []Figure{
		{"route.failing.retries", result.Retries, "per request", UpperBound(0.1)},
		{"route.failing.answered", result.Answered, "share", Bound{}},
	}
}

// WaitingMemory measures the memory that an instance takes for requests that wait for a backend server.
func WaitingMemory() []Figure {
	bytes, err := load.MeasureWaitingMemory()
	if err != nil {
		return suiteError("route.waiting", err)
	}
	return []Figure{{fmt.Sprintf("route.waiting%d.memory", load.WaitingRequests), float64(bytes) / 1e6, "MB", Bound{}}}
}
