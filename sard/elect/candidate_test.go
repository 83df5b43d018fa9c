package elect

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
)

// fixture runs candidates against one store in virtual time.
type fixture struct {
	t     *testing.T
	store *store.Memory
	group errgroup.Group
	stops []context.CancelFunc
	// acting counts the candidates that may act at this moment.
	acting atomic.Int32
	// watchPause and takeoverDelay are the WatchPause and TakeoverDelay of candidates that are started.
	watchPause, takeoverDelay time.Duration
	// otherReaders is the number of other background readers of the store in each process that is started.
	otherReaders int
}

// process is one process of an instance, with its own connection to the store.
type process struct {
	store *faultyStore
	stop  context.CancelFunc
	lease atomic.Pointer[Lease]
	// notice is the last notice that the process has read.
	notice atomic.Pointer[Notice]
}

// faultyStore is a process's connection to the store, which can fail or lose responses.
type faultyStore struct {
	store.Store
	unavailable, loseResponses atomic.Bool
	// refusedWrites is the number of transactions to come that fail, while reads are served.
	refusedWrites atomic.Int64
	// feeds counts the calls of Feed.
	feeds atomic.Int64
}

// Apply applies a transaction unless the store is unavailable; its response may be lost.
func (s *faultyStore) Apply(ctx context.Context, tx store.Tx) (store.Result, error) {
	if s.unavailable.Load() || s.refusedWrites.Load() > 0 && s.refusedWrites.Add(-1) >= 0 {
		return store.Result{}, fault.New(fault.Unavailable, "apply", "store", "unavailable")
	}
	result, err := s.Store.Apply(ctx, tx)
	if err == nil && s.loseResponses.Load() {
		return store.Result{}, fault.New(fault.OutcomeUnknown, "apply", "store", "response lost")
	}
	return result, err
}

// List reads a range unless the store is unavailable.
func (s *faultyStore) List(ctx context.Context, r store.Range) (store.Listing, error) {
	if s.unavailable.Load() {
		return store.Listing{}, fault.New(fault.Unavailable, "list", "store", "unavailable")
	}
	return s.Store.List(ctx, r)
}

// Feed follows a table unless the store is unavailable.
func (s *faultyStore) Feed(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Changes, error) {
	s.feeds.Add(1)
	if s.unavailable.Load() {
		return store.Changes{}, fault.New(fault.Unavailable, "feed", "store", "unavailable")
	}
	return s.Store.Feed(ctx, table, after, wait)
}

// runWithFixture runs a test in virtual time and then stops its candidates.
func runWithFixture(t *testing.T, test func(*fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, store: &store.Memory{}}
		test(f)
		for _, stop := range f.stops {
			stop()
		}
		assert.NilError(t, f.group.Wait())
	})
}

// start runs a candidate that checks, while it holds the lease, that no other candidate may act.
func (f *fixture) start(instance ident.Instance, processID string) *process {
	ctx, stop := context.WithCancel(f.t.Context())
	f.stops = append(f.stops, stop)
	p := &process{store: &faultyStore{Store: f.store}, stop: stop}
	breaker := store.NewBreaker(p.store)
	runner := New(Config{
		Store: breaker, Watched: breaker.Background(), Instance: instance, ProcessID: processID,
		WatchPause: f.watchPause, TakeoverDelay: f.takeoverDelay,
		Noticed: func(n Notice) { p.notice.Store(&n) }, Logger: hclog.NewNullLogger(),
	})
	for range f.otherReaders {
		f.group.Go(func() error {
			for clock.Sleep(ctx, 100*time.Millisecond) {
				_, _ = breaker.Background().List(ctx, store.Range{Table: "other"})
			}
			return nil
		})
	}
	f.group.Go(func() error {
		return runner.Run(ctx, func(ctx context.Context, l *Lease) error { return f.checkExclusive(ctx, p, l) })
	})
	return p
}

// checkExclusive fails the test if another candidate may act while this one may.
func (f *fixture) checkExclusive(ctx context.Context, p *process, l *Lease) error {
	p.lease.Store(l)
	defer p.lease.Store(nil)
	for clock.Sleep(ctx, 10*time.Millisecond) {
		if l.Check() != nil {
			continue
		}
		if f.acting.Add(1) > 1 {
			f.t.Error("two candidates may act at the same time")
		}
		clock.Sleep(ctx, time.Millisecond)
		f.acting.Add(-1)
	}
	return nil
}

// mayAct reports whether the process holds a valid lease.
func (p *process) mayAct() bool {
	lease := p.lease.Load()
	return lease != nil && lease.Check() == nil
}

// TestOneOfManyHolds checks that exactly one of three candidates acquires the lease.
func TestOneOfManyHolds(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		var processes []*process
		for _, name := range []ident.Instance{"a", "b", "c"} {
			processes = append(processes, f.start(name, "1"))
		}
		time.Sleep(10 * time.Second)
		acting := 0
		for _, p := range processes {
			if p.mayAct() {
				acting++
			}
		}
		assert.Equal(t, acting, 1)
	})
}

// TestTakeover checks that another candidate takes over in time after the holder stops or loses the store.
func TestTakeover(t *testing.T) {
	tests := []struct {
		name string
		lose func(*process)
		// limit bounds the time until the other candidate holds the lease.
		limit time.Duration
	}{
		{"released", func(p *process) { p.stop() }, 200 * time.Millisecond},
		{"cut off", func(p *process) { p.store.unavailable.Store(true) }, DefaultTerm + time.Second},
		{"killed", func(p *process) { p.store.unavailable.Store(true); p.stop() }, DefaultTerm + time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runWithFixture(t, func(f *fixture) {
				first := f.start("a", "1")
				time.Sleep(time.Second)
				second := f.start("b", "1")
				time.Sleep(time.Second)
				assert.Assert(t, first.mayAct() && !second.mayAct())
				test.lose(first)
				time.Sleep(test.limit)
				assert.Assert(t, second.mayAct())
				assert.Assert(t, !first.mayAct())
			})
		})
	}
}

// TestRestartedInstanceTakesOverAtOnce checks that a restarted instance doesn't wait for its own lease to expire: its
// earlier process can no longer be running.
func TestRestartedInstanceTakesOverAtOnce(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		first := f.start("a", "1")
		time.Sleep(time.Second)
		first.store.unavailable.Store(true)
		first.stop()
		second := f.start("a", "2")
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, second.mayAct())
	})
}

// TestLostAnswers checks that a holder whose renewals take effect but whose responses are lost keeps the lease but may
// not act until responses arrive again.
func TestLostAnswers(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		first := f.start("a", "1")
		time.Sleep(time.Second)
		f.start("b", "1")
		epoch := first.lease.Load().Epoch()
		first.store.loseResponses.Store(true)
		time.Sleep(5 * time.Second)
		assert.Assert(t, !first.mayAct())
		assert.Assert(t, first.lease.Load().LapsedFor() > 0)
		first.store.loseResponses.Store(false)
		time.Sleep(time.Second)
		assert.Assert(t, first.mayAct())
		assert.Equal(t, first.lease.Load().Epoch(), epoch)
	})
}

// TestOutageForAll checks that nobody takes over during an outage of the store and that the holder continues after it.
func TestOutageForAll(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		first, second := f.start("a", "1"), f.start("b", "1")
		time.Sleep(time.Second)
		if second.mayAct() {
			first, second = second, first
		}
		first.store.unavailable.Store(true)
		second.store.unavailable.Store(true)
		time.Sleep(time.Minute)
		assert.Assert(t, !first.mayAct() && !second.mayAct())
		first.store.unavailable.Store(false)
		second.store.unavailable.Store(false)
		time.Sleep(time.Second)
		assert.Assert(t, first.mayAct())
	})
}

// TestEpochsRise checks that each holder has a higher epoch than all earlier ones.
func TestEpochsRise(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		last := ident.Epoch(0)
		for range 5 {
			p := f.start("a", time.Now().String())
			time.Sleep(time.Second)
			epoch := p.lease.Load().Epoch()
			assert.Assert(t, epoch > last)
			last = epoch
			p.stop()
			time.Sleep(time.Second)
		}
	})
}

// TestLatestEpoch guards against requests of a holder that a later holder can't supersede, and against a holder that can't
// supersede its own: its latest epoch rises with its renewals and stays below the epoch of each later holder, which may be
// the same process.
func TestLatestEpoch(t *testing.T) {
	tests := []struct {
		name string
		lose func(*fixture, *process) *process
	}{
		{"another instance", func(f *fixture, p *process) *process {
			next := f.start("b", "1")
			time.Sleep(time.Second)
			p.store.unavailable.Store(true)
			return next
		}},
		{"same process", func(_ *fixture, p *process) *process {
			p.lease.Load().MarkLost()
			return p
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runWithFixture(t, func(f *fixture) {
				p := f.start("a", "1")
				time.Sleep(time.Second)
				lease := p.lease.Load()
				latest := lease.LatestEpoch()
				assert.Check(t, latest > lease.Epoch())
				time.Sleep(time.Second)
				assert.Check(t, lease.LatestEpoch() > latest)
				next := test.lose(f, p)
				time.Sleep(4 * time.Second)
				assert.Check(t, next.lease.Load().Epoch() > lease.LatestEpoch())
			})
		})
	}
}

// TestEpochsOfConcurrentWrites guards against a holder that uses a number which is the epoch of the next one, because it counts the
// transactions that it has under way beside its renewals.
func TestEpochsOfConcurrentWrites(t *testing.T) {
	for phase := range 20 {
		runWithFixture(t, func(f *fixture) {
			p := f.start("a", "1")
			time.Sleep(time.Second + time.Duration(phase)*13*time.Millisecond)
			lease := p.lease.Load()
			for i := range 200 {
				before := lease.LatestEpoch()
				_, err := f.store.Apply(t.Context(), store.Tx{Preconditions: []store.Precondition{lease.Fence()}, Put: []store.Put{{Key: store.Key{Table: "x"}}}})
				assert.NilError(t, err)
				time.Sleep(time.Duration(i%7) * 5 * time.Millisecond)
				lease.WriteApplied()
				assert.Check(t, lease.LatestEpoch() > before)
			}
			next := f.start("b", "1")
			p.stop()
			time.Sleep(4 * time.Second)
			assert.Check(t, next.lease.Load().Epoch() > lease.LatestEpoch())
		})
	}
}

// TestWatchPause checks that a candidate which pauses between its reads of the lease makes fewer of them, notices a release
// within a pause, and takes over from a killed holder at most a pause later.
func TestWatchPause(t *testing.T) {
	const pause = 600 * time.Millisecond
	tests := []struct {
		name  string
		lose  func(*process)
		limit time.Duration
	}{
		{"released", func(p *process) { p.stop() }, pause + 200*time.Millisecond},
		{"killed", func(p *process) { p.store.unavailable.Store(true); p.stop() }, DefaultTerm + pause + time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runWithFixture(t, func(f *fixture) {
				f.watchPause = pause
				first := f.start("a", "1")
				time.Sleep(time.Second)
				second := f.start("b", "1")
				time.Sleep(10 * time.Second)
				assert.Assert(t, second.store.feeds.Load() <= int64(10*time.Second/pause)+1, "%d reads", second.store.feeds.Load())
				test.lose(first)
				time.Sleep(test.limit)
				assert.Assert(t, second.mayAct())
			})
		})
	}
}

// TestWeakCandidateLeavesLeaseToOthers checks that a candidate with a long takeover delay leaves the lease to one with a
// short delay. The holder is killed, and the store is unavailable for a time at any phase of the candidates' tries.
func TestWeakCandidateLeavesLeaseToOthers(t *testing.T) {
	for outage := time.Duration(0); outage < 6*time.Second; outage += 130 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) {
			runWithFixture(t, func(f *fixture) {
				holder := f.start("a", "1")
				time.Sleep(time.Second)
				f.watchPause, f.takeoverDelay = 600*time.Millisecond, 680*time.Millisecond
				processes := []*process{f.start("weak1", "1"), f.start("weak2", "1"), f.start("weak3", "1"), f.start("weak4", "1")}
				f.watchPause, f.takeoverDelay = 0, 20*time.Millisecond
				strong := f.start("strong", "1")
				time.Sleep(10 * time.Second)

				holder.store.unavailable.Store(true)
				holder.stop()
				for _, p := range append(processes, strong) {
					p.store.unavailable.Store(outage > 0)
				}
				time.Sleep(outage)
				for _, p := range append(processes, strong) {
					p.store.unavailable.Store(false)
				}
				time.Sleep(5 * time.Second)
				assert.Assert(t, strong.mayAct())
			})
		})
	}
}

// TestHolderKeepsLeaseThroughOutage checks that no other candidate takes the lease right after a store outage, before the
// holder can renew it. The candidates can't have observed the lease in the meantime.
func TestHolderKeepsLeaseThroughOutage(t *testing.T) {
	for outage := 1500 * time.Millisecond; outage < 6*time.Second; outage += 130 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) {
			runWithFixture(t, func(f *fixture) {
				holder := f.start("a", "1")
				time.Sleep(time.Second)
				f.watchPause, f.otherReaders = 600*time.Millisecond, 3
				processes := []*process{holder, f.start("b", "1"), f.start("c", "1"), f.start("d", "1"), f.start("e", "1")}
				time.Sleep(10 * time.Second)
				epoch := holder.lease.Load().Epoch()
				for _, p := range processes {
					p.store.unavailable.Store(true)
				}
				time.Sleep(outage)
				for _, p := range processes {
					p.store.unavailable.Store(false)
				}
				time.Sleep(5 * time.Second)
				assert.Assert(t, holder.mayAct())
				assert.Equal(t, holder.lease.Load().Epoch(), epoch)
			})
		})
	}
}

// arrivingStore is a store whose answers to reads arrive bit by bit for 1.5 s.
type arrivingStore struct{ store.Store }

// receive waits while an answer arrives.
func receive(ctx context.Context) error {
	for range 15 {
		if !clock.Sleep(ctx, 100*time.Millisecond) {
			return fault.Wrap(context.Cause(ctx), fault.OutcomeUnknown, "read", "store")
		}
		store.Arrived(ctx)
	}
	return nil
}

// List reads a range.
func (s arrivingStore) List(ctx context.Context, r store.Range) (store.Listing, error) {
	listing, err := s.Store.List(ctx, r)
	if err != nil {
		return listing, err
	}
	return listing, receive(ctx)
}

// TestLeaseIsReadOverSlowLink guards against candidates that never take a free lease, because its rows, with a large notice,
// take longer to arrive than the store may be silent.
func TestLeaseIsReadOverSlowLink(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		ctx, stop := context.WithCancel(f.t.Context())
		f.stops = append(f.stops, stop)
		c := New(Config{Store: arrivingStore{f.store}, Instance: "a", ProcessID: "1", Logger: hclog.NewNullLogger()})
		p := &process{}
		f.group.Go(func() error {
			return c.Run(ctx, func(ctx context.Context, l *Lease) error { return f.checkExclusive(ctx, p, l) })
		})
		time.Sleep(5 * time.Second)
		assert.Check(t, p.mayAct())
	})
}

// TestNoticesReachCandidates checks that a notice reaches other candidates with a renewal, that one which starts later does
// not take it for fresh, and that after a takeover it is known to be of a former holder.
func TestNoticesReachCandidates(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		first := f.start("a", "1")
		time.Sleep(time.Second)
		second := f.start("b", "1")
		time.Sleep(time.Second)
		lease := first.lease.Load()
		lease.Announce([]byte("load"))
		time.Sleep(time.Second)
		assert.DeepEqual(t, *second.notice.Load(), Notice{Value: []byte("load"), Holder: lease.Epoch(), Fresh: true})
		third := f.start("c", "1")
		time.Sleep(time.Second)
		assert.DeepEqual(t, *third.notice.Load(), Notice{Value: []byte("load"), Holder: lease.Epoch()})
		first.stop()
		time.Sleep(time.Second)
		for _, p := range []*process{second, third} {
			assert.Assert(t, p.mayAct() || p.notice.Load().Holder > lease.Epoch())
		}
	})
}
