package worker

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	wire "github.com/sardineline/sardineline/sard/worker"
)

// reportFor is how long an ended part stays in reports.
const reportFor = time.Hour

const fullSpeed = 100

// part is a gang's share on this worker. Its worker's lock guards it.
type part struct {
	name         wire.Part
	accelerators ident.AcceleratorSet
	spec         wire.Spec
	command      command
	state        ident.PartState
	message      string
	// forgotten parts are left out of reports.
	forgotten bool

	lapse  *time.Timer
	expiry time.Time
	finish *time.Timer

	started time.Time
	ended   time.Time
	// done is the work up to since, at percent of full speed.
	done    time.Duration
	since   time.Time
	percent int
}

func (p *part) live() bool {
	return p.state == ident.PartReserved || p.state == ident.PartRunning
}

// work returns the work that is done by now.
func (p *part) work(now time.Time) time.Duration {
	if p.state != ident.PartRunning {
		return p.done
	}
	return p.done + now.Sub(p.since)*time.Duration(p.percent)/fullSpeed
}

// rest returns the time until the work is done at the present speed.
func (p *part) rest() time.Duration {
	left := max(p.command.work-p.done, 0)
	return left * fullSpeed / time.Duration(p.percent)
}

// report tells the part's state now and its usage as it was at a time that lies back.
func (p *part) report(asOf time.Time) wire.PartReport {
	ran := time.Duration(0)
	if !p.started.IsZero() {
		end := asOf
		if !p.live() && p.ended.Before(asOf) {
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
	if p.lapse != nil {
		p.lapse.Stop()
	}
	if p.finish != nil {
		p.finish.Stop()
	}
}
