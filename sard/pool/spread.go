package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/work"
)

const (
	// spreadFactor is how many times as long a gang that should stay on one rack is taken to run on several.
	spreadFactor = 3
	// maxSpreadChecks limits how many gangs in a round are compared with waiting for a rack.
	maxSpreadChecks = 8
)

// placeSpread places a gang that should stay on one rack, but fits on none now, on several racks if it is expected to end
// in time there and not if it waits for a rack. It reports whether it did. Guaranteed jobs have others stopped instead.
func (r *round) placeSpread(g *group) bool {
	if r.bands == nil || !g.spec().SameRack || g.job.settings.Priority == work.Guaranteed || g.suspected() || r.spreadChecks >= maxSpreadChecks {
		return false
	}
	need := r.need(g)
	if need.Left <= need.Typical*spreadFactor || !g.demand().Fits(r.bounds.free) {
		return false
	}
	candidates := r.candidates(g)
	nodes, _, ok := r.fastPart(g, candidates, r.free)
	if !ok {
		return false
	}
	r.spreadChecks++
	placed := r.packTight(g, nodes, r.free)
	spread := need
	spread.Typical *= spreadFactor
	if placed == nil || !spread.EndsInTime(slowest(placed).known.Speed) || r.rackInTime(g, candidates, need.Left-need.Typical) {
		return false
	}
	r.place(g, placed)
	return true
}

// rackInTime reports whether a rack is expected to have room for a gang within the given time.
func (r *round) rackInTime(g *group, candidates []*node, wait time.Duration) bool {
	return wait > 0 && r.packOneRack(g, candidates, r.freeAt(candidates, r.now.Add(wait)), r.fastPart) != nil
}

// freeAt returns the capacity of nodes when all pending stops have completed and the groups have ended that are expected to
// end before the given time.
func (r *round) freeAt(nodes []*node, at time.Time) capacityFunc {
	freed := make(map[*node]work.Resources, len(nodes))
	for _, n := range nodes {
		for p := range n.parts {
			if g := p.group; !p.stopping && !g.spec().Lasting && r.engine.expectedEnd(g).Before(at) {
				freed[n] = freed[n].Plus(g.demand())
			}
		}
	}
	return func(n *node) work.Resources { return r.freeSoon(n).Plus(freed[n]) }
}
