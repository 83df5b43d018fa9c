package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/admit"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/speed"
	"github.com/sardineline/sardineline/sard/work"
)

//go:generate go tool stringer -type=Choice -output=choice_string.go

// Choice tells by what a group's nodes were chosen, as far as their speed counts.
type Choice int

// Ways in which nodes are chosen.
const (
	// FastFirst is the choice of the fastest nodes for a group with little slack or of a guaranteed job.
	FastFirst Choice = iota
	// SlowSuffices is the choice of nodes that are not needed by groups with less slack.
	SlowSuffices
	// Exploring is the choice of nodes of unknown speed for a group with much slack.
	Exploring
	// TooSlow is the choice of nodes on which the group is expected to end too late, as there are no others.
	TooSlow
	choices
)

// Choices counts placements by Choice.
type Choices [choices]int

// TakeChoices returns the numbers of placements since the last call. It counts only with Config.WorkerSpeeds.
func (e *Engine) TakeChoices() Choices {
	taken := e.choices
	e.choices = Choices{}
	return taken
}

// need returns how much time a group has. Its forecast is corrected by the usual error in the group's queue.
func (r *round) need(g *group) speed.Need {
	forecast := r.engine.forecast(g)
	need := speed.Need{
		Typical: forecast.Typical, High: forecast.High, Left: r.timeLeft(g), First: g.job.settings.Priority == work.Guaranteed,
	}
	if errors := r.engine.estimateErrors[g.job.Queue]; errors != nil {
		need.Typical = scaled(forecast.Typical, -errors.bias.value())
		need.High = max(need.High, scaled(need.Typical, math.Sqrt(errors.variance.value())))
	}
	return need
}

// scaled returns a run time multiplied by a factor with the given logarithm.
func scaled(runTime time.Duration, logFactor float64) time.Duration {
	return time.Duration(float64(runTime) * math.Exp(logFactor))
}

// timeLeft returns the time in which a group should end: until its job's objective, less what the steps after it take. A
// group that has missed that should end while the result is still of use.
func (r *round) timeLeft(g *group) time.Duration {
	o := g.occurrence
	objective := g.job.objective()
	left := objective - r.now.Sub(o.dueAt) - r.engine.timesAfter(o)[g.step]
	if left <= 0 {
		left += (admit.ExpiryObjectives - 1) * objective
	}
	return left
}

// placesBySpeed reports whether the speeds of workers are taken into account: with Config.WorkerSpeeds, in a pool of
// Config.MinSpeedRacks racks or more.
func (e *Engine) placesBySpeed() bool {
	if e.speeds == nil {
		return false
	}
	racks := map[ident.Rack]bool{}
	for _, n := range e.nodes {
		if len(racks) >= e.config.MinSpeedRacks {
			break
		}
		if n.Accepting {
			racks[n.Rack] = true
		}
	}
	return len(racks) >= e.config.MinSpeedRacks
}

// nodeBands returns the band of each node.
func (e *Engine) nodeBands() []speed.Band {
	bands := make([]speed.Band, len(e.nodes))
	for i, n := range e.nodes {
		bands[i] = n.known.Band()
	}
	return bands
}

// band returns the band of a node, which is 0 for all nodes if speeds are not taken into account.
func (r *round) band(n *node) speed.Band {
	if r.bands == nil {
		return 0
	}
	return r.bands[n.index]
}

// sortFastFirst sorts nodes by band, fastest first.
func (r *round) sortFastFirst(nodes []*node) {
	slices.SortStableFunc(nodes, func(a, b *node) int { return cmp.Compare(r.band(b), r.band(a)) })
}

// packBySpeed places a group on the nodes whose speed suits it. The candidates are sorted by sortFastFirst. A group that
// wants fast nodes gets the fastest band that can hold it, where a gang counts by its slowest node; any other group gets
// the slowest nodes on which it ends in time.
func (r *round) packBySpeed(g *group, candidates []*node, available capacityFunc) []*node {
	need := r.need(g)
	if need.WantsFast() {
		return r.packByRack(g, candidates, available, true, r.fastPart)
	}
	floor := need.Floor()
	sufficient := candidates[:countWhile(candidates, func(n *node) bool { return r.band(n) >= floor })]
	if nodes := r.packByRack(g, sufficient, available, false, r.slowPart); nodes != nil {
		return nodes
	}
	return r.packByRack(g, candidates, available, true, r.slowPart)
}

// countWhile returns the number of leading nodes for which holds returns true.
func countWhile(nodes []*node, holds func(*node) bool) int {
	for i, n := range nodes {
		if !holds(n) {
			return i
		}
	}
	return len(nodes)
}

// selector returns the nodes, sorted by sortFastFirst, to which a group should be limited, and the band by which the
// choice compares with that of another rack; ok is false if they can't hold the group.
type selector func(g *group, nodes []*node, available capacityFunc) (part []*node, band speed.Band, ok bool)

// allNodes limits a group to nothing.
func (r *round) allNodes(g *group, nodes []*node, available capacityFunc) ([]*node, speed.Band, bool) {
	return nodes, 0, true
}

// fastPart returns the fastest nodes that can hold the group, with all others of the band of the slowest among them.
func (r *round) fastPart(g *group, nodes []*node, available capacityFunc) ([]*node, speed.Band, bool) {
	want := len(g.parts)
	for i, n := range nodes {
		if want -= r.maxParts(g, n, available(n)); want <= 0 {
			slowest := r.band(n)
			rest := countWhile(nodes[i:], func(n *node) bool { return r.band(n) == slowest })
			return nodes[:i+rest], slowest, true
		}
	}
	return nil, 0, false
}

// slowPart returns the slowest nodes that can hold the group, with all others of the class of the fastest among them. It
// rates all racks alike, so that the fullest is chosen.
func (r *round) slowPart(g *group, nodes []*node, available capacityFunc) ([]*node, speed.Band, bool) {
	want := len(g.parts)
	if want == 1 {
		return r.slowNode(g, nodes, available)
	}
	for i := len(nodes) - 1; i >= 0; i-- {
		if want -= r.maxParts(g, nodes[i], available(nodes[i])); want <= 0 {
			fastest := r.band(nodes[i]).Class()
			return nodes[countWhile(nodes, func(n *node) bool { return r.band(n).Class() > fastest }):], 0, true
		}
	}
	return nil, 0, false
}

// slowNode returns the node for a single part: one to explore, or else of the slowest class, and among those the one that is
// left with the least free capacity.
func (r *round) slowNode(g *group, nodes []*node, available capacityFunc) ([]*node, speed.Band, bool) {
	best, bestShare := -1, 0.0
	for i, n := range nodes {
		free := available(n)
		if r.maxParts(g, n, free) == 0 {
			continue
		}
		share := capacityShare(free.Minus(g.demand()), n.Capacity)
		if best < 0 || cmp.Or(r.compareSlow(n, nodes[best]), cmp.Compare(share, bestShare), cmp.Compare(n.index, nodes[best].index)) < 0 {
			best, bestShare = i, share
		}
	}
	if best < 0 {
		return nil, 0, false
	}
	return nodes[best : best+1], 0, true
}

// compareSlow orders nodes for a single part with much slack: first those to explore, then the slowest.
func (r *round) compareSlow(a, b *node) int {
	if r.explorable[a.index] != r.explorable[b.index] {
		if r.explorable[a.index] {
			return -1
		}
		return 1
	}
	return cmp.Compare(r.band(a).Class(), r.band(b).Class())
}

// exploredShare is the share of nodes, as a divisor, that are explored at once. Each takes a single part, which may be in
// the way of a gang.
const exploredShare = 8

// explorableNodes returns the nodes that a single part may explore: their speed is unknown, and no part is running there
// that will tell it.
func (e *Engine) explorableNodes() []bool {
	explorable := make([]bool, len(e.nodes))
	budget := len(e.nodes)/exploredShare + 1
	for _, n := range e.nodes {
		if !n.known.Known() && n.measures() {
			budget--
		}
	}
	for i, n := range e.nodes {
		if budget > 0 && n.Accepting && !n.known.Known() && !n.measures() {
			explorable[i] = true
			budget--
		}
	}
	return explorable
}

// measures reports whether a part runs on the node whose pace has not been measured yet.
func (n *node) measures() bool {
	for p := range n.parts {
		if !p.group.paceSample.measured && p.group.phase == placed {
			return true
		}
	}
	return false
}

// fasterClaim returns the cheapest claim on nodes on which a group that has others stopped probably ends in time, if it
// would not with the given claim and the work lost in addition is less than its own. Otherwise it returns the given claim.
// The candidates are sorted by sortFastFirst.
func (r *round) fasterClaim(g *group, candidates []*node, best *claim) *claim {
	if r.bands == nil || best == nil || len(best.nodes) == 0 || g.spec().Lasting {
		return best
	}
	need := r.need(g)
	floor := need.Floor()
	if r.band(slowest(best.nodes)) >= floor {
		return best
	}
	fast := candidates[:countWhile(candidates, func(n *node) bool { return r.band(n) >= floor })]
	if faster := r.claimAmong(g, fast); faster != nil && faster.cost-best.cost <= ownWork(g, need) {
		return faster
	}
	return best
}

// ownWork returns the work that a group does, in the unit of stopCost.
func ownWork(g *group, need speed.Need) time.Duration {
	return need.Typical * time.Duration(coreEquivalents(g.demand())) * time.Duration(len(g.parts))
}

// claimAmong returns the cheapest claim on some of the given nodes, on one rack if the group must stay on one.
func (r *round) claimAmong(g *group, nodes []*node) *claim {
	if !g.spec().SameRack {
		return r.cheapestClaim(g, nodes)
	}
	var best *claim
	for _, rack := range groupByRack(nodes) {
		if c := r.cheapestClaim(g, rack); c != nil && (best == nil || c.cost < best.cost) {
			best = c
		}
	}
	return best
}

// countChoice counts the placement of a group.
func (r *round) countChoice(g *group, nodes []*node) {
	if r.bands == nil || g.spec().Lasting {
		return
	}
	r.engine.choices[r.choice(g, nodes)]++
	for _, n := range nodes {
		r.explorable[n.index] = false
	}
}

// choice returns by what the nodes of a group were chosen.
func (r *round) choice(g *group, nodes []*node) Choice {
	switch need := r.need(g); {
	case !need.EndsInTime(slowest(nodes).known.Speed):
		return TooSlow
	case need.WantsFast():
		return FastFirst
	case slices.ContainsFunc(nodes, func(n *node) bool { return !n.known.Known() }):
		return Exploring
	default:
		return SlowSuffices
	}
}

// compareHeadroom orders nodes that are surely faster than a typical one, and at least half free, first, so that they are
// kept free for guaranteed jobs. Without learned speeds, all nodes are equal.
func compareHeadroom(a, b *node) int {
	return cmp.Compare(headroomRank(a), headroomRank(b))
}

// headroomRank returns 0 for nodes that are kept free before others, and otherwise 1. The rest of a node that is mostly
// used would count as headroom, but be too small for many parts.
func headroomRank(n *node) int {
	if n.known.Known() && n.known.Band() > 0 && n.free().Accelerators*2 >= n.Capacity.Accelerators {
		return 0
	}
	return 1
}
