package admit

import "time"

// Waiting is a job of which some work waits to be placed.
type Waiting struct {
	// Standing is how the job stands if its waiting work starts now.
	Standing
	// Left is the work that the job still needs.
	Left CoreTime
	// AccountShare is the share of the work that runs which is of the job's client account, and Accounts the number of
	// accounts with work that runs or waits.
	AccountShare float64
	Accounts     int
}

// orderHorizon is the time for which work that is not placed now is taken to wait.
const orderHorizon = 3 * time.Second

// Stake returns what callers lose if the work is not placed now, for each unit of work that the job still needs. Work with
// the highest stake is placed first: a job that will just be in time, one of a high priority, and one of which most is done
// already. The size of a job does not matter, so that large ones are not left behind. The more of the running work is of
// the job's account, beyond an equal share, the less is its stake.
func (w Waiting) Stake() float64 {
	if w.Left <= 0 {
		return 0
	}
	overuse := max(1, w.AccountShare*float64(w.Accounts))
	return float64(w.DelayCost(orderHorizon)) / float64(w.Left) / overuse
}
