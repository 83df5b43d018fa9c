package route

import "time"

// serviceWeight is the weight of a new sample in the moving averages of service times.
const serviceWeight = 0.05

// serviceTime is the moving average of how long requests take once they have a slot.
type serviceTime struct {
	mean      time.Duration
	deviation time.Duration
}

func (s *serviceTime) add(sample time.Duration) {
	if s.mean == 0 {
		s.mean = sample
		return
	}
	off := sample - s.mean
	s.mean += time.Duration(serviceWeight * float64(off))
	s.deviation += time.Duration(serviceWeight * float64(off.Abs()-s.deviation))
}

// likely returns the time within which most requests end.
func (s *serviceTime) likely() time.Duration {
	return s.mean + 2*s.deviation
}
