package pool

import "github.com/sardineline/sardineline/sard/work"

// disturbance tells what runs on a node that some parts would disturb.
type disturbance struct {
	// fills is set if a part runs there that fills unused processor time, serves if one has a latency bound.
	fills, serves bool
}

// add adds a part of a step.
func (d *disturbance) add(step *work.Step) {
	d.fills = d.fills || step.Fills
	d.serves = d.serves || step.Latency > 0
}

// conflicts reports the same as node.conflictsWith. It looks at the parts of each node once per round.
func (r *round) conflicts(step *work.Step, n *node) bool {
	if !step.Fills && step.Latency == 0 {
		return false
	}
	if r.disturbed == nil {
		r.disturbed = make([]disturbance, len(r.engine.nodes))
		for _, n := range r.engine.nodes {
			for p := range n.parts {
				r.disturbed[n.index].add(p.group.spec())
			}
		}
	}
	d := r.disturbed[n.index]
	return step.Fills && d.serves || step.Latency > 0 && d.fills
}

// countDisturbing records that a group was placed on the given nodes.
func (r *round) countDisturbing(g *group, nodes []*node) {
	step := g.spec()
	if !step.Fills && step.Latency == 0 {
		return
	}
	r.disturbing++
	if r.disturbed == nil {
		return
	}
	for _, n := range nodes {
		r.disturbed[n.index].add(step)
	}
}
