package pool

import "github.com/sardineline/sardineline/sard/work"

const (
	// roomPercent is the percentage of a service's capacity below which it has room while less is in use.
	roomPercent = 50
	// roomFactor is how many times a group must fit into the free capacity for there to be room for it.
	roomFactor = 2
)

// serviceUse is the capacity of the workers of a service and the part of it that is in use, in coreEquivalents.
type serviceUse struct {
	used, total int64
}

// hasRoom reports whether the capacity that is free, whatever it is kept for, suffices for a group several times over, and
// under roomPercent of its service is in use. How much is in use does not matter for a group that lasts.
func (r *round) hasRoom(g *group) bool {
	if !g.spec().Lasting {
		use := r.useOf(g.job.settings.Service)
		if use.used*100 >= use.total*roomPercent {
			return false
		}
	}
	want := roomFactor * len(g.parts)
	for _, n := range r.ableNodes(g) {
		if want -= r.maxParts(g, n, n.free()); want <= 0 {
			return true
		}
	}
	return false
}

// useOf returns how much of a service is in use, computed once per round. Parts that are being stopped don't count.
func (r *round) useOf(service work.Service) serviceUse {
	if r.use == nil {
		r.use = map[work.Service]*serviceUse{}
		for _, n := range r.engine.nodes {
			if !n.Accepting {
				continue
			}
			use := r.use[n.Service]
			if use == nil {
				use = &serviceUse{}
				r.use[n.Service] = use
			}
			use.total += coreEquivalents(n.Capacity)
			use.used += coreEquivalents(n.allocated.Minus(n.stopping))
		}
	}
	if use := r.use[service]; use != nil {
		return *use
	}
	return serviceUse{}
}
