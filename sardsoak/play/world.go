package play

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/platform/conf"
	"github.com/sardineline/sardineline/platform/front"
	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/policy"
	"github.com/sardineline/sardineline/sard/store"
)

// world is all that is played: store, workers, instances, clients and the operator.
type world struct {
	config   Config
	ctx      context.Context
	group    *errgroup.Group
	memory   store.Memory
	fleet    *fakes.Fleet
	calendar *calendar
	client   *front.Client
	operator *operator
	tally    tally
	// clients are those that wait for their jobs; late tells them that the time is over.
	clients sync.WaitGroup
	late    atomic.Bool
	discard *log.Logger

	mu        sync.Mutex
	instances []*instance
	// started are all instances that ever were.
	started []*instance
	members []*member
	// named and numbered count the instances and workers that ever were.
	named, numbered int
	breaches        []string
}

// open builds the world and starts its instances. When it fails, what was started is in the world that it returns.
func open(ctx context.Context, group *errgroup.Group, config Config, draw *rand.Rand) (*world, error) {
	w := &world{
		config: config, ctx: ctx, group: group, calendar: newCalendar(), client: front.NewClient(),
		discard: log.New(io.Discard, "", 0),
	}
	w.fleet = fakes.NewFleet(w.calm)
	w.operator = newOperator(w)
	if err := w.operator.publish(); err != nil {
		return w, err
	}
	for range config.Workers {
		if err := w.addMember(draw); err != nil {
			return w, err
		}
	}
	for range config.Instances {
		if err := w.addInstance(draw); err != nil {
			return w, err
		}
	}
	return w, nil
}

// calm tells whether promises that name a time hold for a span until now.
func (w *world) calm(span time.Duration) bool {
	return w.config.CheckTiming && w.calendar.calm(span)
}

// fork makes a source of random numbers for something that draws on its own.
func fork(draw *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(draw.Uint64(), draw.Uint64()))
}

func (w *world) addMember(draw *rand.Rand) error {
	w.mu.Lock()
	number := w.numbered
	w.numbered++
	w.mu.Unlock()
	m, err := w.newMember(number, draw)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.members = append(w.members, m)
	return nil
}

// dropMember forgets a worker that is gone.
func (w *world) dropMember(m *member) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, other := range w.members {
		if other == m {
			w.members = append(w.members[:i:i], w.members[i+1:]...)
			return
		}
	}
}

func (w *world) addInstance(draw *rand.Rand) error {
	w.mu.Lock()
	number := w.named
	w.named++
	w.mu.Unlock()
	i, err := w.newInstance(number, fork(draw))
	if err != nil {
		return err
	}
	// The process is ended with the run, so its instance is known first.
	w.mu.Lock()
	w.started = append(w.started, i)
	w.mu.Unlock()
	if err := i.start(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.instances = append(w.instances, i)
	return nil
}

// all returns the instances.
func (w *world) all() []*instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*instance(nil), w.instances...)
}

// everyInstance returns all instances that ever were.
func (w *world) everyInstance() []*instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*instance(nil), w.started...)
}

// workers returns the members of the pool.
func (w *world) workers() []*member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*member(nil), w.members...)
}

// leader returns the instance that last wrote the lease.
func (w *world) leader() *instance {
	var leader *instance
	var last time.Time
	for _, i := range w.all() {
		if at := i.rows.led(); leader == nil || at.After(last) {
			leader, last = i, at
		}
	}
	return leader
}

// address returns the IP number of an instance; runs at the same time have different ones.
func (w *world) address(number int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(10 + pid%200), byte(pid / 200 % 250), byte(1 + number)})
}

// write changes the store as the platform does, past all troubles.
func (w *world) write(tx store.Tx) {
	if _, err := w.memory.Apply(w.ctx, tx); err != nil {
		w.breached("the platform could not write: %v", err)
	}
}

// breached notes a broken promise.
func (w *world) breached(format string, args ...any) {
	text := time.Now().Format("15:04:05.000 ") + fmt.Sprintf(format, args...)
	w.config.Logger.Error("promise broken", "what", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaches = append(w.breaches, text)
}

// timed notes a broken promise that names a time, where such promises are checked.
func (w *world) timed(format string, args ...any) {
	if w.config.CheckTiming {
		w.breached(format, args...)
	}
}

// broken returns all promises that were broken.
func (w *world) broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append(w.fleet.Violations(), w.breaches...)
}

// publishPolicy puts a configuration in force.
func (w *world) publishPolicy(p *policy.Policy) error {
	value, err := conf.EncodePolicy(p)
	if err != nil {
		return err
	}
	w.write(store.Tx{Put: []store.Put{{Key: conf.PolicyKey, Value: value}}})
	return nil
}

// accountName names the accounts that are played.
func accountName(n int) ident.Account {
	return ident.Account(fmt.Sprintf("account-%d", n))
}
