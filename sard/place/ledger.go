package place

import "slices"

// slot is the state of one worker. All masks are over its accelerators.
type slot struct {
	// alive are those in service.
	alive uint64
	// used are those of placed gangs; held are those that claims wait for.
	used, held uint64
	// sure are those of held that are claimed within guarantees; a guarantee may take the others.
	sure uint64
	// firm are those of gangs that can't be reclaimed by other accounts.
	firm uint64
	// bound are those in the regions of guarantees; pinned those in regions that are in use.
	bound, pinned uint64

	gangs  []*gang
	grants []*grant
}

// ledger keeps who uses which accelerator, and the indexes over it.
type ledger struct {
	topo  *topology
	slots []slot
	// capacity is the number of accelerators in service.
	capacity int
	// cellCounts are the numbers of cells of the size classes, 0 when not counted since the last change.
	cellCounts [classes]int
	// free are accelerators that a gang can have at once.
	free *index
	// room are those on which a guarantee may be bound without moving another.
	room *index
	// loose are those on which a guarantee may be bound when unused guarantees give way.
	loose *index
}

func newLedger(topo *topology) *ledger {
	return &ledger{
		topo:  topo,
		slots: make([]slot, len(topo.workers)),
		free:  newIndex(topo),
		room:  newIndex(topo),
		loose: newIndex(topo),
	}
}

// touch brings the indexes up to date for worker w.
func (l *ledger) touch(w int32) {
	s := &l.slots[w]
	l.free.set(w, s.alive&^s.used&^s.held)
	l.room.set(w, s.alive&^s.bound&^s.firm)
	l.loose.set(w, s.alive&^s.pinned&^s.firm)
}

// setAlive brings accelerators in or out of service.
func (l *ledger) setAlive(w int32, mask uint64) {
	if l.slots[w].alive == mask {
		return
	}
	l.capacity += int(ones(mask) - ones(l.slots[w].alive))
	l.slots[w].alive = mask
	l.topo.resize(w, ones(mask))
	l.cellCounts = [classes]int{}
	l.touch(w)
	for _, x := range []*index{l.free, l.room, l.loose} {
		x.refresh(w)
	}
}

// cells returns the number of cells in service for gangs of 2^k accelerators, at least 1.
func (l *ledger) cells(k int) int {
	if l.cellCounts[k] == 0 {
		l.cellCounts[k] = max(1, l.topo.cellsOf(1<<k))
	}
	return l.cellCounts[k]
}

// freeTotal is the number of free accelerators.
func (l *ledger) freeTotal() int32 {
	if l.topo.root == none {
		return 0
	}
	return l.free.cells[l.topo.root].count
}

// occupy gives a gang its parts.
func (l *ledger) occupy(g *gang) {
	for _, p := range g.parts {
		s := &l.slots[p.worker]
		s.used |= p.set
		if g.firm() {
			s.firm |= p.set
		}
		s.gangs = append(s.gangs, g)
		l.touch(p.worker)
	}
}

// vacate takes a gang's parts back.
func (l *ledger) vacate(g *gang) {
	for _, p := range g.parts {
		s := &l.slots[p.worker]
		s.used &^= p.set
		s.firm &^= p.set
		s.gangs = without(s.gangs, g)
		l.touch(p.worker)
	}
}

// hold keeps what a claim waits for from all others.
func (l *ledger) hold(g *gang) {
	for _, p := range g.parts {
		s := &l.slots[p.worker]
		s.held |= p.set
		if g.grant != nil {
			s.sure |= p.set
		}
		l.touch(p.worker)
	}
}

func (l *ledger) unhold(parts []share) {
	for _, p := range parts {
		s := &l.slots[p.worker]
		s.held &^= p.set
		s.sure &^= p.set
		l.touch(p.worker)
	}
}

// vacant tells whether nobody uses any of the parts.
func (l *ledger) vacant(parts []share) bool {
	for _, p := range parts {
		if l.slots[p.worker].used&p.set != 0 {
			return false
		}
	}
	return true
}

// alive tells whether all of the parts are in service.
func (l *ledger) alive(parts []share) bool {
	for _, p := range parts {
		if l.slots[p.worker].alive&p.set != p.set {
			return false
		}
	}
	return true
}

func without[T comparable](list []T, one T) []T {
	i := slices.Index(list, one)
	if i < 0 {
		return list
	}
	return slices.Delete(list, i, i+1)
}
