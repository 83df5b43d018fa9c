package play

import (
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sardsoak/proxy"
)

const (
	// slowFactor is by how much slow workers take longer.
	slowFactor = 5
	// slowStore is how much longer the store takes to answer while an instance is stopped.
	slowStore = 500 * time.Millisecond
)

// trouble is a kind of disturbance.
type trouble struct {
	name string
	// weight is how often it is drawn, compared with the others.
	weight int
	// harmless troubles suspend no promise.
	harmless bool
	// play disturbs for a span, and returns once the trouble is over.
	play func(w *world, draw *rand.Rand, span time.Duration) error
}

// troubles are all kinds of disturbance.
var troubles = []trouble{
	{"kill", 4, false, func(w *world, draw *rand.Rand, span time.Duration) error { return w.some(draw).kill(span) }},
	{"kill the leader", 4, false, func(w *world, _ *rand.Rand, span time.Duration) error { return w.leader().kill(span) }},
	{"kill all", 1, false, func(w *world, _ *rand.Rand, span time.Duration) error {
		return w.each(func(i *instance) error { return i.kill(span / 4) })
	}},
	{"replace", 2, false, replace},
	{"stop", 3, true, func(w *world, draw *rand.Rand, _ time.Duration) error { return w.some(draw).stop() }},
	{"stop while the store is slow", 2, false, stopWhileSlow},
	{"stop the leader", 2, false, func(w *world, _ *rand.Rand, _ time.Duration) error { return w.leader().stop() }},
	{"stop in turn", 1, false, stopInTurn},
	{"pause", 3, false, func(w *world, draw *rand.Rand, span time.Duration) error { w.some(draw).pause(span); return nil }},
	{"pause the leader", 3, false, func(w *world, _ *rand.Rand, span time.Duration) error { w.leader().pause(span); return nil }},
	{"pause all", 1, false, func(w *world, _ *rand.Rand, span time.Duration) error {
		return w.each(func(i *instance) error { i.pause(span); return nil })
	}},
	{"hangup", 2, true, func(w *world, draw *rand.Rand, _ time.Duration) error { return w.some(draw).reload(true) }},
	{"output not read", 2, true, func(w *world, draw *rand.Rand, span time.Duration) error {
		w.some(draw).current().BlockOutput(2 * span)
		return nil
	}},
	{"settings change", 1, true, func(w *world, draw *rand.Rand, _ time.Duration) error { return w.some(draw).reload(false) }},

	{"store link silent", 3, false, storeLink(proxy.Faults{HoldUpstream: true, HoldDownstream: true})},
	{"store link silent one way", 2, false, storeLink(proxy.Faults{HoldDownstream: true})},
	{"store link refuses", 2, false, storeLink(proxy.Faults{Refuse: true})},
	{"store link slow", 2, false, storeLink(proxy.Faults{Delay: 150 * time.Millisecond})},
	{"store connections reset", 2, false, storeConnections((*proxy.Link).ResetConns)},
	{"store connections mute", 2, false, storeConnections((*proxy.Link).BlackholeConns)},
	{"leader's store link silent", 3, false, func(w *world, _ *rand.Rand, span time.Duration) error {
		return w.leader().cut(proxy.Faults{HoldUpstream: true, HoldDownstream: true}, span)
	}},

	{"store busy", 2, false, storeTroubles(storeTrouble{Busy: true})},
	{"store throttles", 2, false, storeTroubles(storeTrouble{Throttled: 0.5})},
	{"store loses answers", 3, false, storeTroubles(storeTrouble{Lost: 0.3})},
	{"store writes late", 3, false, storeTroubles(storeTrouble{Late: 0.3})},
	{"store slow", 2, false, storeTroubles(storeTrouble{Slow: 200 * time.Millisecond})},
	{"store turns some away", 3, false, someTurnedAway},
	{"store forgets history", 2, true, func(w *world, _ *rand.Rand, _ time.Duration) error { w.memory.Compact(); return nil }},
	{"unreadable entries", 1, true, unreadableEntries},

	{"worker links silent", 3, false, workerLinks(proxy.Faults{HoldUpstream: true, HoldDownstream: true})},
	{"worker links silent one way", 3, false, workerLinks(proxy.Faults{HoldDownstream: true})},
	{"worker links slow", 1, false, workerLinks(proxy.Faults{Delay: 100 * time.Millisecond})},
	{"worker connections reset", 2, false, workerConnections((*proxy.Link).ResetConns)},
	{"worker connections mute", 2, false, workerConnections((*proxy.Link).BlackholeConns)},

	{"workers start again", 2, false, workersStartAgain},
	{"workers lost", 2, false, workersLost},
	{"workers leave", 2, true, workersLeave},
	{"workers fail all", 2, false, workerFaults(func(f *fakes.Worker, on bool) { f.Failing = on })},
	{"workers stall", 2, false, workerFaults(func(f *fakes.Worker, on bool) { f.Stalled = on })},
	{"workers slow", 2, false, workerFaults(func(f *fakes.Worker, on bool) {
		f.Slowdown = 0
		if on {
			f.Slowdown = slowFactor
		}
	})},
	{"workers silent", 1, false, workersSilent},

	{"burst", 2, true, burst},
}

// some returns an instance.
func (w *world) some(draw *rand.Rand) *instance {
	all := w.all()
	return all[draw.IntN(len(all))]
}

// each calls visit for all instances at once.
func (w *world) each(visit func(*instance) error) error {
	var group errgroup.Group
	for _, i := range w.all() {
		group.Go(func() error { return visit(i) })
	}
	return group.Wait()
}

// replace takes an instance away for good; another one comes.
func replace(w *world, draw *rand.Rand, span time.Duration) error {
	old := w.some(draw)
	w.mu.Lock()
	for n, i := range w.instances {
		if i == old && len(w.instances) > 1 {
			w.instances = append(w.instances[:n:n], w.instances[n+1:]...)
			break
		}
	}
	w.mu.Unlock()
	old.leave()
	clock.Sleep(w.ctx, span)
	return w.addInstance(draw)
}

// stopWhileSlow stops an instance by plan while its calls take long, so that some are under way at each moment.
func stopWhileSlow(w *world, draw *rand.Rand, _ time.Duration) error {
	i := w.some(draw)
	i.rows.set(storeTrouble{Slow: slowStore})
	clock.Sleep(w.ctx, slowStore)
	err := i.stop()
	i.rows.set(storeTrouble{})
	return err
}

func stopInTurn(w *world, _ *rand.Rand, span time.Duration) error {
	var group errgroup.Group
	for _, i := range w.all() {
		group.Go(i.stop)
		clock.Sleep(w.ctx, span/2)
	}
	return group.Wait()
}

// cut disturbs an instance's links to the store for a span.
func (i *instance) cut(t proxy.Faults, span time.Duration) error {
	i.disturb(t)
	clock.Sleep(i.world.ctx, span)
	i.disturb(proxy.Faults{})
	return nil
}

func storeLink(t proxy.Faults) func(*world, *rand.Rand, time.Duration) error {
	return func(w *world, draw *rand.Rand, span time.Duration) error { return w.some(draw).cut(t, span) }
}

func storeConnections(disturb func(*proxy.Link)) func(*world, *rand.Rand, time.Duration) error {
	return func(w *world, _ *rand.Rand, _ time.Duration) error {
		for _, i := range w.all() {
			i.each(disturb)
		}
		return nil
	}
}

// storeTroubles disturbs the store for all instances.
func storeTroubles(t storeTrouble) func(*world, *rand.Rand, time.Duration) error {
	return func(w *world, _ *rand.Rand, span time.Duration) error {
		w.disturbStore(w.all(), t, span)
		return nil
	}
}

// disturbStore disturbs the store for some instances.
func (w *world) disturbStore(some []*instance, t storeTrouble, span time.Duration) {
	for _, i := range some {
		i.rows.set(t)
	}
	clock.Sleep(w.ctx, span)
	for _, i := range some {
		i.rows.set(storeTrouble{})
	}
}

func someTurnedAway(w *world, draw *rand.Rand, span time.Duration) error {
	var away []*instance
	for _, i := range w.all() {
		if draw.IntN(2) == 0 {
			away = append(away, i)
		}
	}
	w.disturbStore(away, storeTrouble{Busy: true}, span)
	return nil
}

// unreadableEntries writes rows into the workers' table that name no worker.
func unreadableEntries(w *world, draw *rand.Rand, _ time.Duration) error {
	for n, text := range []string{"{", `{"service":7}`, `{"service":"pool","address":"nowhere","state":"ready"}`, "\xff"} {
		key := w.workers()[0].key()
		key.Name = fmt.Sprintf("stranger-%d-%d", draw.IntN(100), n)
		w.write(store.Tx{Put: []store.Put{{Key: key, Value: []byte(text)}}})
	}
	return nil
}

// part returns a quarter of the workers.
func (w *world) part(draw *rand.Rand) []*member {
	all := w.workers()
	draw.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	return all[:max(1, len(all)/4)]
}

func workerLinks(t proxy.Faults) func(*world, *rand.Rand, time.Duration) error {
	return func(w *world, draw *rand.Rand, span time.Duration) error {
		part := w.part(draw)
		for _, m := range part {
			m.link.SetFaults(t)
		}
		clock.Sleep(w.ctx, span)
		for _, m := range part {
			m.heal()
		}
		return nil
	}
}

// heal ends what disturbs the link, unless the worker is gone.
func (m *member) heal() {
	gone := false
	m.world.fleet.Update(func() { gone = m.gone })
	if !gone {
		m.link.SetFaults(proxy.Faults{})
	}
}

func workerConnections(disturb func(*proxy.Link)) func(*world, *rand.Rand, time.Duration) error {
	return func(w *world, draw *rand.Rand, _ time.Duration) error {
		for _, m := range w.part(draw) {
			disturb(m.link)
		}
		return nil
	}
}

func workersStartAgain(w *world, draw *rand.Rand, _ time.Duration) error {
	for _, m := range w.part(draw) {
		w.fleet.Update(m.worker.Crash)
		m.link.ResetConns()
	}
	return nil
}

func workersLost(w *world, draw *rand.Rand, _ time.Duration) error {
	m := w.part(draw)[0]
	m.remove()
	w.dropMember(m)
	return w.addMember(draw)
}

func workersLeave(w *world, draw *rand.Rand, _ time.Duration) error {
	return w.exchange(w.part(draw)[0], draw)
}

// exchange has a worker leave by plan, and another one come.
func (w *world) exchange(m *member, draw *rand.Rand) error {
	w.dropMember(m)
	m.leave()
	return w.addMember(draw)
}

func workerFaults(set func(f *fakes.Worker, on bool)) func(*world, *rand.Rand, time.Duration) error {
	return func(w *world, draw *rand.Rand, span time.Duration) error {
		part := w.part(draw)
		for _, m := range part {
			w.fleet.Update(func() { set(m.worker, true) })
		}
		clock.Sleep(w.ctx, span)
		for _, m := range part {
			w.fleet.Update(func() {
				set(m.worker, false)
				m.worker.ClearFaults()
			})
		}
		return nil
	}
}

// workersSilent stops the heartbeats of workers that go on working; their entries expire.
func workersSilent(w *world, draw *rand.Rand, span time.Duration) error {
	part := w.part(draw)
	for _, m := range part {
		w.fleet.Update(func() { m.silent = true })
	}
	clock.Sleep(w.ctx, max(span, (expiryPeriods+1)*heartbeatPeriod))
	for _, m := range part {
		w.fleet.Update(func() { m.silent = false })
	}
	return nil
}

// burst hands many jobs in at once.
func burst(w *world, draw *rand.Rand, _ time.Duration) error {
	for range 5 + draw.IntN(10) {
		w.submitOne(draw)
	}
	return nil
}
