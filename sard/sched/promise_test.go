package sched_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/elect"
	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// maxTakeover is how long there may be no lease holder after one was killed: the target for takeovers.
	maxTakeover = 10 * time.Second
	// killsInARow is the number of holders killed one after the other that may leave no job idle for heldBackLimit. If more are
	// killed while a job waits, only the time with a holder counts, as no one else could start it.
	killsInARow = 2
	// lookPause is the time between two looks at what runs, and seriesTime for how long a series is played.
	lookPause, seriesTime = 100 * time.Millisecond, 60 * time.Second
	// submitTime is for how long jobs are submitted.
	submitTime = 45 * time.Second
)

// seriesSeeds is how many seeds each series of takeovers is played with.
var seriesSeeds = flag.Uint64("seeds", 1, "number of seeds of the series of takeovers")

// takeoverSeries plays jobs on a pool whose lease holder is killed, alone and in quick series.
type takeoverSeries struct {
	*harness
	rng *rand.Rand
	// failing, if not nil, lets workers fail or refuse what they get; cutting lets them be cut off; crashing lets parts crash
	// their workers.
	failing, cutting, crashing *rand.Rand
	workers                    int
	instances                  map[ident.Instance]context.CancelFunc
	started                    int
	// mu guards what instances change: when the last holder was killed, zero while there is a holder, and where each part was
	// last sent.
	mu       sync.Mutex
	killedAt time.Time
	sentTo   map[work.Part]ident.Worker
	// killsLeft is how many of the next holders are killed, each at killNext.
	killsLeft int
	killNext  time.Time
	// clearAt is when the trouble of a worker ends.
	clearAt   map[ident.Worker]time.Time
	submitted []ident.Job
	held      map[ident.Job]*heldJob
	// events tells when the lease changed hands, and log is what the instances logged.
	events []string
	log    lockedLog
}

// lockedLog keeps what is written to it.
type lockedLog struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write keeps a line.
func (l *lockedLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// linesWith returns the lines that contain a text.
func (l *lockedLog) linesWith(text string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return strings.Join(found, "")
}

// heldJob is a job of which nothing runs though the pool has room.
type heldJob struct {
	// since is when nothing of it ran first, and withHolder for how long of that time there was a lease holder.
	since      time.Time
	withHolder time.Duration
	// kills is how many holders were killed since.
	kills int
}

// time returns how long the job has been held back, as far as it counts.
func (h *heldJob) time() time.Duration {
	if h.kills <= killsInARow {
		return time.Since(h.since)
	}
	return h.withHolder
}

// newTakeoverSeries returns a series for a seed.
func newTakeoverSeries(r *harness, seed uint64, workers int) *takeoverSeries {
	s := &takeoverSeries{
		harness: r, rng: rand.New(rand.NewPCG(seed, 40)), workers: workers, instances: map[ident.Instance]context.CancelFunc{},
		sentTo: map[work.Part]ident.Worker{}, clearAt: map[ident.Worker]time.Time{}, held: map[ident.Job]*heldJob{},
	}
	r.disturbed.Store(true)
	r.runTimes, r.costOrder = s.rng.IntN(2) == 0, s.rng.IntN(2) == 0
	r.fleet.OnRestart = r.relistRenamed
	if !testing.Verbose() {
		r.logger = hclog.New(&hclog.LoggerOptions{Output: &s.log})
	}
	r.wrapClient = func(c sched.WorkerClient) sched.WorkerClient { return &recordingClient{c, s} }
	r.wrapLease = func(l sched.Lease) sched.Lease {
		s.begin(l.Epoch())
		return l
	}
	return s
}

// recordingClient is a client of a worker that records which parts were sent there.
type recordingClient struct {
	sched.WorkerClient
	series *takeoverSeries
}

// Start sends a start request.
func (c *recordingClient) Start(ctx context.Context, o sched.StartRequest) (sched.Reply, error) {
	c.series.mu.Lock()
	c.series.sentTo[o.Attempt.Part] = o.Worker.Worker
	c.series.mu.Unlock()
	return c.WorkerClient.Start(ctx, o)
}

// RenewLease renews the lease of the worker, and drops the parts that it lists as ended.
func (c *recordingClient) RenewLease(ctx context.Context, o sched.RenewLeaseRequest) (sched.WorkerReport, error) {
	report, err := c.WorkerClient.RenewLease(ctx, o)
	c.series.mu.Lock()
	defer c.series.mu.Unlock()
	for _, end := range report.Ended {
		if part := end.Attempt.Part; err == nil && c.series.sentTo[part] == o.Worker.Worker {
			delete(c.series.sentTo, part)
		}
	}
	return report, err
}

// begin records that an instance holds the lease.
func (s *takeoverSeries) begin(epoch ident.Epoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killedAt = time.Time{}
	s.events = append(s.events, fmt.Sprintf("%s holder %d", time.Now().Format("05.0"), epoch))
}

// holderGone returns for how long there has been no holder.
func (s *takeoverSeries) holderGone() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killedAt.IsZero() {
		return 0
	}
	return time.Since(s.killedAt)
}

// run plays the series.
func (s *takeoverSeries) run() {
	for range 3 {
		s.startNext()
	}
	for began := time.Now(); time.Since(began) < seriesTime; s.sleep(lookPause) {
		if time.Since(began) < submitTime && s.rng.IntN(6) == 0 {
			s.submitRandom()
		}
		s.killSome()
		s.troubleSome()
		s.look()
	}
	s.checkCauses()
}

// startNext starts an instance with a new name.
func (s *takeoverSeries) startNext() {
	s.started++
	name := fmt.Sprintf("i%d", s.started)
	s.instances[ident.Instance(name)] = s.startInstance(name)
}

// submitRandom submits a random job.
func (s *takeoverSeries) submitRandom() {
	id := ident.Job(fmt.Sprintf("j%d", len(s.submitted)))
	if s.rng.IntN(4) == 0 {
		id = "w" + id
	}
	if s.rng.IntN(3) == 0 {
		id += "!"
	}
	step := work.Step{
		Parts: 1 + s.rng.IntN(4), Gang: s.rng.IntN(2) == 0, Checkpoints: s.rng.IntN(2) == 0, SameRack: s.rng.IntN(2) == 0,
		Lasting: s.rng.IntN(12) == 0,
	}
	if s.crashing != nil && s.crashing.IntN(6) == 0 {
		s.crashingParts[id] = map[int]bool{s.crashing.IntN(step.Parts): true}
	}
	s.submit(id, time.Duration(200+s.rng.IntN(8000))*time.Millisecond, step)
	s.submitted = append(s.submitted, id)
}

// killSome kills the lease holder at times, and often some of the next ones soon after they hold it.
func (s *takeoverSeries) killSome() {
	if s.holderGone() > 0 {
		return
	}
	switch {
	case s.killsLeft == 0 && s.rng.IntN(100) == 0:
		s.killsLeft = 1 + s.rng.IntN(2)*s.rng.IntN(5)
		s.killHolder()
	case s.killsLeft > 0 && s.killNext.IsZero():
		s.killNext = time.Now().Add(time.Duration(s.rng.IntN(2500)) * time.Millisecond)
	case s.killsLeft > 0 && time.Now().After(s.killNext):
		s.killHolder()
	}
}

// killHolder kills the instance that holds the lease, and starts another one.
func (s *takeoverSeries) killHolder() {
	s.t.Helper()
	listing, err := s.store.List(s.ctx, store.Range{Table: elect.TableName, Partition: work.MainPartition})
	assert.NilError(s.t, err)
	for _, row := range listing.Rows {
		holder, _, _ := strings.Cut(string(row.Value), "@")
		if kill := s.instances[ident.Instance(holder)]; kill != nil {
			s.mu.Lock()
			s.killedAt = time.Now()
			s.events = append(s.events, fmt.Sprintf("%s kill %s", time.Now().Format("05.0"), holder))
			s.mu.Unlock()
			kill()
			delete(s.instances, ident.Instance(holder))
			s.startNext()
			s.killsLeft, s.killNext = s.killsLeft-1, time.Time{}
			for _, h := range s.held {
				h.kills++
			}
			return
		}
	}
}

// troubleSome lets trouble come to workers at times.
func (s *takeoverSeries) troubleSome() {
	for i := range s.workers {
		w := s.fleet.Worker(workerName(i))
		if at := s.clearAt[workerName(i)]; !at.IsZero() && time.Now().After(at) {
			delete(s.clearAt, workerName(i))
			s.updateFleet(w.ClearFaults)
		}
	}
	cause := sched.Unwell
	if s.failing != nil && s.failing.IntN(80) == 0 {
		share, refusing := 1+s.failing.IntN(7), s.failing.IntN(2) == 0
		s.trouble(s.failing, share, 8000, func(w *fakes.Worker) {
			if w.Failing = !refusing; refusing {
				w.RefuseStarts = &cause
			}
		})
	}
	if s.cutting != nil && s.cutting.IntN(60) == 0 {
		s.trouble(s.cutting, 1, 6000, func(w *fakes.Worker) { w.Unreachable = true })
	}
}

// trouble changes some of ten workers for some of the milliseconds.
func (s *takeoverSeries) trouble(rng *rand.Rand, ofTen, mostMs int, change func(*fakes.Worker)) {
	for i := range s.workers {
		if name := workerName(i); rng.IntN(10) < ofTen && s.clearAt[name].IsZero() {
			s.clearAt[name] = time.Now().Add(time.Duration(500+rng.IntN(mostMs)) * time.Millisecond)
			w := s.fleet.Worker(name)
			s.updateFleet(func() { change(w) })
		}
	}
}

// poolView is what is known of the workers at a moment.
type poolView struct {
	// all holds the workers that can be reached, and sound those of them that neither fail nor refuse what they get.
	all, sound []ident.Worker
	// away holds the workers that can't be reached, by the names that they had.
	away map[ident.Worker]bool
}

// view returns what is known of the workers now.
func (s *takeoverSeries) view() poolView {
	v := poolView{away: map[ident.Worker]bool{}}
	s.fleet.ForEachWorker(func(w *fakes.Worker) {
		name := w.Entry.WorkerProcess.Worker
		switch {
		case w.Unreachable || w.Entry.StartedMs > time.Now().UnixMilli():
			v.away[name], v.away[ident.Worker(strings.TrimSuffix(string(name), "'"))] = true, true
			return
		case !w.Failing && w.RefuseStarts == nil:
			v.sound = append(v.sound, name)
		}
		v.all = append(v.all, name)
	})
	return v
}

// look checks that no job is held back for too long.
func (s *takeoverSeries) look() {
	s.t.Helper()
	gone := s.holderGone()
	assert.Assert(s.t, gone < maxTakeover, "no lease holder for %v", gone)
	view := s.view()
	unseen := s.mayRunUnseen(view)
	for _, id := range s.submitted {
		if unseen[id] || s.fleet.MayBeGivenUp(id) || !s.fleet.CouldRun(id, view.sound) {
			delete(s.held, id)
			continue
		}
		h := s.held[id]
		if h == nil {
			h = &heldJob{since: time.Now()}
			s.held[id] = h
		} else if gone == 0 {
			h.withHolder += lookPause
		}
		if h.time() >= heldBackLimit {
			s.t.Fatalf("%s has been held back since %s: %s", id, h.since.Format("05.0"), s.story(id))
		}
	}
}

// story tells when the lease changed hands, and what was logged of a job.
func (s *takeoverSeries) story(id ident.Job) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%q\n%s", s.events, s.log.linesWith(string(id)))
}

// mayRunUnseen returns the jobs with a part that was last sent to a worker which can't be reached. It can't be started
// elsewhere until the lease of that worker has expired.
func (s *takeoverSeries) mayRunUnseen(view poolView) map[ident.Job]bool {
	unseen := map[ident.Job]bool{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for part, worker := range s.sentTo {
		if view.away[worker] {
			unseen[part.Job] = true
		}
	}
	return unseen
}

// checkCauses checks that each job that is shown as failed had a cause.
func (s *takeoverSeries) checkCauses() {
	s.t.Helper()
	for _, id := range s.submitted {
		state, err := s.api.State(s.ctx, accountA, id)
		assert.NilError(s.t, err)
		if state == ident.Failed && !s.fleet.MayBeGivenUp(id) {
			s.t.Fatalf("job %s has failed without cause: %s", id, s.story(id))
		}
	}
}

// TestRandomTakeoversWithRoom guards against accepted jobs of which nothing runs for 3 s, while a part's turn has come, the pool
// has room for it twice over and under half of it is in use, because each new lease holder lets them wait anew.
func TestRandomTakeoversWithRoom(t *testing.T) {
	tests := []struct {
		name     string
		troubles func(s *takeoverSeries, seed uint64)
	}{
		{"takeovers", func(*takeoverSeries, uint64) {}},
		{"failing", func(s *takeoverSeries, seed uint64) { s.failing = rand.New(rand.NewPCG(seed, 41)) }},
		{"cut off", func(s *takeoverSeries, seed uint64) { s.cutting = rand.New(rand.NewPCG(seed, 42)) }},
		{"crashing", func(s *takeoverSeries, seed uint64) { s.crashing = rand.New(rand.NewPCG(seed, 43)) }},
		{"all", func(s *takeoverSeries, seed uint64) {
			s.failing, s.cutting = rand.New(rand.NewPCG(seed, 44)), rand.New(rand.NewPCG(seed, 45))
			s.crashing = rand.New(rand.NewPCG(seed, 46))
		}},
	}
	const workers = 12
	for _, test := range tests {
		for seed := range *seriesSeeds {
			t.Run(fmt.Sprintf("%s seed %d", test.name, seed), func(t *testing.T) {
				runTest(t, workers, func(r *harness) {
					s := newTakeoverSeries(r, seed, workers)
					test.troubles(s, seed)
					s.run()
				})
			})
		}
	}
}
