package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// demandWindow is how long a peak of guaranteed demand is remembered.
	demandWindow = 8 * time.Second
	// leastHeadroom and mostHeadroom bound the accelerators that are kept free, in percent of all.
	leastHeadroom = 22
	mostHeadroom  = 35
	// idleShare is the part of the accelerators, in percent, that must be in use for any to be kept free.
	idleShare = 55
	// patientShare is the part of a job's objective, in percent, that must be left as slack for it to leave headroom.
	patientShare = 25
)

// demand follows the accelerators that guaranteed jobs use or wait for.
type demand struct {
	// peak was reached at peakAt; older is the peak of the window before.
	peak, older ident.Accelerators
	peakAt      time.Time
}

// note takes the present demand in.
func (d *demand) note(now time.Time, amount ident.Accelerators) {
	if now.Sub(d.peakAt) > demandWindow {
		d.older, d.peak, d.peakAt = d.peak, 0, now
	}
	d.peak = max(d.peak, amount)
}

// recent returns the largest demand of the last window or two.
func (d *demand) recent() ident.Accelerators {
	return max(d.peak, d.older)
}

// leavesHeadroom tells whether the job can wait so long that it should not take what guaranteed jobs may need soon.
func (j *job) leavesHeadroom(now time.Time) bool {
	if j.terms.Priority == work.Guaranteed {
		return false
	}
	return j.urgency(now).slack*100 > j.objective()*patientShare
}

// hold returns which nodes are kept free, so that guaranteed jobs start without others being stopped: as many
// accelerators as the recent peak of their demand exceeds the present, on the emptiest nodes. A pool that is mostly idle
// keeps nothing: it has room for both.
func (e *Engine) hold(now time.Time) []bool {
	var total, inUse, used ident.Accelerators
	for _, n := range e.nodes {
		if n.Accepting {
			total += n.Capacity.Accelerators
			inUse += n.used.Accelerators
		}
		for p := range n.parts {
			if p.group.job.terms.Priority == work.Guaranteed {
				used += p.group.demand().Accelerators
			}
		}
	}
	e.demand.note(now, used)
	keep := min(max(e.demand.recent()-used, total*leastHeadroom/100), total*mostHeadroom/100)
	held := make([]bool, len(e.nodes))
	if inUse*100 < total*idleShare {
		return held
	}
	for _, n := range e.emptiest() {
		if keep*2 < n.free().Accelerators || keep <= 0 {
			// A worker of which little is needed is more use to others.
			break
		}
		held[n.index] = true
		keep -= n.free().Accelerators
	}
	return held
}

// emptiest returns the accepting nodes, those with the most free accelerators first and racks together.
func (e *Engine) emptiest() []*node {
	nodes := make([]*node, 0, len(e.nodes))
	for _, n := range e.nodes {
		if n.Accepting {
			nodes = append(nodes, n)
		}
	}
	slices.SortFunc(nodes, func(a, b *node) int {
		return cmp.Or(
			cmp.Compare(b.free().Accelerators, a.free().Accelerators),
			cmp.Compare(a.Rack, b.Rack),
			cmp.Compare(a.index, b.index),
		)
	})
	return nodes
}
