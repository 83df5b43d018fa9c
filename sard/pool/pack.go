package pool

import (
	"cmp"
	"slices"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/speed"
	"github.com/sardineline/sardineline/sard/work"
)

// capacityFunc returns the resources of a node that the parts of a group may use.
type capacityFunc func(*node) work.Resources

// pack returns a node for each part of a group, or nil if the group does not fit. Shared nodes are used only if the others do not
// suffice, and then slow nodes and nodes that the group avoids.
func (r *round) pack(g *group, available capacityFunc) []*node {
	if !r.mayFit(g, available) {
		return nil
	}
	return packApart(g, r.candidates(g), func(candidates []*node) []*node { return r.packUnavoided(g, candidates, available) })
}

// packUnavoided returns a node for each part of a group, or nil. Slow nodes and nodes that the group avoids are used only if the others
// do not suffice.
func (r *round) packUnavoided(g *group, candidates []*node, available capacityFunc) []*node {
	avoided := func(n *node) bool { return r.slow[n.index] || g.avoids(n) }
	if slices.ContainsFunc(candidates, avoided) {
		others := slices.DeleteFunc(slices.Clone(candidates), avoided)
		if nodes := r.packPreferred(g, others, available); nodes != nil {
			return nodes
		}
	}
	return r.packPreferred(g, candidates, available)
}

// packPreferred places a group on the nodes that suit it by their speed, if they suffice.
func (r *round) packPreferred(g *group, candidates []*node, available capacityFunc) []*node {
	if r.bands != nil && !g.spec().Lasting {
		return r.packBySpeed(g, candidates, available)
	}
	return r.packFastest(g, candidates, available)
}

// mayFit reports whether a group fits on its candidates if no preference among them counts. It is cheaper than a search.
func (r *round) mayFit(g *group, available capacityFunc) bool {
	if !r.canHoldAll(g, r.candidates(g), available) {
		return false
	}
	step := g.spec()
	if step.DataRack == "" && !step.SameRack {
		return true
	}
	for _, rack := range r.candidateRacks(g) {
		if (step.DataRack == "" || rack[0].Rack == step.DataRack) && r.canHoldAll(g, rack, available) {
			return true
		}
	}
	return r.mayPlaceRemotely(g)
}

// packFastest places a gang on the fastest speed class of nodes that can hold it, since a gang runs at the speed of its
// slowest node.
func (r *round) packFastest(g *group, candidates []*node, available capacityFunc) []*node {
	if len(g.parts) > 1 {
		for _, minSpeed := range []speedClass{fastSpeed, normalSpeed} {
			fast := slices.DeleteFunc(slices.Clone(candidates), func(n *node) bool { return r.speeds[n.index] < minSpeed })
			if len(fast) == len(candidates) {
				break
			}
			if nodes := r.packByRack(g, fast, available, false, r.allNodes); nodes != nil {
				return nodes
			}
		}
	}
	return r.packByRack(g, candidates, available, true, r.allNodes)
}

// packByRack places the parts of a group on the rack of their data, or together on one rack if the step asks for it. It
// uses other racks only if allowRemote is set and no suitable rack could hold the group even when empty. Of the nodes that
// are possible then, choose selects those to use.
func (r *round) packByRack(g *group, candidates []*node, available capacityFunc, allowRemote bool, choose selector) []*node {
	step := g.spec()
	if step.DataRack != "" {
		near := nodesOnRack(candidates, step.DataRack)
		if nodes := r.packSelected(g, near, available, choose); nodes != nil {
			return nodes
		}
		if !allowRemote || !r.mayPlaceRemotely(g) {
			return nil
		}
		return r.packSelected(g, candidates, available, choose)
	}
	if !step.SameRack {
		return r.packSelected(g, candidates, available, choose)
	}
	if nodes := r.packOneRack(g, candidates, available, choose); nodes != nil || !allowRemote || !r.mayPlaceRemotely(g) {
		return nodes
	}
	return r.packSelected(g, candidates, available, choose)
}

// packSelected places the parts of a group on those of the nodes that choose selects.
func (r *round) packSelected(g *group, nodes []*node, available capacityFunc, choose selector) []*node {
	selected, _, ok := choose(g, nodes, available)
	if !ok {
		return nil
	}
	return r.packTight(g, selected, available)
}

// packOneRack places all parts of a group on a single rack. It picks the rack with the highest band, and among those the
// one with the least free capacity.
func (r *round) packOneRack(g *group, candidates []*node, available capacityFunc, choose selector) []*node {
	var best []*node
	var bestBand speed.Band
	bestFreeShare := 0.0
	for _, rack := range groupByRack(candidates) {
		selected, band, ok := choose(g, rack, available)
		if !ok || best != nil && band < bestBand {
			continue
		}
		nodes := r.packTight(g, selected, available)
		if nodes == nil {
			continue
		}
		freeShare := 0.0
		for _, n := range rack {
			freeShare += capacityShare(available(n), n.Capacity)
		}
		if best == nil || band > bestBand || freeShare < bestFreeShare {
			best, bestBand, bestFreeShare = nodes, band, freeShare
		}
	}
	return best
}

// nodesOnRack returns the nodes of one rack.
func nodesOnRack(nodes []*node, rack ident.Rack) []*node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return n.Rack != rack })
}

// groupByRack groups nodes by rack, in the order in which the racks first appear.
func groupByRack(nodes []*node) [][]*node {
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

// mayPlaceRemotely reports whether a group may be placed away from its data or across racks, which is the case if no
// suitable rack could hold it even when empty. Nodes that are kept free as headroom or avoided by the group still count
// towards their rack.
func (r *round) mayPlaceRemotely(g *group) bool {
	key := r.eligibilityKey(g)
	key.leavesHeadroom = false
	for _, rack := range r.eligibleNodes(g, key).byRack() {
		if data := g.spec().DataRack; data != "" && rack[0].Rack != data {
			continue
		}
		if r.canHoldAll(g, rack, func(n *node) work.Resources { return n.Capacity }) {
			return false
		}
	}
	return true
}

// nodeFit is the number of parts of a group that fit on a node and the fraction of its capacity that stays free.
type nodeFit struct {
	node      *node
	parts     int
	freeShare float64
}

// packTight places the parts of a group on the nodes of the slowest class, and within it on those that are left with the
// least free capacity.
func (r *round) packTight(g *group, candidates []*node, available capacityFunc) []*node {
	want := len(g.parts)
	if want == 1 {
		return r.packPart(g, candidates, available)
	}
	if !r.canHoldAll(g, candidates, available) {
		return nil
	}
	fits := make([]nodeFit, 0, len(candidates))
	sum := 0
	for _, n := range candidates {
		free := available(n)
		parts := min(r.maxParts(g, n, free), want)
		if parts == 0 {
			continue
		}
		sum += parts
		fits = append(fits, nodeFit{node: n, parts: parts, freeShare: capacityShare(free.Minus(multiply(g.demand(), parts)), n.Capacity)})
	}
	if sum < want {
		return nil
	}
	slices.SortFunc(fits, func(a, b nodeFit) int {
		return cmp.Or(
			cmp.Compare(r.band(a.node).Class(), r.band(b.node).Class()),
			cmp.Compare(a.freeShare, b.freeShare),
			cmp.Compare(a.node.index, b.node.index),
		)
	})
	nodes := make([]*node, 0, want)
	for _, f := range fits {
		for range min(f.parts, want-len(nodes)) {
			nodes = append(nodes, f.node)
		}
	}
	return nodes
}

// packPart places the only part of a group like packTight, without sorting the nodes.
func (r *round) packPart(g *group, candidates []*node, available capacityFunc) []*node {
	var best *node
	bestShare := 0.0
	for _, n := range candidates {
		free := available(n)
		if r.maxParts(g, n, free) == 0 {
			continue
		}
		share := capacityShare(free.Minus(g.demand()), n.Capacity)
		if best == nil || share < bestShare || share == bestShare && n.index < best.index {
			best, bestShare = n, share
		}
	}
	if best == nil {
		return nil
	}
	return []*node{best}
}

// canHoldAll reports whether the nodes can hold all parts of a group. It is cheaper than packTight, as it does not sort
// them.
func (r *round) canHoldAll(g *group, candidates []*node, available capacityFunc) bool {
	want := len(g.parts)
	for _, n := range candidates {
		if want -= r.maxParts(g, n, available(n)); want <= 0 {
			return true
		}
	}
	return false
}

// maxParts returns how many parts of a group fit on a node if they may use the available resources.
func (r *round) maxParts(g *group, n *node, available work.Resources) int {
	parts := partsByCapacity(g.demand(), available)
	if limit := g.spec().MaxPerWorker; limit > 0 && parts > 0 {
		parts = min(parts, max(0, limit-n.countParts(g)))
	}
	return parts
}

// partsByCapacity returns how many parts with a demand fit into the available resources.
func partsByCapacity(demand, available work.Resources) int {
	if !demand.Fits(available) {
		return 0
	}
	parts := noPartLimit
	if demand.CPU > 0 {
		parts = min(parts, int(available.CPU/demand.CPU))
	}
	if demand.Memory > 0 {
		parts = min(parts, int(available.Memory/demand.Memory))
	}
	if demand.Accelerators > 0 {
		parts = min(parts, int(available.Accelerators/demand.Accelerators))
	}
	return parts
}

// noPartLimit exceeds the number of parts of any group.
const noPartLimit = 1 << 30

// multiply returns n times the resources a.
func multiply(a work.Resources, n int) work.Resources {
	return work.Resources{
		CPU:          a.CPU * work.MilliCores(n),
		Memory:       a.Memory * work.MiB(n),
		Accelerators: a.Accelerators * ident.Accelerators(n),
	}
}

// capacityShare returns the fraction of the capacity that an amount takes, summed over all resources.
func capacityShare(a, capacity work.Resources) float64 {
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
