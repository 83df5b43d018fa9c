package pool

import (
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// Decide returns the orders to workers that follow from all changes since the last call.
func (e *Engine) Decide(now time.Time, nowMs int64) []Decision {
	for _, j := range e.jobs {
		j.settings = e.config.QueueSettings(j.Job)
		if !j.state.Terminal() {
			e.createDueOccurrences(j, now, nowMs)
		}
	}
	e.moveStalledAndSlow(now)
	e.moveOffLeavingWorkers()
	r := newRound(e, now)
	var unplaceable *stepState
	for _, g := range e.placementQueue(now) {
		step := g.stepState()
		if step == unplaceable {
			// All groups of a step have the same demand.
			continue
		}
		if !r.schedule(g) {
			unplaceable = step
		}
	}
	decisions := e.decisions
	e.decisions = nil
	return decisions
}

// availability is the capacity of a node that the groups still to be placed in a round may use.
type availability struct {
	// free is the capacity that is neither allocated nor reserved.
	free work.Resources
	// freeSoon is free plus the capacity of the parts that are being stopped.
	freeSoon work.Resources
}

// round is one pass over the waiting groups, which are placed in order of urgency.
type round struct {
	engine    *Engine
	now       time.Time
	available []availability
	// speeds holds the speed class of each node.
	speeds []speedClass
	// headroom marks the nodes that are kept free for guaranteed jobs.
	headroom []bool
	// unplaceable holds the keys of groups that did not fit, so that later groups with an equal key are skipped.
	unplaceable map[demandKey]bool
	// eligible caches, for each key, the nodes that can run the groups with that key.
	eligible map[eligibilityKey][]*node
}

// eligibilityKey holds all properties of a group that determine which nodes can run its parts.
type eligibilityKey struct {
	service work.Service
	label   string
	need    work.Resources
	// leavesHeadroom is set if the job must not use nodes that are kept free for guaranteed jobs.
	leavesHeadroom bool
}

// demandKey holds all properties of a group that determine whether it can be placed.
type demandKey struct {
	eligibilityKey
	parts           int
	sameRack        bool
	rack            ident.Rack
	maxPerWorker    int
	withinGuarantee bool
}

// demandKey returns the properties of g that determine whether it can be placed.
func (r *round) demandKey(g *group) demandKey {
	step := g.spec()
	return demandKey{
		eligibilityKey: r.eligibilityKey(g), parts: len(g.parts), sameRack: step.SameRack, rack: step.DataRack,
		maxPerWorker: step.MaxPerWorker, withinGuarantee: g.job.withinGuarantee,
	}
}

// eligibilityKey returns the properties of g that determine which nodes can run its parts.
func (r *round) eligibilityKey(g *group) eligibilityKey {
	return eligibilityKey{
		service: g.job.settings.Service, label: g.spec().Label, need: g.demand(),
		leavesHeadroom: g.job.leavesHeadroom(r.now),
	}
}

// newRound returns a round with the current free capacity of all nodes.
func newRound(e *Engine, now time.Time) *round {
	r := &round{engine: e, now: now, available: make([]availability, len(e.nodes)), unplaceable: map[demandKey]bool{}, eligible: map[eligibilityKey][]*node{}}
	for i, n := range e.nodes {
		free := n.free()
		r.available[i] = availability{free: free, freeSoon: free.Plus(n.stopping)}
	}
	r.speeds = make([]speedClass, len(e.nodes))
	for i, n := range e.nodes {
		r.speeds[i] = n.classifySpeed()
	}
	r.headroom = e.headroomNodes(now)
	return r
}

// schedule places a group if it fits. A guaranteed group that does not fit reserves capacity that is being freed, or
// else has other groups stopped. It reports false if neither is possible.
func (r *round) schedule(g *group) bool {
	key := r.demandKey(g)
	if r.unplaceable[key] {
		return false
	}
	if nodes := r.pack(g, r.free); nodes != nil {
		r.place(g, nodes)
		return true
	}
	if g.job.settings.Priority == work.Guaranteed {
		if nodes := r.pack(g, r.freeSoon); nodes != nil {
			r.reserve(g, nodes)
			return true
		}
		if r.reclaim(g) {
			return true
		}
	}
	r.unplaceable[key] = true
	return false
}

// free returns the capacity of a node that is available now.
func (r *round) free(n *node) work.Resources { return r.available[n.index].free }

// freeSoon returns the capacity of a node that is available once all pending stops have completed.
func (r *round) freeSoon(n *node) work.Resources { return r.available[n.index].freeSoon }

// reserve removes a group's demand from the available capacity of the nodes.
func (r *round) reserve(g *group, nodes []*node) {
	for _, n := range nodes {
		c := &r.available[n.index]
		c.free = c.free.Minus(g.demand())
		c.freeSoon = c.freeSoon.Minus(g.demand())
	}
}

// place starts a new attempt of a group on the given nodes. If that would violate an invariant, it records the
// violation and delays the group.
func (r *round) place(g *group, nodes []*node) {
	if violated := r.checkInvariants(g, nodes); violated != "" {
		r.engine.violations = append(r.engine.violations, Violation{Job: g.job.ID, Invariant: violated})
		g.retryAt = r.now.Add(violationRetryDelay)
		return
	}
	r.reserve(g, nodes)
	g.attempt++
	g.phase = placed
	g.startedAt, g.savedAt = r.now, r.now
	g.progress = attemptProgress{fromStart: g.checkpoint == ""}
	j := g.job
	j.started = true
	j.state = ident.Running
	r.engine.markDirty(j)
	for i, n := range nodes {
		p := &g.parts[i]
		n.attach(p)
		r.engine.decisions = append(r.engine.decisions, Start{
			Attempt: p.attemptID(), Worker: n.WorkerProcess, Priority: j.settings.Priority, Payload: j.Payload, Checkpoint: g.checkpoint,
		})
	}
}

// placementQueue returns the groups that can be placed, in order of urgency.
func (e *Engine) placementQueue(now time.Time) []*group {
	e.applyGuarantees()
	urgencies := make([]jobUrgency, 0, len(e.jobs))
	for _, j := range e.jobs {
		if !j.state.Terminal() {
			urgencies = append(urgencies, jobUrgency{job: j, urgency: j.urgency(now)})
		}
	}
	slices.SortFunc(urgencies, func(a, b jobUrgency) int { return a.urgency.compare(b.urgency) })
	var placeable []*group
	for _, u := range urgencies {
		placeable = append(placeable, u.job.placeableGroups(now)...)
	}
	return placeable
}

// jobUrgency is a job with its urgency.
type jobUrgency struct {
	job     *job
	urgency urgency
}

// placeableGroups returns the job's waiting groups whose step is ready and whose retry delay has passed, ordered by
// occurrence, step and first part.
func (j *job) placeableGroups(now time.Time) []*group {
	var found []*group
	for _, o := range j.occurrences {
		for s := range o.steps {
			if o.steps[s].unfinished == 0 || !o.stepReady(j, s) {
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

// applyGuarantees determines which guaranteed jobs are covered by their account's guarantee, oldest first.
func (e *Engine) applyGuarantees() {
	var guaranteed []*job
	for _, j := range e.jobs {
		j.withinGuarantee = false
		if j.settings.Priority == work.Guaranteed && !j.state.Terminal() {
			guaranteed = append(guaranteed, j)
		}
	}
	slices.SortFunc(guaranteed, compareAcceptance)
	used := map[ident.Account]ident.Accelerators{}
	for _, j := range guaranteed {
		need := j.acceleratorDemand()
		if used[j.Account]+need <= e.config.Guarantee(j.Account) {
			used[j.Account] += need
			j.withinGuarantee = true
		}
	}
}
