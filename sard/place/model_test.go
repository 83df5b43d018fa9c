package place_test

import (
	"fmt"
	"slices"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// model tracks a domain from its events and decisions and checks every invariant. It shares no code with the
// engine.
type model struct {
	workers     []place.Worker
	cells       []modelCell
	lost        map[ident.Worker]bool
	quarantined map[ident.Worker]bool
	accounts    []place.Account
	jobs        map[ident.Job]*modelJob
	order       []ident.Job
	err         error
}

// modelJob is the model's state of a job.
type modelJob struct {
	place.Job
	state     string // waiting, running, reclaimed, stopped, ended
	parts     []place.Part
	borrowed  bool
	cancelled bool
}

// modelCell is an aligned cell, as the set of its accelerators.
type modelCell struct {
	// width is the number of accelerators of a block of a worker; 0 for a cell of workers, which has halves.
	width        int
	halves       []modelCell
	accelerators map[accelerator]bool
}

// accelerator identifies an accelerator by its worker and its number there.
type accelerator struct {
	worker ident.Worker
	number int
}

// newModel returns the model of a domain without workers and jobs.
func newModel() *model {
	return &model{lost: map[ident.Worker]bool{}, quarantined: map[ident.Worker]bool{}, jobs: map[ident.Job]*modelJob{}}
}

// failf records a violation of an invariant, unless one was recorded before.
func (m *model) failf(format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf(format, args...)
	}
}

// setTopology sets the workers and lists every aligned cell of them, by definition.
func (m *model) setTopology(workers []place.Worker) {
	m.workers, m.cells = workers, nil
	var racks []modelCell
	var rack []modelCell
	for i, w := range workers {
		rack = append(rack, m.workerCells(w))
		if i+1 == len(workers) || workers[i+1].Rack != w.Rack {
			racks = append(racks, m.groupCells(rack))
			rack = nil
		}
	}
	m.groupCells(racks)
}

// workerCells adds the aligned blocks of a worker and returns the whole worker.
func (m *model) workerCells(w place.Worker) modelCell {
	whole := modelCell{accelerators: map[accelerator]bool{}}
	for width := 1; ; width *= 2 {
		for first := 0; first < int(w.Accelerators); first += width {
			c := modelCell{width: width, accelerators: map[accelerator]bool{}}
			for i := first; i < min(first+width, int(w.Accelerators)); i++ {
				c.accelerators[accelerator{w.Name, i}] = true
			}
			m.cells = append(m.cells, c)
			whole = c
		}
		if width >= int(w.Accelerators) {
			return whole
		}
	}
}

// groupCells joins neighbouring cells into aligned powers of two.
func (m *model) groupCells(list []modelCell) modelCell {
	for len(list) > 1 {
		var next []modelCell
		for i := 0; i < len(list); i += 2 {
			if i+1 == len(list) {
				next = append(next, list[i])
				continue
			}
			next = append(next, m.joinCells(list[i], list[i+1]))
		}
		list = next
	}
	return list[0]
}

// joinCells adds the cell that consists of a and b.
func (m *model) joinCells(a, b modelCell) modelCell {
	c := modelCell{halves: []modelCell{a, b}, accelerators: map[accelerator]bool{}}
	for x := range a.accelerators {
		c.accelerators[x] = true
	}
	for x := range b.accelerators {
		c.accelerators[x] = true
	}
	m.cells = append(m.cells, c)
	return c
}

// acceleratorsOf lists the accelerators of parts.
func acceleratorsOf(parts []place.Part) []accelerator {
	var all []accelerator
	for _, p := range parts {
		for i := range 64 {
			if p.Accelerators&(1<<i) != 0 {
				all = append(all, accelerator{p.Worker, i})
			}
		}
	}
	return all
}

// adjacent reports whether parts lie in a smallest aligned cell that holds n accelerators.
func (m *model) adjacent(parts []place.Part, n int) bool {
	all := acceleratorsOf(parts)
	return slices.ContainsFunc(m.cells, func(c modelCell) bool {
		if slices.ContainsFunc(all, func(x accelerator) bool { return !c.accelerators[x] }) {
			return false
		}
		return m.isSmallestCell(c, n)
	})
}

// isSmallestCell reports whether a cell holds n accelerators and neither of its halves does.
func (m *model) isSmallestCell(c modelCell, n int) bool {
	if c.width > 0 {
		return n <= len(c.accelerators) && n > c.width/2
	}
	return n <= m.inServiceCount(c) && !slices.ContainsFunc(c.halves, func(h modelCell) bool { return m.inServiceCount(h) >= n })
}

// inServiceCount counts the accelerators of a cell that are in service and not quarantined.
func (m *model) inServiceCount(c modelCell) int {
	n := 0
	for x := range c.accelerators {
		if m.inService(x.worker) && !m.quarantined[x.worker] {
			n++
		}
	}
	return n
}

// inService reports whether a worker is neither lost nor leaving.
func (m *model) inService(w ident.Worker) bool {
	i := slices.IndexFunc(m.workers, func(o place.Worker) bool { return o.Name == w })
	return i >= 0 && !m.lost[w] && !m.workers[i].Leaving
}

// occupants returns the job on each accelerator in use.
func (m *model) occupants() map[accelerator]ident.Job {
	taken := map[accelerator]ident.Job{}
	for _, id := range m.order {
		j := m.jobs[id]
		for _, x := range acceleratorsOf(j.parts) {
			if other, double := taken[x]; double {
				m.failf("accelerator %v is used by %s and %s", x, other, id)
			}
			taken[x] = id
		}
	}
	return taken
}

// applyDecisions checks the engine's decisions and applies them.
func (m *model) applyDecisions(decisions []place.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case place.Place:
			m.applyPlace(d)
		case place.Reclaim:
			m.applyReclaim(d)
		case place.Stop:
			if j := m.jobs[d.Job]; j == nil || len(j.parts) == 0 {
				m.failf("stop of %s, which does not run", d.Job)
			}
		case place.Refuse:
			m.applyRefuse(d)
		case place.Quarantine:
			m.quarantined[d.Worker] = true
		case place.EndQuarantine:
			delete(m.quarantined, d.Worker)
		case place.Shortage:
		}
	}
	m.occupants()
}

// applyPlace checks that a waiting job gets all of its accelerators, adjacent and in service, and that only
// checkpointable jobs borrow.
func (m *model) applyPlace(d place.Place) {
	j := m.jobs[d.Job]
	if j == nil || j.state != "waiting" {
		m.failf("place of %s, which does not wait", d.Job)
		return
	}
	if d.Attempt != j.Attempt+1 {
		m.failf("attempt %d of %s follows %d", d.Attempt, d.Job, j.Attempt)
	}
	all := acceleratorsOf(d.Parts)
	if len(all) != int(j.Accelerators) {
		m.failf("%s has %d accelerators of %d", d.Job, len(all), j.Accelerators)
	}
	if !m.adjacent(d.Parts, int(j.Accelerators)) {
		m.failf("%s of %d is not adjacent: %v", d.Job, j.Accelerators, d.Parts)
	}
	suspects := 0
	for _, p := range d.Parts {
		if !m.inService(p.Worker) {
			m.failf("%s is placed on %s, which is not in service", d.Job, p.Worker)
		}
		if m.quarantined[p.Worker] {
			suspects++
		}
	}
	if suspects > 0 && len(d.Parts) > 1 {
		m.failf("%s probes a quarantined worker with other workers", d.Job)
	}
	if d.Borrowed && !j.Checkpointable {
		m.failf("%s can't be checkpointed and borrows", d.Job)
	}
	j.state, j.parts, j.borrowed, j.Attempt = "running", d.Parts, d.Borrowed, d.Attempt
}

// applyReclaim checks that a running job may be reclaimed.
func (m *model) applyReclaim(d place.Reclaim) {
	j := m.jobs[d.Job]
	if j == nil || j.state != "running" {
		m.failf("reclaim of %s, which does not run", d.Job)
		return
	}
	own := m.jobs[d.Claimant]
	if !j.Checkpointable || (!j.borrowed && (own == nil || own.Account != j.Account)) {
		m.failf("reclaim of %s for %q, which runs within its guarantee", d.Job, d.Claimant)
	}
	j.state = "reclaimed"
}

// applyRefuse checks that a refused job was waiting.
func (m *model) applyRefuse(d place.Refuse) {
	j := m.jobs[d.Job]
	if j == nil || j.state != "waiting" {
		m.failf("refusal of %s, which does not wait", d.Job)
		return
	}
	j.state = "ended"
}

// checkRegions checks that all guarantees can be met at once: their regions are complete, adjacent, in service and
// disjoint, and hold only gangs that use the guarantee and gangs that can be reclaimed.
func (m *model) checkRegions(regions []place.Region) {
	taken := m.occupants()
	owner := map[accelerator]int{}
	for i, r := range regions {
		if len(r.Parts) == 0 {
			continue
		}
		all := acceleratorsOf(r.Parts)
		if len(all) != int(r.Size) || (len(r.Users) == 0 && !m.adjacent(r.Parts, int(r.Size))) {
			m.failf("region of %s of %d is not a cell: %v", r.Account, r.Size, r.Parts)
		}
		for _, x := range all {
			if o, double := owner[x]; double {
				m.failf("regions %d and %d overlap at %v", o, i, x)
			}
			owner[x] = i
			m.checkOccupant(r, x, m.jobs[taken[x]])
		}
	}
}

// checkOccupant checks one accelerator of a region and the job on it.
func (m *model) checkOccupant(r place.Region, x accelerator, j *modelJob) {
	if len(r.Users) == 0 && (!m.inService(x.worker) || m.quarantined[x.worker]) {
		m.failf("unused guarantee of %s is bound to %s, which is out of service", r.Account, x.worker)
	}
	if j == nil || (j.Checkpointable && j.borrowed) {
		return
	}
	if j.Account != r.Account || !slices.Contains(r.Users, j.ID) {
		m.failf("%s can't be reclaimed and is in the guarantee of %s at %v", j.ID, r.Account, x)
	}
}

// regionFits reports whether a region has n accelerators within one smallest cell for n. A region that spans partly
// unavailable racks fits a gang of its own size, but may not fit a smaller one.
func (m *model) regionFits(region []place.Part, n int) bool {
	all := acceleratorsOf(region)
	return slices.ContainsFunc(m.cells, func(c modelCell) bool {
		inside := slices.DeleteFunc(slices.Clone(all), func(x accelerator) bool { return !c.accelerators[x] })
		return len(inside) >= n && m.isSmallestCell(c, n)
	})
}

// checkUnusedGuarantees checks that no job waits while an unused guarantee of its account fits it.
func (m *model) checkUnusedGuarantees(e *place.Engine, regions []place.Region) {
	for _, id := range m.order {
		j := m.jobs[id]
		if j.state != "waiting" {
			continue
		}
		x := e.Explain(id)
		if x.State != "Waiting" {
			m.failf("%s waits, but is explained as %s", id, x.State)
		}
		claims := e.IsClaiming(id)
		for _, r := range regions {
			unused := len(r.Users) == 0 && len(r.Parts) > 0 && !r.Reserved
			fits := r.Account == j.Account && j.Accelerators <= r.Size && (2*j.Accelerators > r.Size || j.Urgent || !j.Checkpointable)
			if unused && fits && !claims && m.regionFits(r.Parts, int(j.Accelerators)) {
				m.failf("%s waits though a guarantee of %d is unused", id, r.Size)
			}
		}
	}
}
