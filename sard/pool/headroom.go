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
	// minHeadroomPercent and maxHeadroomPercent limit the accelerators that are kept free, as a percentage of all
	// accelerators.
	minHeadroomPercent = 22
	maxHeadroomPercent = 35
	// minUsedPercent is the percentage of the pool's accelerators that must be in use before any are kept free.
	minUsedPercent = 55
	// headroomSlackPercent is the percentage of a job's objective that its slack must exceed for the job to keep off
	// the headroom.
	headroomSlackPercent = 25
)

// demandPeak tracks the peak number of accelerators that guaranteed jobs use.
type demandPeak struct {
	// peak is the peak of the window that began at windowStart; previousPeak is that of the window before.
	peak, previousPeak ident.Accelerators
	windowStart        time.Time
}

// record adds an observation: the number of accelerators that guaranteed jobs use now.
func (d *demandPeak) record(now time.Time, accelerators ident.Accelerators) {
	if now.Sub(d.windowStart) > demandWindow {
		d.previousPeak, d.peak, d.windowStart = d.peak, 0, now
	}
	d.peak = max(d.peak, accelerators)
}

// recent returns the peak demand of the current and the previous window.
func (d *demandPeak) recent() ident.Accelerators {
	return max(d.peak, d.previousPeak)
}

// leavesHeadroom reports whether a job has so much slack that it should not use the capacity that is kept free for
// guaranteed jobs. It computes that once per round.
func (r *round) leavesHeadroom(j *job) bool {
	if j.leavesHeadroomIn != r.number {
		j.leavesHeadroomIn = r.number
		j.leavesHeadroom = j.settings.Priority != work.Guaranteed && j.urgency(r.now).slack*100 > j.objective()*headroomSlackPercent
	}
	return j.leavesHeadroom
}

// headroomNodes returns, for each node, whether it is kept free so that guaranteed jobs can start without stopping
// others. The headroom is the difference between the recent peak demand of guaranteed jobs and their current use,
// within limits, taken from the nodes with the most free accelerators. A mostly idle pool keeps none, as it has room
// for all jobs.
func (e *Engine) headroomNodes(now time.Time) []bool {
	var total, used, guaranteed ident.Accelerators
	for _, n := range e.nodes {
		if n.Accepting {
			total += n.Capacity.Accelerators
			used += n.allocated.Accelerators
		}
		for p := range n.parts {
			if p.group.job.settings.Priority == work.Guaranteed {
				guaranteed += p.group.demand().Accelerators
			}
		}
	}
	e.guaranteedDemand.record(now, guaranteed)
	wanted := min(max(e.guaranteedDemand.recent()-guaranteed, total*minHeadroomPercent/100), total*maxHeadroomPercent/100)
	headroom := make([]bool, len(e.nodes))
	if used*100 < total*minUsedPercent {
		return headroom
	}
	for _, n := range e.nodesByFreeAccelerators() {
		if wanted*2 < n.free().Accelerators || wanted <= 0 {
			// Only a small part of this node would be needed as headroom, so it is of more use to other jobs.
			break
		}
		headroom[n.index] = true
		wanted -= n.free().Accelerators
	}
	return headroom
}

// nodesByFreeAccelerators returns the accepting nodes in the order in which they are kept free: by compareHeadroom, then in
// descending order of free accelerators. Among equals, nodes of a rack stay together.
func (e *Engine) nodesByFreeAccelerators() []*node {
	nodes := make([]*node, 0, len(e.nodes))
	for _, n := range e.nodes {
		if n.Accepting {
			nodes = append(nodes, n)
		}
	}
	slices.SortFunc(nodes, func(a, b *node) int {
		return cmp.Or(
			compareHeadroom(a, b),
			cmp.Compare(b.free().Accelerators, a.free().Accelerators),
			cmp.Compare(a.Rack, b.Rack),
			cmp.Compare(a.index, b.index),
		)
	})
	return nodes
}
