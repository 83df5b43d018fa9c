package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

const (
	// paceMemory is how long an observation of a worker's pace counts.
	paceMemory = 4 * time.Second
	// slowPace is the share of the estimated pace below which a worker counts as slow.
	slowPace = 0.4
	// slowJobs is how many jobs must be slow on a worker, as the estimate of one may be wrong.
	slowJobs = 2
)

// pace tells how fast a worker works compared with the estimates of the jobs that it runs.
type pace struct {
	seen map[ident.Job]paceSeen
}

// paceSeen is what one job showed of a worker.
type paceSeen struct {
	ratio float64
	// dropped tells that the job has become much slower than it was.
	dropped bool
	at      time.Time
}

// note takes the progress of a group on the worker in. The parts of a gang work at the pace of the slowest.
func (p *pace) note(g *group, now time.Time) {
	estimate := g.spec().Estimate.Seconds()
	if g.watch.rate <= 0 || estimate <= 0 {
		return
	}
	if p.seen == nil {
		p.seen = map[ident.Job]paceSeen{}
	}
	p.seen[g.job.ID] = paceSeen{ratio: g.watch.rate * estimate / 100, dropped: g.watch.dropped(), at: now}
}

// slow tells whether all that was seen of the worker lately was slow.
func (p *pace) slow(now time.Time) bool {
	slow, dropped := 0, 0
	for job, s := range p.seen {
		if now.Sub(s.at) > paceMemory {
			delete(p.seen, job)
			continue
		}
		if s.ratio >= slowPace && !s.dropped {
			return false
		}
		slow++
		if s.dropped {
			dropped++
		}
	}
	return slow >= slowJobs || dropped > 0
}
