package bench

import (
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// strip is what the baselines have in common: the accelerators of the domain in one row, where a gang takes
// neighbours wherever they start, and a queue in the order of submission.
type strip struct {
	names   []ident.Worker
	index   map[ident.Worker]int
	each    int
	used    []bool
	out     []bool
	queue   []place.Job
	running map[ident.Job]*held
	order   []ident.Job
}

// held is a gang that runs.
type held struct {
	job   place.Job
	first int
	ends  time.Time
	stop  bool
}

func newStrip() strip {
	return strip{index: map[ident.Worker]int{}, running: map[ident.Job]*held{}}
}

// take changes the state by an event and returns the decisions that no policy has a say in.
func (s *strip) take(ev place.Event) []place.Decision {
	switch ev := ev.(type) {
	case place.Topology:
		for i, w := range ev.Workers {
			s.names, s.each = append(s.names, w.Name), int(w.Accelerators)
			s.index[w.Name] = i
		}
		s.used = make([]bool, len(s.names)*s.each)
		s.out = make([]bool, len(s.names))
	case place.WorkerLost:
		s.out[s.index[ev.Worker]] = true
	case place.WorkerRecovered:
		s.out[s.index[ev.Worker]] = false
	case place.Submit:
		s.queue = append(s.queue, ev.Job)
	case place.Ended:
		s.end(ev)
	case place.Cancel:
		return s.cancel(ev.Job)
	default:
	}
	return nil
}

func (s *strip) end(ev place.Ended) {
	h := s.running[ev.Job]
	if h == nil {
		return
	}
	delete(s.running, ev.Job)
	s.order = slices.DeleteFunc(s.order, func(id ident.Job) bool { return id == ev.Job })
	s.mark(h.first, int(h.job.Accelerators), false)
	if ev.Result == place.Requeued && !h.stop {
		h.job.Attempt = ev.Attempt
		i, _ := slices.BinarySearchFunc(s.queue, h.job, func(a, b place.Job) int { return a.Submitted.Compare(b.Submitted) })
		s.queue = slices.Insert(s.queue, i, h.job)
	}
}

func (s *strip) cancel(id ident.Job) []place.Decision {
	s.queue = slices.DeleteFunc(s.queue, func(j place.Job) bool { return j.ID == id })
	if h := s.running[id]; h != nil {
		h.stop = true
		return []place.Decision{place.Stop{Job: id, Attempt: h.job.Attempt}}
	}
	return nil
}

func (s *strip) mark(first, n int, used bool) {
	for i := first; i < first+n; i++ {
		s.used[i] = used
	}
}

// start places a job on n neighbours from first on.
func (s *strip) start(now time.Time, j place.Job, first int) place.Decision {
	n := int(j.Accelerators)
	s.mark(first, n, true)
	j.Attempt++
	s.running[j.ID] = &held{job: j, first: first, ends: now.Add(j.RunTime)}
	s.order = append(s.order, j.ID)
	var parts []place.Part
	for i := first; i < first+n; {
		w := i / s.each
		last := min(first+n, (w+1)*s.each)
		set := ident.AcceleratorSet((uint64(1)<<(last-i) - 1) << (i % s.each))
		parts = append(parts, place.Part{Worker: s.names[w], Accelerators: set})
		i = last
	}
	return place.Place{Job: j.ID, Attempt: j.Attempt, Parts: parts}
}

// stretch is a row of free accelerators.
type stretch struct{ first, n int }

// stretches returns the rows of accelerators that are free, or will be when busy says so.
func (s *strip) stretches(busy func(i int) bool) []stretch {
	var list []stretch
	for i := 0; i < len(s.used); i++ {
		if busy(i) || s.out[i/s.each] {
			continue
		}
		first := i
		for i < len(s.used) && !busy(i) && !s.out[i/s.each] {
			i++
		}
		list = append(list, stretch{first: first, n: i - first})
	}
	return list
}

func (s *strip) busyNow(i int) bool { return s.used[i] }

// fifo starts jobs strictly in the order of submission, each in the first row that has room.
type fifo struct{ strip }

func newFIFO() *fifo { return &fifo{newStrip()} }

func (f *fifo) Apply(at time.Time, ev place.Event) []place.Decision {
	out := f.take(ev)
	if !frees(ev) {
		return out
	}
	for len(f.queue) > 0 {
		j := f.queue[0]
		i := slices.IndexFunc(f.stretches(f.busyNow), func(s stretch) bool { return s.n >= int(j.Accelerators) })
		if i < 0 {
			break
		}
		f.queue = f.queue[1:]
		out = append(out, f.start(at, j, f.stretches(f.busyNow)[i].first))
	}
	return out
}

// backfill keeps the order of submission for the first job that waits; others start before it when by their
// declared run times they don't delay it. Each takes the tightest row.
type backfill struct{ strip }

func newBackfill() *backfill { return &backfill{newStrip()} }

func (b *backfill) Apply(at time.Time, ev place.Event) []place.Decision {
	out := b.take(ev)
	if !frees(ev) {
		return out
	}
	for len(b.queue) > 0 {
		first, ok := b.tightest(at, b.queue[0], nil)
		if !ok {
			break
		}
		out = append(out, b.start(at, b.queue[0], first))
		b.queue = b.queue[1:]
	}
	if len(b.queue) == 0 {
		return out
	}
	head := b.shadow(at, b.queue[0])
	for i := 1; i < len(b.queue); {
		first, ok := b.tightest(at, b.queue[i], &head)
		if !ok {
			i++
			continue
		}
		out = append(out, b.start(at, b.queue[i], first))
		b.queue = slices.Delete(b.queue, i, i+1)
	}
	return out
}

// frees tells whether an event can let a job start.
func frees(ev place.Event) bool {
	switch ev.(type) {
	case place.Tick, place.Started:
		return false
	default:
		return true
	}
}

// reserved is the row that the first waiting job will take.
type reserved struct {
	first, n int
	ready    time.Time
}

// tightest returns the start of the smallest free row that holds the job and does not delay the reservation.
func (b *backfill) tightest(now time.Time, j place.Job, r *reserved) (int, bool) {
	n := int(j.Accelerators)
	busy := b.busyNow
	if r != nil && now.Add(j.RunTime).After(r.ready) {
		busy = func(i int) bool { return b.used[i] || (i >= r.first && i < r.first+r.n) }
	}
	best, ok := stretch{}, false
	for _, s := range b.stretches(busy) {
		if s.n >= n && (!ok || s.n < best.n) {
			best, ok = s, true
		}
	}
	return best.first, ok
}

// shadow returns where and when the first waiting job will start, by declared run times.
func (b *backfill) shadow(now time.Time, j place.Job) reserved {
	n := int(j.Accelerators)
	used := slices.Clone(b.used)
	ids := slices.Clone(b.order)
	slices.SortStableFunc(ids, func(x, y ident.Job) int { return b.running[x].ends.Compare(b.running[y].ends) })
	for _, id := range ids {
		h := b.running[id]
		for i := h.first; i < h.first+int(h.job.Accelerators); i++ {
			used[i] = false
		}
		for _, s := range b.stretches(func(i int) bool { return used[i] }) {
			if s.n >= n {
				return reserved{s.first, n, maxTime(now, h.ends)}
			}
		}
	}
	return reserved{0, 0, now}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
