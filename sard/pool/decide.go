package pool

import (
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// Decide returns the orders that follow from all that was told since the last call.
func (e *Engine) Decide(now time.Time, nowMs int64) []Decision {
	for _, j := range e.jobs {
		j.terms = e.config.QueueSettings(j.Job)
		if !j.state.Terminal() {
			e.wake(j, now, nowMs)
		}
	}
	e.moveStuck(now)
	e.moveLeaving()
	r := newRound(e, now)
	for _, g := range e.queue(now) {
		r.serve(g)
	}
	out := e.out
	e.out = nil
	return out
}

// claim is how much of a worker's capacity is left for the groups that come later in the round.
type claim struct {
	// free is not used and not reserved.
	free work.Resources
	// soon is free once what is being stopped is gone.
	soon work.Resources
}

// round serves the waiting groups once, in order.
type round struct {
	engine *Engine
	now    time.Time
	claims []claim
	// speeds are those of the nodes.
	speeds []speedClass
	// held tells which nodes are kept free for guaranteed jobs.
	held []bool
	// misses are demands that did not fit, so that equal ones need not be tried.
	misses map[demandKey]bool
	// usable caches the nodes that may run parts of a demand.
	usable map[nodesKey][]*node
}

// nodesKey is what the nodes that may run a part depend on.
type nodesKey struct {
	service work.Service
	label   string
	need    work.Resources
	// patient tells that the job leaves headroom.
	patient bool
}

// demandKey is what a group asks for.
type demandKey struct {
	nodesKey
	parts        int
	sameRack     bool
	rack         ident.Rack
	maxPerWorker int
	covered      bool
}

// demandKey returns what g asks for.
func (r *round) demandKey(g *group) demandKey {
	step := g.spec()
	return demandKey{
		nodesKey: r.nodesKey(g), parts: len(g.parts), sameRack: step.SameRack, rack: step.DataRack,
		maxPerWorker: step.MaxPerWorker, covered: g.job.covered,
	}
}

func (r *round) nodesKey(g *group) nodesKey {
	return nodesKey{
		service: g.job.terms.Service, label: g.spec().Label, need: g.demand(),
		patient: g.job.leavesHeadroom(r.now),
	}
}

func newRound(e *Engine, now time.Time) *round {
	r := &round{engine: e, now: now, claims: make([]claim, len(e.nodes)), misses: map[demandKey]bool{}, usable: map[nodesKey][]*node{}}
	for i, n := range e.nodes {
		free := n.free()
		r.claims[i] = claim{free: free, soon: free.Plus(n.leaving)}
	}
	r.speeds = make([]speedClass, len(e.nodes))
	for i, n := range e.nodes {
		r.speeds[i] = n.class()
	}
	r.held = e.hold(now)
	return r
}

// serve places a group, or reserves capacity for it that is being freed, or has capacity freed for it.
func (r *round) serve(g *group) {
	key := r.demandKey(g)
	if r.misses[key] {
		return
	}
	if nodes := r.pack(g, r.free); nodes != nil {
		r.place(g, nodes)
		return
	}
	if g.job.terms.Priority != work.Guaranteed {
		r.misses[key] = true
		return
	}
	if nodes := r.pack(g, r.soon); nodes != nil {
		r.reserve(g, nodes)
		return
	}
	if !r.reclaim(g) {
		r.misses[key] = true
	}
}

func (r *round) free(n *node) work.Resources { return r.claims[n.index].free }
func (r *round) soon(n *node) work.Resources { return r.claims[n.index].soon }

// reserve keeps capacity on nodes for a group.
func (r *round) reserve(g *group, nodes []*node) {
	for _, n := range nodes {
		c := &r.claims[n.index]
		c.free = c.free.Minus(g.demand())
		c.soon = c.soon.Minus(g.demand())
	}
}

// place starts a new attempt of a group.
func (r *round) place(g *group, nodes []*node) {
	if breach := r.audit(g, nodes); breach != "" {
		r.engine.breaches = append(r.engine.breaches, Violation{Job: g.job.ID, Invariant: breach})
		g.retryAt = r.now.Add(breachPause)
		return
	}
	r.reserve(g, nodes)
	g.attempt++
	g.phase = placed
	g.startedAt, g.savedAt = r.now, r.now
	g.watch = watch{whole: g.checkpoint == ""}
	j := g.job
	j.begun = true
	j.state = ident.Running
	r.engine.touch(j)
	for i, n := range nodes {
		p := &g.parts[i]
		n.attach(p)
		r.engine.out = append(r.engine.out, Start{
			Attempt: p.attemptOf(), Worker: n.WorkerProcess, Payload: j.Payload, Checkpoint: g.checkpoint,
		})
	}
}

// queue returns the groups that may be placed, the most urgent first.
func (e *Engine) queue(now time.Time) []*group {
	e.cover()
	var open []*group
	for _, j := range e.jobs {
		if !j.state.Terminal() {
			open = append(open, j.open(now)...)
		}
	}
	urgencies := make(map[*job]urgency, len(e.jobs))
	for _, g := range open {
		if _, ok := urgencies[g.job]; !ok {
			urgencies[g.job] = g.job.urgency(now)
		}
	}
	slices.SortFunc(open, func(a, b *group) int {
		if c := urgencies[a.job].compare(urgencies[b.job]); c != 0 {
			return c
		}
		return compareGroup(a, b)
	})
	return open
}

// open returns the groups of a job that wait and whose turn has come.
func (j *job) open(now time.Time) []*group {
	var found []*group
	for _, o := range j.occurrences {
		for s := range o.steps {
			if o.steps[s].open == 0 || !o.ready(j, s) {
				continue
			}
			for _, g := range o.steps[s].groups {
				if g.phase == waiting && !now.Before(g.retryAt) {
					found = append(found, g)
				}
			}
		}
	}
	return found
}

// cover marks the guaranteed jobs that their accounts' guarantees cover, the oldest first.
func (e *Engine) cover() {
	var guaranteed []*job
	for _, j := range e.jobs {
		j.covered = false
		if j.terms.Priority == work.Guaranteed && !j.state.Terminal() {
			guaranteed = append(guaranteed, j)
		}
	}
	slices.SortFunc(guaranteed, compareAge)
	used := map[ident.Account]ident.Accelerators{}
	for _, j := range guaranteed {
		need := j.accelerators()
		if used[j.Account]+need <= e.config.Guarantee(j.Account) {
			used[j.Account] += need
			j.covered = true
		}
	}
}
