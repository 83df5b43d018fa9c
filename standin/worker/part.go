package worker

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	wire "github.com/sardineline/sardineline/sard/worker"
)

// endedPartRetention is how long an ended part is kept and listed in reports.
const endedPartRetention = time.Hour

// fullSpeedPercent is the speed, in percent, of a part that is not throttled.
const fullSpeedPercent = 100

// part is the part of a gang that runs on this worker. It is guarded by the worker's lock.
type part struct {
	name         wire.Part
	accelerators ident.AcceleratorSet
	spec         wire.Spec
	command      command
	state        ident.PartState
	message      string
	// forgotten means that reports leave out the part. Callers set it for an ended part.
	forgotten bool

	leaseTimer  *time.Timer
	leaseExpiry time.Time
	finishTimer *time.Timer

	started time.Time
	ended   time.Time
	// workDone is the work completed up to speedSince, as the time it takes at full speed. Since then, the part runs at
	// speedPercent of full speed.
	workDone     time.Duration
	speedSince   time.Time
	speedPercent int
}

// isActive reports whether the part is reserved or running, that is, has not ended.
func (p *part) isActive() bool {
	return p.state == ident.PartReserved || p.state == ident.PartRunning
}

// workDoneAt returns the work completed by now, as the time it takes at full speed.
func (p *part) workDoneAt(now time.Time) time.Duration {
	if p.state != ident.PartRunning {
		return p.workDone
	}
	return p.workDone + now.Sub(p.speedSince)*time.Duration(p.speedPercent)/fullSpeedPercent
}

// remainingTime returns the time from speedSince until the work is complete, at the current speed.
func (p *part) remainingTime() time.Duration {
	remainingWork := max(p.command.duration-p.workDone, 0)
	return remainingWork * fullSpeedPercent / time.Duration(p.speedPercent)
}

// report returns the part's current state with its running time up to asOf, which may be in the past.
func (p *part) report(asOf time.Time) wire.PartReport {
	ran := time.Duration(0)
	if !p.started.IsZero() {
		end := asOf
		if !p.isActive() && p.ended.Before(asOf) {
			end = p.ended
		}
		ran = max(end.Sub(p.started), 0)
	}
	return wire.PartReport{
		Part:         p.name,
		State:        p.state,
		Accelerators: p.accelerators,
		Message:      p.message,
		Ran:          ident.Duration(ran),
	}
}

func (p *part) stopTimers() {
	if p.leaseTimer != nil {
		p.leaseTimer.Stop()
	}
	if p.finishTimer != nil {
		p.finishTimer.Stop()
	}
}
