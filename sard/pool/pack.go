package pool

import (
	"cmp"
	"slices"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// room returns what may be used of a node.
type room func(*node) work.Resources

// pack returns a node for each part of a group, within the room, or nil. Nodes that are slow, or that
// the group avoids, are used only when the others do not suffice.
func (r *round) pack(g *group, within room) []*node {
	candidates := r.candidates(g)
	avoided := func(n *node) bool { return g.avoided[n.WorkerProcess.Worker] || n.pace.slow(r.now) }
	if slices.ContainsFunc(candidates, avoided) {
		others := slices.DeleteFunc(slices.Clone(candidates), avoided)
		if nodes := r.packFast(g, others, within); nodes != nil {
			return nodes
		}
	}
	return r.packFast(g, candidates, within)
}

// packFast packs the parts of a gang on workers that are as fast as possible, as it works at the pace of the slowest.
func (r *round) packFast(g *group, candidates []*node, within room) []*node {
	if len(g.parts) > 1 {
		for _, least := range []speedClass{swift, usual} {
			fast := slices.DeleteFunc(slices.Clone(candidates), func(n *node) bool { return r.speeds[n.index] < least })
			if len(fast) == len(candidates) {
				break
			}
			if nodes := r.packNear(g, fast, within, false); nodes != nil {
				return nodes
			}
		}
	}
	return r.packNear(g, candidates, within, true)
}

// packNear packs parts near their data and, where they are to stay on one rack, near each other; elsewhere only if that
// is allowed and they could never be near.
func (r *round) packNear(g *group, candidates []*node, within room, elsewhere bool) []*node {
	step := g.spec()
	if step.DataRack != "" {
		near := onRack(candidates, step.DataRack)
		if nodes := r.packAny(g, near, within); nodes != nil {
			return nodes
		}
		if !elsewhere || !r.mayGoFar(g) {
			return nil
		}
		return r.packAny(g, candidates, within)
	}
	if !step.SameRack {
		return r.packAny(g, candidates, within)
	}
	if nodes := r.packRack(g, candidates, within); nodes != nil || !elsewhere || !r.mayGoFar(g) {
		return nodes
	}
	return r.packAny(g, candidates, within)
}

// candidates returns the nodes that may run parts of a group.
func (r *round) candidates(g *group) []*node {
	found := r.nodesFor(g, r.nodesKey(g))
	step := g.spec()
	if !step.Fills && step.Latency == 0 {
		return found
	}
	return slices.DeleteFunc(slices.Clone(found), func(n *node) bool { return n.clashes(step) })
}

// nodesFor returns the nodes of a key of the group, found once in a round.
func (r *round) nodesFor(g *group, key nodesKey) []*node {
	found, ok := r.usable[key]
	if !ok {
		found = r.usableNodes(g, key.patient)
		r.usable[key] = found
	}
	return found
}

func (r *round) usableNodes(g *group, patient bool) []*node {
	found := make([]*node, 0, len(r.engine.nodes))
	for _, n := range r.engine.nodes {
		if !n.Accepting || !n.suits(g) || !n.health.well(r.now) || patient && r.held[n.index] {
			continue
		}
		found = append(found, n)
	}
	return found
}

// packRack looks for one rack that takes all parts, the one that is left with the least.
func (r *round) packRack(g *group, candidates []*node, within room) []*node {
	racks := byRack(candidates)
	var best []*node
	bestLeft := 0.0
	for _, rack := range racks {
		nodes := r.packAny(g, rack, within)
		if nodes == nil {
			continue
		}
		left := 0.0
		for _, n := range rack {
			left += share(within(n), n.Capacity)
		}
		if best == nil || left < bestLeft {
			best, bestLeft = nodes, left
		}
	}
	return best
}

// onRack returns the nodes of a rack.
func onRack(nodes []*node, rack ident.Rack) []*node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return n.Rack != rack })
}

// byRack groups nodes by rack, in the order of their first node.
func byRack(nodes []*node) [][]*node {
	var racks [][]*node
	index := map[ident.Rack]int{}
	for _, n := range nodes {
		i, ok := index[n.Rack]
		if !ok {
			i = len(racks)
			index[n.Rack] = i
			racks = append(racks, nil)
		}
		racks[i] = append(racks[i], n)
	}
	return racks
}

// mayGoFar tells whether a group may be placed away from its data, or on several racks, because no rack that would do
// could take it even if it were empty. Nodes that are only kept free, or avoided, count as near.
func (r *round) mayGoFar(g *group) bool {
	key := r.nodesKey(g)
	key.patient = false
	for _, rack := range byRack(r.nodesFor(g, key)) {
		if data := g.spec().DataRack; data != "" && rack[0].Rack != data {
			continue
		}
		if r.enough(g, rack, func(n *node) work.Resources { return n.Capacity }) {
			return false
		}
	}
	return true
}

// fit is how many parts a node can take, and how much of it stays free then.
type fit struct {
	node  *node
	parts int
	left  float64
}

// packAny packs parts as tightly as it can.
func (r *round) packAny(g *group, candidates []*node, within room) []*node {
	want := len(g.parts)
	if !r.enough(g, candidates, within) {
		return nil
	}
	fits := make([]fit, 0, len(candidates))
	sum := 0
	for _, n := range candidates {
		avail := within(n)
		parts := min(r.capacityFor(g, n, avail), want)
		if parts == 0 {
			continue
		}
		sum += parts
		fits = append(fits, fit{node: n, parts: parts, left: share(avail.Minus(times(g.demand(), parts)), n.Capacity)})
	}
	if sum < want {
		return nil
	}
	slices.SortFunc(fits, func(a, b fit) int {
		return cmp.Or(cmp.Compare(a.left, b.left), cmp.Compare(a.node.index, b.node.index))
	})
	nodes := make([]*node, 0, want)
	for _, f := range fits {
		for range min(f.parts, want-len(nodes)) {
			nodes = append(nodes, f.node)
		}
	}
	return nodes
}

// enough tells whether the nodes can take all parts, without an order among them.
func (r *round) enough(g *group, candidates []*node, within room) bool {
	want := len(g.parts)
	for _, n := range candidates {
		if want -= r.capacityFor(g, n, within(n)); want <= 0 {
			return true
		}
	}
	return false
}

// capacityFor returns how many parts of a group fit into an amount on a node.
func (r *round) capacityFor(g *group, n *node, avail work.Resources) int {
	demand := g.demand()
	if !demand.Fits(avail) {
		return 0
	}
	parts := unbounded
	if demand.CPU > 0 {
		parts = min(parts, int(avail.CPU/demand.CPU))
	}
	if demand.Memory > 0 {
		parts = min(parts, int(avail.Memory/demand.Memory))
	}
	if demand.Accelerators > 0 {
		parts = min(parts, int(avail.Accelerators/demand.Accelerators))
	}
	if most := g.spec().MaxPerWorker; most > 0 {
		parts = min(parts, max(0, most-n.count(g)))
	}
	return parts
}

// unbounded is more parts than any group has.
const unbounded = 1 << 30

func times(a work.Resources, n int) work.Resources {
	return work.Resources{
		CPU:          a.CPU * work.MilliCores(n),
		Memory:       a.Memory * work.MiB(n),
		Accelerators: a.Accelerators * ident.Accelerators(n),
	}
}

// share returns how much of a capacity an amount is, summed over the resources.
func share(a, capacity work.Resources) float64 {
	sum := 0.0
	if capacity.CPU > 0 {
		sum += float64(a.CPU) / float64(capacity.CPU)
	}
	if capacity.Memory > 0 {
		sum += float64(a.Memory) / float64(capacity.Memory)
	}
	if capacity.Accelerators > 0 {
		sum += float64(a.Accelerators) / float64(capacity.Accelerators)
	}
	return sum
}
