package bench

import (
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// linearPool is the state that the baseline schedulers share: the accelerators of a site as one sequence, in which a
// gang takes any consecutive ones, and a queue in the order of submission.
type linearPool struct {
	workers     []ident.Worker
	workerIndex map[ident.Worker]int
	// perWorker is the number of accelerators of each worker.
	perWorker int
	// used tells for each accelerator whether a job uses it, lost for each worker whether it is lost.
	used    []bool
	lost    []bool
	queue   []place.Job
	running map[ident.Job]*runningGang
	// startOrder lists the running jobs in the order of their starts.
	startOrder []ident.Job
}

// runningGang is a running job and the accelerators that it uses, from first on.
type runningGang struct {
	job   place.Job
	first int
	// expectedEnd is when the job ends according to its declared run time.
	expectedEnd time.Time
	// stopping is set when the job was cancelled.
	stopping bool
}

// newLinearPool returns a pool without workers.
func newLinearPool() linearPool {
	return linearPool{workerIndex: map[ident.Worker]int{}, running: map[ident.Job]*runningGang{}}
}

// applyEvent updates the pool after an event and returns the decisions that do not depend on the scheduling policy.
func (p *linearPool) applyEvent(ev place.Event) []place.Decision {
	switch ev := ev.(type) {
	case place.Topology:
		for i, w := range ev.Workers {
			p.workers, p.perWorker = append(p.workers, w.Name), int(w.Accelerators)
			p.workerIndex[w.Name] = i
		}
		p.used = make([]bool, len(p.workers)*p.perWorker)
		p.lost = make([]bool, len(p.workers))
	case place.WorkerLost:
		p.lost[p.workerIndex[ev.Worker]] = true
	case place.WorkerRecovered:
		p.lost[p.workerIndex[ev.Worker]] = false
	case place.Submit:
		p.queue = append(p.queue, ev.Job)
	case place.Ended:
		p.end(ev)
	case place.Cancel:
		return p.cancel(ev.Job)
	default:
	}
	return nil
}

// end frees the accelerators of a job. A job that is to run again returns to its position in the queue.
func (p *linearPool) end(ev place.Ended) {
	gang := p.running[ev.Job]
	if gang == nil {
		return
	}
	delete(p.running, ev.Job)
	p.startOrder = slices.DeleteFunc(p.startOrder, func(id ident.Job) bool { return id == ev.Job })
	p.setUsed(gang.first, int(gang.job.Accelerators), false)
	if ev.Result == place.Requeued && !gang.stopping {
		gang.job.Attempt = ev.Attempt
		i, _ := slices.BinarySearchFunc(p.queue, gang.job, func(a, b place.Job) int { return a.Submitted.Compare(b.Submitted) })
		p.queue = slices.Insert(p.queue, i, gang.job)
	}
}

// cancel removes a job from the queue, or stops it when it runs.
func (p *linearPool) cancel(id ident.Job) []place.Decision {
	p.queue = slices.DeleteFunc(p.queue, func(j place.Job) bool { return j.ID == id })
	if gang := p.running[id]; gang != nil {
		gang.stopping = true
		return []place.Decision{place.Stop{Job: id, Attempt: gang.job.Attempt}}
	}
	return nil
}

// setUsed marks n accelerators from first on as used or free.
func (p *linearPool) setUsed(first, n int, used bool) {
	for i := first; i < first+n; i++ {
		p.used[i] = used
	}
}

// start places a job on consecutive accelerators from first on.
func (p *linearPool) start(now time.Time, j place.Job, first int) place.Decision {
	n := int(j.Accelerators)
	p.setUsed(first, n, true)
	j.Attempt++
	p.running[j.ID] = &runningGang{job: j, first: first, expectedEnd: now.Add(j.RunTime)}
	p.startOrder = append(p.startOrder, j.ID)
	var parts []place.Part
	for i := first; i < first+n; {
		w := i / p.perWorker
		last := min(first+n, (w+1)*p.perWorker)
		set := ident.AcceleratorSet((uint64(1)<<(last-i) - 1) << (i % p.perWorker))
		parts = append(parts, place.Part{Worker: p.workers[w], Accelerators: set})
		i = last
	}
	return place.Place{Job: j.ID, Attempt: j.Attempt, Parts: parts}
}

// interval is a sequence of consecutive accelerators.
type interval struct{ first, length int }

// freeIntervals returns the maximal intervals of accelerators that are neither busy nor on a lost worker.
func (p *linearPool) freeIntervals(busy func(i int) bool) []interval {
	var list []interval
	for i := 0; i < len(p.used); i++ {
		if busy(i) || p.lost[i/p.perWorker] {
			continue
		}
		first := i
		for i < len(p.used) && !busy(i) && !p.lost[i/p.perWorker] {
			i++
		}
		list = append(list, interval{first: first, length: i - first})
	}
	return list
}

// isUsed reports whether a job uses the accelerator.
func (p *linearPool) isUsed(i int) bool { return p.used[i] }

// fifo is a baseline scheduler that starts jobs strictly in the order of submission, each in the first free interval
// that is large enough.
type fifo struct{ linearPool }

// newFIFO returns a fifo scheduler without workers.
func newFIFO() *fifo { return &fifo{newLinearPool()} }

// Apply processes an event and starts waiting jobs in order, until one does not fit.
func (f *fifo) Apply(at time.Time, ev place.Event) []place.Decision {
	out := f.applyEvent(ev)
	if !mayStartJobs(ev) {
		return out
	}
	for len(f.queue) > 0 {
		j := f.queue[0]
		i := slices.IndexFunc(f.freeIntervals(f.isUsed), func(s interval) bool { return s.length >= int(j.Accelerators) })
		if i < 0 {
			break
		}
		f.queue = f.queue[1:]
		out = append(out, f.start(at, j, f.freeIntervals(f.isUsed)[i].first))
	}
	return out
}

// backfill is a baseline scheduler with EASY backfilling: the first waiting job holds a reservation, and later jobs
// start before it when their declared run times show that they do not delay it. Each job takes the smallest free
// interval that is large enough.
type backfill struct{ linearPool }

// newBackfill returns a backfill scheduler without workers.
func newBackfill() *backfill { return &backfill{newLinearPool()} }

// Apply processes an event, and starts the waiting jobs that fit without delaying the first one that does not.
func (b *backfill) Apply(at time.Time, ev place.Event) []place.Decision {
	out := b.applyEvent(ev)
	if !mayStartJobs(ev) {
		return out
	}
	for len(b.queue) > 0 {
		first, ok := b.bestFit(at, b.queue[0], nil)
		if !ok {
			break
		}
		out = append(out, b.start(at, b.queue[0], first))
		b.queue = b.queue[1:]
	}
	if len(b.queue) == 0 {
		return out
	}
	reservation := b.reserveFor(at, b.queue[0])
	for i := 1; i < len(b.queue); {
		first, ok := b.bestFit(at, b.queue[i], &reservation)
		if !ok {
			i++
			continue
		}
		out = append(out, b.start(at, b.queue[i], first))
		b.queue = slices.Delete(b.queue, i, i+1)
	}
	return out
}

// mayStartJobs reports whether waiting jobs may be able to start after an event, such as the end of another job.
func mayStartJobs(ev place.Event) bool {
	switch ev.(type) {
	case place.Tick, place.Started:
		return false
	default:
		return true
	}
}

// reservation is the interval that the first waiting job will take, and when.
type reservation struct {
	first, length int
	startAt       time.Time
}

// bestFit returns the first accelerator of the smallest free interval in which a job can start. A job that would still
// run when the reservation starts does not get its accelerators.
func (b *backfill) bestFit(now time.Time, j place.Job, r *reservation) (int, bool) {
	needed := int(j.Accelerators)
	busy := b.isUsed
	if r != nil && now.Add(j.RunTime).After(r.startAt) {
		busy = func(i int) bool { return b.used[i] || (i >= r.first && i < r.first+r.length) }
	}
	best, ok := interval{}, false
	for _, s := range b.freeIntervals(busy) {
		if s.length >= needed && (!ok || s.length < best.length) {
			best, ok = s, true
		}
	}
	return best.first, ok
}

// reserveFor returns where and when a job can start at the earliest according to the declared run times of the running
// jobs.
func (b *backfill) reserveFor(now time.Time, j place.Job) reservation {
	needed := int(j.Accelerators)
	used := slices.Clone(b.used)
	ids := slices.Clone(b.startOrder)
	slices.SortStableFunc(ids, func(x, y ident.Job) int { return b.running[x].expectedEnd.Compare(b.running[y].expectedEnd) })
	for _, id := range ids {
		gang := b.running[id]
		for i := gang.first; i < gang.first+int(gang.job.Accelerators); i++ {
			used[i] = false
		}
		for _, s := range b.freeIntervals(func(i int) bool { return used[i] }) {
			if s.length >= needed {
				return reservation{s.first, needed, laterOf(now, gang.expectedEnd)}
			}
		}
	}
	return reservation{0, 0, now}
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
