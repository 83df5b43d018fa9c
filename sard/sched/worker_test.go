package sched

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/work"
)

// gangPatience is how long a part of a gang waits for the others.
const gangPatience = 3 * time.Second

// saveEvery lies between two checkpoints.
const saveEvery = time.Second

// fakeRun is an attempt at a fake worker.
type fakeRun struct {
	attempt work.Attempt
	worker  *fakeWorker
	began   time.Time
	// length is how long the part works, from its checkpoint on.
	length time.Duration
	saved  time.Duration
	ended  bool
	// stopAt is when a stop takes effect.
	stopAt time.Time
	stall  bool
}

// fakeWorker is a worker process in memory. Faults are set by the tests.
type fakeWorker struct {
	fleet *fakeFleet
	name  ident.Worker
	entry Entry
	start time.Time

	epoch    ident.Epoch
	deadline WorkerClock
	runs     map[work.Part]*fakeRun
	// barred is the highest attempt of each part that was stopped or has ended.
	barred map[work.Part]ident.Attempt
	ends   []EndedPart
	number EndNumber
	// excused is the last end that was listed when the lease lapsed: its part may run again.
	excused EndNumber
	changed chan struct{}

	// cut makes calls hang until they time out, and are not carried out.
	cut bool
	// mute carries calls out and loses their answers.
	mute bool
	// stopTime is how long a stop takes.
	stopTime time.Duration
	// failing makes all runs fail at once; stalling makes them stand still.
	failing, stalling bool
	refuse            *Cause
}

// fakeFleet is a set of fake workers that share a record of what ran.
type fakeFleet struct {
	mu      sync.Mutex
	workers map[ident.Worker]*fakeWorker
	// lengths are how long the parts of a job work; failures tell which attempts fail.
	lengths map[ident.Job]time.Duration
	poison  map[ident.Job]bool
	gangs   map[ident.Job]int
	// running counts the runs of each part, and done the noted ends.
	running map[work.Part]int
	noted   map[work.Part]bool
	starts  int
	stops   int
	breach  []string
}

func newFleet() *fakeFleet {
	return &fakeFleet{
		workers: map[ident.Worker]*fakeWorker{}, lengths: map[ident.Job]time.Duration{}, poison: map[ident.Job]bool{},
		gangs: map[ident.Job]int{}, running: map[work.Part]int{}, noted: map[work.Part]bool{},
	}
}

// add makes a worker of 8 accelerators.
func (f *fakeFleet) add(name string, rack string) *fakeWorker {
	w := &fakeWorker{fleet: f, name: ident.Worker(name), start: time.Now(), runs: map[work.Part]*fakeRun{}, barred: map[work.Part]ident.Attempt{}, changed: make(chan struct{})}
	w.entry = Entry{
		Worker: pool.Worker{
			Life: work.Life{Worker: ident.Worker(name), Born: time.Now().UnixMilli()}, Service: "s", Rack: ident.Rack(rack),
			Capacity: work.Amount{CPU: 128000, Memory: 262144, Accelerators: 8}, Accepting: true,
		},
		Address: name,
	}
	f.workers[ident.Worker(name)] = w
	return w
}

func (f *fakeFleet) breached(format string, args ...any) {
	f.breach = append(f.breach, fmt.Sprintf(format, args...))
}

func (w *fakeWorker) clock() WorkerClock {
	return WorkerClock(time.Since(w.start).Milliseconds()) + 1
}

func (w *fakeWorker) reply() Reply {
	return Reply{Clock: w.clock(), Born: w.entry.Born}
}

// call carries f out under the fleet's lock, with the worker's faults.
func (w *fakeWorker) call(ctx context.Context, life work.Life, epoch ident.Epoch, f func() error) error {
	w.fleet.mu.Lock()
	cut, mute := w.cut, w.mute
	w.fleet.mu.Unlock()
	if cut {
		<-ctx.Done()
		return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "call", string(life.Worker))
	}
	w.fleet.mu.Lock()
	err := w.checked(life, epoch, f)
	w.fleet.mu.Unlock()
	if mute {
		<-ctx.Done()
		return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "call", string(life.Worker))
	}
	return err
}

func (w *fakeWorker) checked(life work.Life, epoch ident.Epoch, f func() error) error {
	if life.Worker != w.entry.Life.Worker {
		return &Refusal{Cause: OtherLife, Worker: life.Worker, Reply: w.reply()}
	}
	if epoch < w.epoch {
		return &Refusal{Cause: Superseded, Worker: life.Worker, Reply: w.reply()}
	}
	w.epoch = epoch
	w.advance()
	return f()
}

// Start starts an attempt.
func (w *fakeWorker) Start(ctx context.Context, o StartOrder) (Reply, error) {
	var reply Reply
	err := w.call(ctx, o.Worker, o.Epoch, func() error {
		reply = w.reply()
		return w.begin(o)
	})
	return reply, err
}

func (w *fakeWorker) begin(o StartOrder) error {
	part := o.Attempt.Part
	if w.refuse != nil {
		return &Refusal{Cause: *w.refuse, Worker: o.Worker.Worker, Reply: w.reply()}
	}
	if o.Deadline != 0 && o.Deadline <= w.clock() {
		return &Refusal{Cause: Expired, Worker: o.Worker.Worker, Reply: w.reply()}
	}
	w.deadline = max(w.deadline, o.Deadline)
	if r := w.runs[part]; r != nil && r.attempt == o.Attempt {
		return nil
	}
	if o.Attempt.Number <= w.barred[part] {
		return &Refusal{Cause: Outdated, Worker: o.Worker.Worker, Reply: w.reply()}
	}
	for _, other := range w.fleet.workers {
		// Workers that nobody can reach end what is due by themselves.
		other.advance()
	}
	if w.fleet.running[part] > 0 {
		w.fleet.breached("%v: two runs at once at %v on %s", part, time.Now().Format(time.TimeOnly+".000"), w.entry.Life.Worker)
	}
	if w.fleet.noted[part] {
		w.fleet.breached("%v: started after a noted end", part)
	}
	w.fleet.starts++
	w.fleet.running[part]++
	r := &fakeRun{attempt: o.Attempt, worker: w, began: time.Now(), length: w.fleet.lengths[part.Job], stall: w.stalling}
	if o.Checkpoint != "" {
		_, _ = fmt.Sscanf(string(o.Checkpoint), "%d", &r.saved)
	}
	w.runs[part] = r
	w.checkRoom()
	w.wake()
	return nil
}

// checkRoom notes when more runs than the worker can bear. Parts of the tests need one accelerator, or eight where
// their job's name starts with "w".
func (w *fakeWorker) checkRoom() {
	sum := 0
	for part := range w.runs {
		sum += acceleratorsOf(part.Job)
	}
	if sum > 8 {
		w.fleet.breached("worker %s runs %d accelerators at %v", w.entry.Life.Worker, sum, time.Now().Format(time.TimeOnly+".000"))
	}
}

func acceleratorsOf(id ident.Job) int {
	if id[0] == 'w' {
		return 8
	}
	return 1
}

// Stop stops an attempt.
func (w *fakeWorker) Stop(ctx context.Context, o StopOrder) (Reply, error) {
	var reply Reply
	err := w.call(ctx, o.Worker, o.Epoch, func() error {
		reply = w.reply()
		w.fleet.stops++
		part := o.Attempt.Part
		w.barred[part] = max(w.barred[part], o.Attempt.Number)
		if r := w.runs[part]; r != nil && r.attempt == o.Attempt && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(w.stopTime)
		}
		w.advance()
		return nil
	})
	return reply, err
}

// Hold extends the lease and lists.
func (w *fakeWorker) Hold(ctx context.Context, o HoldOrder) (Report, error) {
	limit := time.Now().Add(o.Wait)
	born := w.born()
	for {
		if w.born() != born {
			return Report{}, fault.New(fault.OutcomeUnknown, "hold", string(o.Worker.Worker), "connection lost")
		}
		var report Report
		var changed chan struct{}
		err := w.call(ctx, o.Worker, o.Epoch, func() error {
			w.deadline = max(w.deadline, o.Deadline)
			w.ack(o.Seen)
			report = w.report()
			changed = w.changed
			return nil
		})
		if err != nil || len(report.Ended) > 0 || !time.Now().Before(limit) {
			return report, err
		}
		select {
		case <-changed:
		case <-time.After(min(time.Until(limit), 50*time.Millisecond)):
		case <-ctx.Done():
			return report, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "hold", string(o.Worker.Worker))
		}
	}
}

// born tells processes of the worker apart.
func (w *fakeWorker) born() int64 {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.entry.Born
}

func (w *fakeWorker) ack(seen EndNumber) {
	for len(w.ends) > 0 && w.ends[0].Number <= seen {
		if w.ends[0].How == pool.Done && w.ends[0].Number > w.excused {
			w.fleet.noted[w.ends[0].Attempt.Part] = true
		}
		w.ends = w.ends[1:]
	}
}

func (w *fakeWorker) report() Report {
	report := Report{Reply: w.reply()}
	report.Ended = append(report.Ended, w.ends...)
	for _, r := range w.runs {
		report.Running = append(report.Running, RunningPart{Attempt: r.attempt, Percent: r.percent(), Checkpoint: r.checkpoint()})
	}
	return report
}

// worked returns how much of its length the run has done.
func (r *fakeRun) worked() time.Duration {
	if r.stall || !r.worker.fleet.complete(r) {
		return r.saved
	}
	return r.saved + time.Since(r.worker.fleet.together(r))
}

func (r *fakeRun) percent() int {
	return int(min(100, r.worked()*100/max(r.length, 1)))
}

func (r *fakeRun) checkpoint() work.Checkpoint {
	if saved := r.worked().Truncate(saveEvery); saved > 0 {
		return work.Checkpoint(fmt.Sprintf("%d", saved))
	}
	return ""
}

// complete tells whether all parts of the run's gang are present.
func (f *fakeFleet) complete(r *fakeRun) bool {
	size := f.gangs[r.attempt.Part.Job]
	return size == 0 || len(f.members(r)) == size
}

// together returns when the last part of the run's gang began.
func (f *fakeFleet) together(r *fakeRun) time.Time {
	if f.gangs[r.attempt.Part.Job] == 0 {
		return r.began
	}
	last := r.began
	for _, m := range f.members(r) {
		if m.began.After(last) {
			last = m.began
		}
	}
	return last
}

func (f *fakeFleet) members(r *fakeRun) []*fakeRun {
	var found []*fakeRun
	for _, w := range f.workers {
		for _, m := range w.runs {
			p, q := m.attempt.Part, r.attempt.Part
			if p.Job == q.Job && p.Step == q.Step && p.Occurrence == q.Occurrence && m.attempt.Number == r.attempt.Number {
				found = append(found, m)
			}
		}
	}
	return found
}

// advance ends what is due on the worker.
func (w *fakeWorker) advance() {
	if w.deadline != 0 && w.clock() > w.deadline {
		w.excused = w.number
	}
	for _, r := range w.runs {
		switch {
		case !r.stopAt.IsZero() && !time.Now().Before(r.stopAt):
			w.end(r, pool.Stopped)
		case w.deadline != 0 && w.clock() > w.deadline:
			w.end(r, pool.Lapsed)
		case w.failing || w.fleet.poison[r.attempt.Part.Job]:
			w.endGang(r, pool.Failed, pool.Broken)
		case !w.fleet.complete(r) && time.Since(r.began) > gangPatience:
			w.end(r, pool.Alone)
		case r.worked() >= r.length && w.fleet.complete(r) && !r.stall:
			w.endGang(r, pool.Done, pool.Done)
		}
	}
}

// endGang ends a run, and the others of its gang.
func (w *fakeWorker) endGang(r *fakeRun, how, others pool.End) {
	if w.fleet.gangs[r.attempt.Part.Job] > 0 {
		for _, m := range w.fleet.members(r) {
			if m != r {
				m.worker.end(m, others)
			}
		}
	}
	w.end(r, how)
}

func (w *fakeWorker) end(r *fakeRun, how pool.End) {
	if r.ended {
		return
	}
	r.ended = true
	part := r.attempt.Part
	w.number++
	w.ends = append(w.ends, EndedPart{Number: w.number, Attempt: r.attempt, How: how, Checkpoint: r.checkpoint()})
	w.barred[part] = max(w.barred[part], r.attempt.Number)
	w.fleet.running[part]--
	delete(w.runs, part)
	w.wake()
}

func (w *fakeWorker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// crash ends all that runs, without a word, and starts another process.
func (w *fakeWorker) crash() {
	for part := range w.runs {
		w.fleet.running[part]--
	}
	w.runs, w.barred = map[work.Part]*fakeRun{}, map[work.Part]ident.Attempt{}
	w.ends, w.number, w.excused, w.epoch, w.deadline = nil, 0, 0, 0, 0
	w.start = time.Now()
	w.entry.Born = time.Now().UnixMilli()
}
