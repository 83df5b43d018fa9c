package pool

import (
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/speed"
	"github.com/sardineline/sardineline/sard/work"
)

// Decide returns the orders to workers that follow from all changes since the last call.
func (e *Engine) Decide(now time.Time, nowMs int64) []Decision {
	e.now = now
	for _, j := range e.jobs {
		e.applySettings(j, e.config.QueueSettings(j.Job))
		if !j.state.Terminal() {
			e.createDueOccurrences(j, now, nowMs)
			e.refreshLengths(j, now)
		}
	}
	e.refreshSpeeds(now)
	e.moveStalledAndSlow(now)
	e.moveOffLeavingWorkers()
	queue := e.placementQueue(now)
	waited := beginWaits(queue, now)
	r := newRound(e, now)
	r.holdReservations(queue)
	var unplaceable *stepState
	for _, g := range queue {
		step := g.stepState()
		if step == unplaceable && r.held[g] == nil && !g.suspected() {
			// All groups of a step have the same demand.
			continue
		}
		if !r.schedule(g) && !g.suspected() {
			unplaceable = step
		}
	}
	r.endHolds(waited)
	r.takeTurns(waited)
	r.examineWaits(waited)
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

// roundNumber is the number of a round, from 1.
type roundNumber uint64

// round is one pass over the waiting groups, which are placed in order of urgency.
type round struct {
	engine    *Engine
	number    roundNumber
	now       time.Time
	available []availability
	bounds    capacityBounds
	// speeds holds the speed class of each node, and slow whether its current rate is slow.
	speeds []speedClass
	slow   []bool
	// bands holds the band of each node by its learned speed; nil if speeds are not taken into account.
	bands []speed.Band
	// spreadChecks counts the gangs for which spreading over racks was compared with waiting.
	spreadChecks int
	// explorable tells for which nodes of unknown speed nothing runs that will tell it.
	explorable []bool
	// headroom marks the nodes that are kept free for guaranteed jobs.
	headroom []bool
	// demands holds what is known of groups with each key.
	demands map[demandKey]*demand
	// holds holds what is known of the end of holds for groups with each key.
	holds map[holdKey]*holdDemand
	// victimLists caches, for each class of groups that may preempt others, the victims on each node; nil if not known.
	victimLists map[preemptorClass][]*victimList
	// held holds the reservations that are set aside for groups that were not scheduled yet.
	held map[*group][]*node
	// reservedFor holds the nodes on which a group has reserved capacity that is about to be free.
	reservedFor map[*node]bool
	// keptForStart holds the capacity that groups which their account's guarantee covers have reserved.
	keptForStart map[*node]work.Resources
	// isolated holds the nodes on which only the given group may be placed, and isolating holds these groups.
	isolated  map[*node]*group
	isolating map[*group]bool
	// sharing counts the groups that were placed in this round and may disturb others, or be disturbed.
	sharing int
	lists   nodeLists
	// accepting holds the number of accepting workers of each service; nil if not known.
	accepting map[work.Service]int
	// stopCosts caches the cost of stopping placed groups, outlooks what is expected of occurrences, and endings the parts
	// that are expected to end soon; endings is valid if endingsKnown is set.
	stopCosts    map[*group]time.Duration
	outlooks     map[*occurrence]outlook
	endings      []expectedEnding
	endingsKnown bool
	// use caches how much of each service is in use; nil if not known.
	use map[work.Service]*serviceUse
}

// eligibilityKey holds all properties of a group that determine which nodes can run its parts.
type eligibilityKey struct {
	service work.Service
	label   string
	need    work.Resources
	// leavesHeadroom is set if the job must not use nodes that are kept free for guaranteed jobs.
	leavesHeadroom bool
}

// demandKey holds the properties of a group that determine whether it can be placed, apart from the number of its parts.
type demandKey struct {
	eligibilityKey
	// parts is the number of parts if the group is bound to racks or limited in its parts on each worker, and otherwise
	// 0. A group that is bound to racks may be spread over several of them only if it exceeds each, so a larger group may
	// fit where a smaller one does not.
	parts           int
	sameRack        bool
	rack            ident.Rack
	withinGuarantee bool
	// limited is the step of a group that is limited in its parts on each worker, since those of its own step count.
	limited *stepState
	// fills and serves tell which parts the group's parts would disturb, or be disturbed by.
	fills, serves bool
	// suspected is set for suspects, which have fewer nodes to choose from than other groups.
	suspected bool
}

// demandKey returns the properties of g that determine whether it can be placed.
func (r *round) demandKey(g *group) demandKey {
	step := g.spec()
	key := demandKey{
		eligibilityKey: r.eligibilityKey(g), sameRack: step.SameRack, rack: step.DataRack,
		withinGuarantee: g.job.withinGuarantee, fills: step.Fills, serves: step.Latency > 0,
		suspected: g.suspected(),
	}
	if step.MaxPerWorker > 0 {
		key.limited = g.stepState()
	}
	if step.SameRack || step.DataRack != "" || step.MaxPerWorker > 0 {
		key.parts = len(g.parts)
	}
	return key
}

// demand is what is known in a round of the groups with an equal demandKey.
type demand struct {
	round roundNumber
	// unplaceable is the number of parts from which on groups do not fit; 0 if not known.
	unplaceable int
	// hold is what is known of the end of holds for these groups; nil if not known.
	hold *holdDemand
}

// demand returns what is known of groups with the same demand as g.
func (r *round) demand(g *group) *demand {
	key := r.demandKey(g)
	found := r.demands[key]
	if found == nil {
		found = &demand{round: r.number}
		r.demands[key] = found
	}
	g.latestDemand = found
	return found
}

// knownUnplaceable reports whether a group with the same demand and at most as many parts did not fit in this round. Except
// for the capacity of released reservations, the available capacity only decreases in a round. A group that has nodes for
// itself, or a suspect that waits for some, may be placed where an equal one can't.
func (r *round) knownUnplaceable(g *group, d *demand) bool {
	if r.isolating[g] || len(g.reserved) > 0 && g.suspected() {
		return false
	}
	return d.unplaceable > 0 && len(g.parts) >= d.unplaceable
}

// eligibilityKey returns the properties of g that determine which nodes can run its parts.
func (r *round) eligibilityKey(g *group) eligibilityKey {
	return eligibilityKey{
		service: g.job.settings.Service, label: g.spec().Label, need: g.demand(),
		leavesHeadroom: r.leavesHeadroom(g.job),
	}
}

// newRound returns a round with the current free capacity of all nodes.
func newRound(e *Engine, now time.Time) *round {
	e.rounds++
	r := &round{
		engine: e, number: e.rounds, now: now, available: make([]availability, len(e.nodes)), demands: map[demandKey]*demand{},
		holds:       map[holdKey]*holdDemand{},
		victimLists: map[preemptorClass][]*victimList{}, held: map[*group][]*node{}, reservedFor: map[*node]bool{}, keptForStart: map[*node]work.Resources{},
		stopCosts: map[*group]time.Duration{}, outlooks: map[*occurrence]outlook{}, isolating: map[*group]bool{}, lists: newNodeLists(),
	}
	for i, n := range e.nodes {
		free := n.free()
		r.available[i] = availability{free: free, freeSoon: free.Plus(n.stopping)}
	}
	r.bounds = newCapacityBounds(e.nodes)
	r.speeds, r.slow = make([]speedClass, len(e.nodes)), make([]bool, len(e.nodes))
	for i, n := range e.nodes {
		r.speeds[i], r.slow[i] = n.classifySpeed(), e.slowNow(n, now)
	}
	if e.placesBySpeed() {
		r.bands, r.explorable = e.nodeBands(), e.explorableNodes()
	}
	r.headroom = e.headroomNodes(now)
	r.isolated = e.isolatedNodes(now)
	for _, g := range r.isolated {
		r.isolating[g] = true
	}
	return r
}

// schedule places a group or reserves capacity for it. A group that its account's guarantee covers may use the
// reservations of others if there is no other way. It reports false if neither is possible.
func (r *round) schedule(g *group) bool {
	d := r.demand(g)
	released := r.releaseReservation(g)
	if !released && r.knownUnplaceable(g, d) {
		return false
	}
	if r.tryToSchedule(g) {
		return true
	}
	if g.job.withinGuarantee && len(r.held) > 0 {
		r.releaseAllReservations()
		if r.tryToSchedule(g) {
			return true
		}
	}
	d.unplaceable = len(g.parts)
	return false
}

// tryToSchedule places a group if it fits. A guaranteed group that does not fit reserves capacity that is being freed, or
// else has other groups stopped. It reports false if neither is possible.
func (r *round) tryToSchedule(g *group) bool {
	if nodes := r.packNow(g); nodes != nil {
		r.place(g, nodes)
		return true
	}
	if g.job.settings.Priority == work.Guaranteed {
		if nodes := r.keptReservation(g); nodes != nil {
			r.placeOrReserve(g, nodes)
			return true
		}
		if g.demand().Fits(r.bounds.freeSoon) {
			if nodes := r.pack(g, r.freeSoon); nodes != nil {
				r.reserveFor(g, nodes)
				return true
			}
		}
		return r.reclaim(g)
	}
	return r.placeSpread(g)
}

// packNow returns nodes on which a group can be placed without waiting for stops, or nil.
func (r *round) packNow(g *group) []*node {
	if g.suspected() {
		return r.packIsolated(g)
	}
	if !g.demand().Fits(r.bounds.free) {
		return nil
	}
	return r.pack(g, r.free)
}

// free returns the capacity of a node that is available now.
func (r *round) free(n *node) work.Resources { return r.available[n.index].free }

// freeSoon returns the capacity of a node that is available once all pending stops have completed.
func (r *round) freeSoon(n *node) work.Resources { return r.available[n.index].freeSoon }

// place starts a new attempt of a group on the given nodes. If that would violate an invariant, it records the
// violation and delays the group. For a suspect it waits until nothing else is on probation there.
func (r *round) place(g *group, nodes []*node) {
	if violated := r.checkInvariants(g, nodes); violated != "" {
		r.engine.violations = append(r.engine.violations, Violation{Job: g.job.ID, Invariant: violated})
		g.retryAt = r.now.Add(violationRetryDelay)
		g.rejected(r.now)
		return
	}
	r.reserve(g, nodes)
	if g.suspected() {
		r.isolate(g, nodes)
		r.isolating[g] = true
		if slices.ContainsFunc(nodes, func(n *node) bool { return !n.clearFor(g, r.now) }) {
			if _, ok := r.engine.turns[g]; !ok {
				g.reserved = nodes
			}
			g.awaitProbation(r.now)
			return
		}
	}
	r.countChoice(g, nodes)
	r.countSharing(g)
	g.reserved = nil
	g.tried(r.now)
	g.attempt++
	g.phase = placed
	g.startedAt, g.savedAt = r.now, r.now
	g.progress = attemptProgress{fromStart: g.checkpoint == ""}
	g.paceSample, g.gaveWay = paceSample{}, false
	j := g.job
	j.state = ident.Running
	r.engine.markDirty(j)
	for i, n := range nodes {
		p := &g.parts[i]
		p.survived, p.reported = false, false
		n.attach(p)
		n.lastStart = r.now
		r.engine.decisions = append(r.engine.decisions, Start{
			Attempt: p.attemptID(), Worker: n.WorkerProcess, Priority: j.settings.Priority, Payload: j.Payload, Checkpoint: g.checkpoint,
		})
	}
}

// placementQueue returns the groups that can be placed, in order of urgency. The order of the last round, which is much the
// same, is soon sorted.
func (e *Engine) placementQueue(now time.Time) []*group {
	e.applyGuarantees()
	e.open = slices.DeleteFunc(e.open, func(u jobUrgency) bool { return u.job.state.Terminal() })
	for i := range e.open {
		e.open[i].urgency = e.open[i].job.urgency(now)
	}
	e.weighUrgencies(e.open, now)
	slices.SortFunc(e.open, func(a, b jobUrgency) int { return a.urgency.compare(b.urgency) })
	var placeable []*group
	for _, u := range e.open {
		placeable = u.job.appendPlaceable(placeable, now)
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
func (j *job) placeableGroups(now time.Time) []*group { return j.appendPlaceable(nil, now) }

// appendPlaceable appends the result of placeableGroups to found.
func (j *job) appendPlaceable(found []*group, now time.Time) []*group {
	if j.setAside {
		return found
	}
	for _, o := range j.occurrences {
		for s := range o.steps {
			if o.steps[s].unfinished == 0 || !o.stepReady(j, s) {
				continue
			}
			for _, g := range o.steps[s].groups {
				if g.due(now) {
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
	for _, u := range e.open {
		u.job.withinGuarantee = false
		if u.job.settings.Priority == work.Guaranteed && !u.job.state.Terminal() {
			guaranteed = append(guaranteed, u.job)
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
