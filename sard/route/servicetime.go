package route

import "time"

// serviceTimeSmoothing is the weight of a new sample in the moving averages.
const serviceTimeSmoothing = 0.05

// serviceTime keeps exponential moving averages of the service time, from acquiring a slot to the end of the
// response, and of its absolute deviation.
type serviceTime struct {
	mean      time.Duration
	deviation time.Duration
}

// observe adds the service time of one request to the averages.
func (s *serviceTime) observe(sample time.Duration) {
	if s.mean == 0 {
		s.mean = sample
		return
	}
	difference := sample - s.mean
	s.mean += time.Duration(serviceTimeSmoothing * float64(difference))
	s.deviation += time.Duration(serviceTimeSmoothing * float64(difference.Abs()-s.deviation))
}

// upperEstimate returns a service time within which most requests end.
func (s *serviceTime) upperEstimate() time.Duration {
	return s.mean + 2*s.deviation
}
