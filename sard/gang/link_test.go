package gang_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
	"github.com/sardineline/sardineline/sard/worker"
)

// link is one instance's way to the table and to the workers, with faults.
type link struct {
	site *site
	// store is the table behind the faults.
	store *counted

	mu     sync.Mutex
	rng    *rand.Rand
	faulty bool
	down   bool
	resume chan struct{}
	// cut are the workers that this instance can't reach.
	cut map[ident.Worker]bool
	// calls counts the calls; at is the one whose fate is planned, 0 for none.
	calls, at int
	planned   fate
	// crash ends the instance; dead tells that it did, so that nothing more is sent.
	crash func()
	dead  bool
	// held delays the next poll of a worker, or the next write for the empty name, far beyond its timeout.
	held map[ident.Worker]time.Duration
}

func newLink(s *site, store *counted, seed uint64) *link {
	open := make(chan struct{})
	close(open)
	return &link{site: s, store: store, rng: rand.New(rand.NewPCG(seed, seed)), resume: open, cut: map[ident.Worker]bool{}, held: map[ident.Worker]time.Duration{}}
}

// pause holds all calls back right before they are sent, for a time.
func (l *link) pause(d time.Duration) {
	resume := make(chan struct{})
	l.mu.Lock()
	l.resume = resume
	l.mu.Unlock()
	time.AfterFunc(d, func() { close(resume) })
}

func (l *link) set(faulty, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faulty, l.down = faulty, down
}

// setCut cuts the instance off from a worker or joins them.
func (l *link) setCut(w ident.Worker, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[w] = cut
}

func (l *link) isCut(w ident.Worker) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[w]
}

// hold delays the next poll of a worker, or the next write for the empty name.
func (l *link) hold(w ident.Worker, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[w] = d
}

func (l *link) takeHeld(w ident.Worker) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok := l.held[w]
	delete(l.held, w)
	return d, ok
}

// die crashes the instance. Calls that were sent before still arrive.
func (l *link) die() {
	l.mu.Lock()
	l.dead = true
	l.mu.Unlock()
	l.crash()
}

func (l *link) isDead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dead
}

// fate is what happens to one call.
type fate int

const (
	passes fate = iota
	lostBefore
	lostAfter
	repeated
	delayed
	crashBefore
	crashAfter
)

// Delays of messages: the longest that a late one takes, beyond the caller's timeout.
const (
	maxDelay    = 12 * time.Second
	callTimeout = 2 * time.Second
)

// draw waits for the end of a pause and draws the call's fate and delay.
func (l *link) draw() (fate, time.Duration, bool) {
	l.mu.Lock()
	resume := l.resume
	l.mu.Unlock()
	<-resume
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.calls == l.at {
		return l.planned, maxDelay / 2, false
	}
	if !l.faulty || l.rng.IntN(8) != 0 {
		return passes, time.Millisecond, l.down
	}
	return fate(l.rng.IntN(int(delayed) + 1)), time.Duration(l.rng.Int64N(int64(maxDelay))), l.down
}

// send plays a call of a worker. A delayed call still arrives after the caller has given it up.
func send[Reply any](ctx context.Context, l linked, step string, hold time.Duration, call func(ctx context.Context) (Reply, error)) (Reply, error) {
	var none Reply
	fate, delay, _ := l.draw()
	if l.isCut(l.to.name) || l.isDead() {
		return none, fault.New(fault.Unavailable, step, "worker", "cut off")
	}
	if hold > 0 {
		if d, ok := l.takeHeld(l.to.name); ok {
			fate, delay = delayed, d
		}
	}
	unknown := fault.New(fault.OutcomeUnknown, step, "worker", "answer lost")
	ctx, cancel := context.WithTimeout(ctx, hold+callTimeout)
	defer cancel()
	switch fate {
	case lostBefore:
		<-ctx.Done()
		return none, unknown
	case lostAfter:
		_, _ = call(ctx)
		<-ctx.Done()
		return none, unknown
	case crashBefore:
		l.die()
		return none, unknown
	case crashAfter:
		_, _ = call(ctx)
		l.die()
		return none, unknown
	case repeated:
		l.site.group.Go(func() error {
			time.Sleep(delay)
			_, _ = call(context.Background())
			return nil
		})
	case delayed:
		answer := make(chan struct{})
		var reply Reply
		var err error
		l.site.group.Go(func() error {
			time.Sleep(delay)
			reply, err = call(context.Background())
			close(answer)
			return nil
		})
		select {
		case <-answer:
			return reply, err
		case <-ctx.Done():
			return none, unknown
		}
	}
	reply, err := call(ctx)
	if l.isCut(l.to.name) || l.isDead() {
		return none, unknown
	}
	return reply, err
}

// linked is a worker's client through a link.
type linked struct {
	*link
	to *fakeWorker
}

func (c linked) Fence(ctx context.Context, req worker.FenceRequest) (worker.Report, error) {
	return send(ctx, c, "fence", 0, func(ctx context.Context) (worker.Report, error) { return c.to.Fence(ctx, req) })
}

func (c linked) Reserve(ctx context.Context, req worker.ReserveRequest) (worker.Report, error) {
	return send(ctx, c, "reserve", 0, func(ctx context.Context) (worker.Report, error) { return c.to.Reserve(ctx, req) })
}

func (c linked) Start(ctx context.Context, req worker.StartRequest) (worker.Report, error) {
	return send(ctx, c, "start", 0, func(ctx context.Context) (worker.Report, error) { return c.to.Start(ctx, req) })
}

func (c linked) Renew(ctx context.Context, req worker.RenewRequest) (worker.Report, error) {
	return send(ctx, c, "renew", req.Wait.Std(), func(ctx context.Context) (worker.Report, error) { return c.to.Renew(ctx, req) })
}

func (c linked) Checkpoint(ctx context.Context, req worker.CheckpointRequest) (worker.CheckpointReply, error) {
	return send(ctx, c, "checkpoint", 0, func(ctx context.Context) (worker.CheckpointReply, error) { return c.to.Checkpoint(ctx, req) })
}

func (c linked) Throttle(ctx context.Context, req worker.ThrottleRequest) (worker.Report, error) {
	return c.to.Throttle(ctx, req)
}

func (c linked) Stop(ctx context.Context, req worker.StopRequest) (worker.Report, error) {
	return send(ctx, c, "stop", 0, func(ctx context.Context) (worker.Report, error) { return c.to.Stop(ctx, req) })
}

// counted is the table itself. It counts how often each job became terminal.
type counted struct {
	table.Memory
	mu       sync.Mutex
	terminal map[string]int
	// writes counts the items written, batches the calls, leases those of leases.
	writes, batches, leases int
}

func (c *counted) Apply(ctx context.Context, p table.Priority, batch ...table.Write) error {
	err := c.Memory.Apply(ctx, p, batch...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.batches++
	if key, _ := table.KeyAndCondition(batch[len(batch)-1]); key.Partition == "lease" {
		c.leases++
	}
	for _, w := range batch {
		put, ok := w.(table.Put)
		var body struct{ State ident.JobState }
		if err != nil || !ok {
			continue
		}
		c.writes++
		if strings.HasPrefix(put.Key.Partition, "jobs/") && json.Unmarshal(put.Body, &body) == nil && body.State.Terminal() {
			c.terminal[put.Key.Sort]++
		}
	}
	return err
}

// linkedStore is the table through a link.
type linkedStore struct{ *link }

func (s linkedStore) read(step string) error {
	fate, _, down := s.draw()
	if fate >= crashBefore {
		s.die()
	}
	if down || s.isDead() || fate == lostBefore || fate == lostAfter {
		return fault.New(fault.Unavailable, step, "table", "down")
	}
	return nil
}

func (s linkedStore) Get(ctx context.Context, p table.Priority, key table.Key) (table.Item, error) {
	if err := s.read("get"); err != nil {
		return table.Item{}, err
	}
	return s.store.Get(ctx, p, key)
}

func (s linkedStore) GetStale(ctx context.Context, p table.Priority, key table.Key) (table.Item, error) {
	return s.Get(ctx, p, key)
}

func (s linkedStore) List(ctx context.Context, p table.Priority, partition, prefix string) ([]table.Item, error) {
	if err := s.read("list"); err != nil {
		return nil, err
	}
	return s.store.List(ctx, p, partition, prefix)
}

func (s linkedStore) Apply(ctx context.Context, p table.Priority, batch ...table.Write) error {
	fate, delay, down := s.draw()
	if key, _ := table.KeyAndCondition(batch[len(batch)-1]); key.Partition != "lease" {
		if d, ok := s.takeHeld(""); ok {
			fate, delay = delayed, d
		}
	}
	switch {
	case down || s.isDead():
		return fault.New(fault.Unavailable, "apply", "table", "down")
	case fate == lostBefore:
		return fault.New(fault.OutcomeUnknown, "apply", "table", "lost before")
	case fate == crashBefore:
		s.die()
		return fault.New(fault.OutcomeUnknown, "apply", "table", "crashed before")
	case fate == crashAfter:
		_ = s.store.Apply(ctx, p, batch...)
		s.die()
		return fault.New(fault.OutcomeUnknown, "apply", "table", "crashed after")
	case fate == lostAfter:
		_ = s.store.Apply(ctx, p, batch...)
		return fault.New(fault.OutcomeUnknown, "apply", "table", "lost after")
	case fate == delayed:
		s.site.group.Go(func() error {
			time.Sleep(delay)
			return ignore(s.store.Apply(context.Background(), p, batch...))
		})
		time.Sleep(min(delay, callTimeout))
		return fault.New(fault.OutcomeUnknown, "apply", "table", "late")
	}
	return s.store.Apply(ctx, p, batch...)
}

func ignore(error) error { return nil }
