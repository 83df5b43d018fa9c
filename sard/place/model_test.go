package place_test

import (
	"fmt"
	"slices"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// model follows a domain by its events and decisions and checks every promise. It shares no code with the engine.
type model struct {
	workers  []place.Worker
	cells    []modelCell
	lost     map[ident.Worker]bool
	suspect  map[ident.Worker]bool
	accounts []place.Account
	jobs     map[ident.Job]*modelJob
	order    []ident.Job
	err      error
}

type modelJob struct {
	place.Job
	state     string // waiting, running, reclaimed, stopped, ended
	parts     []place.Part
	borrowed  bool
	cancelled bool
}

// modelCell is an aligned cell: accelerators named worker and number.
type modelCell struct {
	// width is that of a block of a worker; 0 for a cell of workers, which has halves.
	width    int
	halves   []modelCell
	contains map[accelerator]bool
}

type accelerator struct {
	worker ident.Worker
	number int
}

func newModel() *model {
	return &model{lost: map[ident.Worker]bool{}, suspect: map[ident.Worker]bool{}, jobs: map[ident.Job]*modelJob{}}
}

func (m *model) failf(format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf(format, args...)
	}
}

// setTopology lists every aligned cell by its definition.
func (m *model) setTopology(workers []place.Worker) {
	m.workers, m.cells = workers, nil
	var racks []modelCell
	var rack []modelCell
	for i, w := range workers {
		rack = append(rack, m.workerCells(w))
		if i+1 == len(workers) || workers[i+1].Rack != w.Rack {
			racks = append(racks, m.group(rack))
			rack = nil
		}
	}
	m.group(racks)
}

func (m *model) workerCells(w place.Worker) modelCell {
	whole := modelCell{contains: map[accelerator]bool{}}
	for width := 1; ; width *= 2 {
		for first := 0; first < int(w.Accelerators); first += width {
			c := modelCell{width: width, contains: map[accelerator]bool{}}
			for i := first; i < min(first+width, int(w.Accelerators)); i++ {
				c.contains[accelerator{w.Name, i}] = true
			}
			m.cells = append(m.cells, c)
			whole = c
		}
		if width >= int(w.Accelerators) {
			return whole
		}
	}
}

// group joins neighbouring cells in aligned powers of two.
func (m *model) group(list []modelCell) modelCell {
	for len(list) > 1 {
		var next []modelCell
		for i := 0; i < len(list); i += 2 {
			if i+1 == len(list) {
				next = append(next, list[i])
				continue
			}
			next = append(next, m.join(list[i], list[i+1]))
		}
		list = next
	}
	return list[0]
}

func (m *model) join(a, b modelCell) modelCell {
	c := modelCell{halves: []modelCell{a, b}, contains: map[accelerator]bool{}}
	for x := range a.contains {
		c.contains[x] = true
	}
	for x := range b.contains {
		c.contains[x] = true
	}
	m.cells = append(m.cells, c)
	return c
}

func expand(parts []place.Part) []accelerator {
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

// adjacent tells whether parts lie in a cell that holds n and none of whose halves does.
func (m *model) adjacent(parts []place.Part, n int) bool {
	all := expand(parts)
	return slices.ContainsFunc(m.cells, func(c modelCell) bool {
		if slices.ContainsFunc(all, func(x accelerator) bool { return !c.contains[x] }) {
			return false
		}
		return m.cellFor(c, n)
	})
}

// cellFor tells whether a cell holds n and none of its halves does.
func (m *model) cellFor(c modelCell, n int) bool {
	if c.width > 0 {
		return n <= len(c.contains) && n > c.width/2
	}
	return n <= m.live(c) && !slices.ContainsFunc(c.halves, func(h modelCell) bool { return m.live(h) >= n })
}

// live counts the accelerators of a cell that are in service.
func (m *model) live(c modelCell) int {
	n := 0
	for x := range c.contains {
		if m.inService(x.worker) && !m.suspect[x.worker] {
			n++
		}
	}
	return n
}

func (m *model) inService(w ident.Worker) bool {
	i := slices.IndexFunc(m.workers, func(o place.Worker) bool { return o.Name == w })
	return i >= 0 && !m.lost[w] && !m.workers[i].Leaving
}

// occupied returns who has each accelerator.
func (m *model) occupied() map[accelerator]ident.Job {
	taken := map[accelerator]ident.Job{}
	for _, id := range m.order {
		j := m.jobs[id]
		for _, x := range expand(j.parts) {
			if other, double := taken[x]; double {
				m.failf("accelerator %v is used by %s and %s", x, other, id)
			}
			taken[x] = id
		}
	}
	return taken
}

// decided takes the engine's decisions in.
func (m *model) decided(decisions []place.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case place.Place:
			m.placed(d)
		case place.Reclaim:
			m.reclaimed(d)
		case place.Stop:
			if j := m.jobs[d.Job]; j == nil || len(j.parts) == 0 {
				m.failf("stop of %s, which does not run", d.Job)
			}
		case place.Refuse:
			m.refused(d)
		case place.Quarantine:
			m.suspect[d.Worker] = true
		case place.EndQuarantine:
			delete(m.suspect, d.Worker)
		case place.Shortage:
		}
	}
	m.occupied()
}

func (m *model) placed(d place.Place) {
	j := m.jobs[d.Job]
	if j == nil || j.state != "waiting" {
		m.failf("place of %s, which does not wait", d.Job)
		return
	}
	if d.Attempt != j.Attempt+1 {
		m.failf("attempt %d of %s follows %d", d.Attempt, d.Job, j.Attempt)
	}
	all := expand(d.Parts)
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
		if m.suspect[p.Worker] {
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

func (m *model) reclaimed(d place.Reclaim) {
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

func (m *model) refused(d place.Refuse) {
	j := m.jobs[d.Job]
	if j == nil || j.state != "waiting" {
		m.failf("refusal of %s, which does not wait", d.Job)
		return
	}
	j.state = "ended"
}

// regionsHold checks that the guarantees can be met at once: their regions are whole, adjacent, in service and
// apart from each other, and hold nothing but their own account's use and gangs that can be reclaimed.
func (m *model) regionsHold(regions []place.Region) {
	taken := m.occupied()
	owner := map[accelerator]int{}
	for i, r := range regions {
		if len(r.Parts) == 0 {
			continue
		}
		all := expand(r.Parts)
		if len(all) != int(r.Size) || (len(r.Users) == 0 && !m.adjacent(r.Parts, int(r.Size))) {
			m.failf("region of %s of %d is not a cell: %v", r.Account, r.Size, r.Parts)
		}
		for _, x := range all {
			if o, double := owner[x]; double {
				m.failf("regions %d and %d overlap at %v", o, i, x)
			}
			owner[x] = i
			m.regionHolds(r, x, m.jobs[taken[x]])
		}
	}
}

func (m *model) regionHolds(r place.Region, x accelerator, j *modelJob) {
	if len(r.Users) == 0 && (!m.inService(x.worker) || m.suspect[x.worker]) {
		m.failf("unused guarantee of %s stands on %s, which is out of service", r.Account, x.worker)
	}
	if j == nil || (j.Checkpointable && j.borrowed) {
		return
	}
	if j.Account != r.Account || !slices.Contains(r.Users, j.ID) {
		m.failf("%s stands in the guarantee of %s at %v and can't be reclaimed", j.ID, r.Account, x)
	}
}

// holds tells whether a region has n accelerators within one cell for n. A region that spans broken racks holds
// its own size, but may hold a smaller gang nowhere.
func (m *model) holds(region []place.Part, n int) bool {
	all := expand(region)
	return slices.ContainsFunc(m.cells, func(c modelCell) bool {
		inside := slices.DeleteFunc(slices.Clone(all), func(x accelerator) bool { return !c.contains[x] })
		return len(inside) >= n && m.cellFor(c, n)
	})
}

// nobodyDenied checks that no job waits that its account's unused guarantee holds.
func (m *model) nobodyDenied(e *place.Engine, regions []place.Region) {
	for _, id := range m.order {
		j := m.jobs[id]
		if j.state != "waiting" {
			continue
		}
		x := e.Explain(id)
		if x.State != "Waiting" {
			m.failf("%s waits, and is explained as %s", id, x.State)
		}
		claims := e.Claims(id)
		for _, r := range regions {
			unused := len(r.Users) == 0 && len(r.Parts) > 0 && !r.Kept
			fits := r.Account == j.Account && j.Accelerators <= r.Size && (2*j.Accelerators > r.Size || j.Urgent || !j.Checkpointable)
			if unused && fits && !claims && m.holds(r.Parts, int(j.Accelerators)) {
				m.failf("%s waits though a guarantee of %d is unused", id, r.Size)
			}
		}
	}
}
