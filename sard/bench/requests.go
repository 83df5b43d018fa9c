package bench

import (
	"fmt"
	"time"

	"github.com/sardineline/sardineline/sard/load"
)

// failed is the figure of a suite that could not be run. Its unit tells why.
func failed(name string, err error) []Figure {
	return []Figure{{Name: name + ".errors", Value: 1, Unit: err.Error(), Bound: UpperBound(0)}}
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// AddedLatency measures what an instance adds to requests at half load.
func AddedLatency() []Figure {
	a, err := load.MeasureOverhead()
	if err != nil {
		return failed("route.added", err)
	}
	return []Figure{
		{"route.added.p50", millis(a.P50), "ms", UpperBound(0.3)},
		{"route.added.p99", millis(a.P99), "ms", UpperBound(2)},
		{"route.added.processor", millis(a.CPUTime), "ms/request", Bound{}},
	}
}

// OfferedLoads measures nine instances in one process before fifty servers at several loads.
func OfferedLoads() []Figure {
	figures := offered("route.load50", 0.5, false, Bound{})
	figures = append(figures, offered("route.load90", 0.9, false, Bound{})...)
	figures = append(figures, offered("route.load200", 2, false, LowerBound(0.95))...)
	return append(figures, offered("route.load90lost", 0.9, true, Bound{})...)
}

func offered(name string, share float64, loss bool, goodput Bound) []Figure {
	o, err := load.Run(share, loss)
	if err != nil {
		return failed(name, err)
	}
	return []Figure{
		{name + ".wait.p50", millis(o.WaitP50), "ms", Bound{}},
		{name + ".wait.p99", millis(o.WaitP99), "ms", Bound{}},
		{name + ".goodput", o.Goodput, "of possible", goodput},
		{name + ".refusals", o.RefusedAttempts, "per request", Bound{}},
		{name + ".notrun", o.NotRun, "share", Bound{}},
		{name + ".notrun.notrepeated", o.NotRepeatedNotRun, "share", Bound{}},
		{name + ".unknown", o.Unknown, "share", Bound{}},
		{name + ".giveup.p50", millis(o.RejectionP50), "ms", Bound{}},
		{name + ".giveup.p99", millis(o.RejectionP99), "ms", Bound{}},
	}
}

// FailingServers measures retries while a third of the servers fail. The bound is the budget of retries.
func FailingServers() []Figure {
	f, err := load.MeasureFailingServers()
	if err != nil {
		return failed("route.failing", err)
	}
	return []Figure{
		{"route.failing.retries", f.Retries, "per request", UpperBound(0.1)},
		{"route.failing.answered", f.Answered, "share", Bound{}},
	}
}

// WaitingMemory measures the memory of waiting requests.
func WaitingMemory() []Figure {
	bytes, err := load.MeasureWaitingMemory()
	if err != nil {
		return failed("route.waiting", err)
	}
	return []Figure{{fmt.Sprintf("route.waiting%d.memory", load.WaitingRequests), float64(bytes) / 1e6, "MB", Bound{}}}
}
