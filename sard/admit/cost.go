// Package admit weighs what it costs callers when the work of a pool is delayed, stopped or refused. It performs no I/O
// and reads no clock.
//
// A job has its whole value to its caller if it completes within its objective, less up to ExpiryObjectives times
// the objective, and nothing after that. The value grows with the work that the job needs and with its priority.
package admit

import (
	"time"

	"github.com/sardineline/sardineline/sard/work"
)

const (
	// ExpiryObjectives is the number of objectives after which a job's result is of no use any more.
	ExpiryObjectives = 3
	// lateShare is the share of a job's value that is left when it completes after its objective.
	lateShare = 0.4
	// minSpread is the least uncertainty of an expected end.
	minSpread = 250 * time.Millisecond
)

// CoreTime is an amount of work or of its value: the time for which one processor core does it, in nanoseconds. Large jobs
// may exceed the range of a time.Duration.
type CoreTime float64

// Standing says how far a job is expected to end before its objective, and what is at stake.
type Standing struct {
	Priority work.Priority
	// Objective is the time in which the job should complete.
	Objective time.Duration
	// Slack is the time from the expected end to the end of the objective; it is negative if the job will be late.
	Slack time.Duration
	// Spread is by how much the job may end earlier or later than expected.
	Spread time.Duration
	// Work is the work of the whole job.
	Work CoreTime
}

// ValueShare returns the share of its value that the job is expected to keep, from 0 to 1.
func (s Standing) ValueShare() float64 {
	onTime := s.likelihood(s.Slack)
	useful := s.likelihood(s.Slack + (ExpiryObjectives-1)*s.Objective)
	return lateShare*useful + (1-lateShare)*onTime
}

// likelihood returns how likely an event is that happens if the job ends no later than expected plus margin.
func (s Standing) likelihood(margin time.Duration) float64 {
	spread := max(s.Spread, minSpread)
	return min(1, max(0, 0.5+0.5*float64(margin)/float64(spread)))
}

// Delayed returns the standing of the job if it ends later by a delay.
func (s Standing) Delayed(delay time.Duration) Standing {
	s.Slack -= delay
	return s
}

// Hopeless reports whether the result of the job will surely come too late to be of use.
func (s Standing) Hopeless() bool {
	return s.ValueShare() == 0
}

// DelayCost returns the value that callers lose if the job ends later by a delay.
func (s Standing) DelayCost(delay time.Duration) CoreTime {
	lost := s.ValueShare() - s.Delayed(delay).ValueShare()
	return CoreTime(lost*weight(s.Priority)) * s.Work
}

// Weights of a unit of work by priority. The work of guaranteed jobs is short, and someone waits for its result.
const (
	guaranteedWeight = 16
	firstWeight      = 2
	otherWeight      = 1
)

// weight returns the value of a unit of work to its caller by its priority.
func weight(p work.Priority) float64 {
	switch p {
	case work.Guaranteed:
		return guaranteedWeight
	case work.Guaranteed + 1:
		return firstWeight
	default:
		return otherWeight
	}
}
