// Package fcast forecasts the run times of work from the run times of similar work that has ended and from the
// submitters' estimates.
package fcast

import "time"

// Forecast is what is known of a run time on a worker of normal speed before the work has started.
type Forecast struct {
	// Typical is the median, and High a run time that one in ten exceeds.
	Typical, High time.Duration
}
