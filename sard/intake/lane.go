package intake

import (
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

//go:generate go tool stringer -type=Lane -output=lane_string.go

// Lane is a kind of request. Each has a share of its own in the memory of requests that are being served, so that many of one
// kind don't make those of another kind wait.
type Lane int

const (
	// Reading is the lane of requests that read a job.
	Reading Lane = iota
	// Writing is the lane of requests that change something.
	Writing
	// WritingLarge is the lane of those with large bodies.
	WritingLarge

	laneCount
)

// WritingLane returns the lane of a request that changes something and has a body of a size.
func WritingLane(bodyBytes int) Lane {
	if bodyBytes > smallBody {
		return WritingLarge
	}
	return Writing
}

// laneBound bounds a lane of an account.
type laneBound struct {
	*semaphore.Weighted
	// waiting and inService are the numbers of requests.
	waiting, inService atomic.Int64
	// mean is the mean time for which requests are being served lately, a time.Duration; 0 if none was.
	mean atomic.Int64
}

// meanWeight says how much the newest time counts in the mean: 1/meanWeight.
const meanWeight = 8

// expectedWait returns about how long a further request has to wait: by Little's law, requests leave the lane at the rate of
// those in service by their mean time.
func (l *laneBound) expectedWait() time.Duration {
	served := max(l.inService.Load(), 1)
	return time.Duration(l.mean.Load() * l.waiting.Load() / served)
}

// observe takes the time for which a request was served into account. Concurrent calls may lose one of them.
func (l *laneBound) observe(served time.Duration) {
	mean := time.Duration(l.mean.Load())
	if mean == 0 {
		mean = served
	}
	l.mean.Store(int64(mean + (served-mean)/meanWeight))
}
