package play

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"github.com/sardineline/sardineline/platform/conf"
	"github.com/sardineline/sardineline/platform/front"
	platformrows "github.com/sardineline/sardineline/platform/rows"
	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sardsoak/procs"
	"github.com/sardineline/sardineline/sardsoak/proxy"
)

// The ports of an instance, each on an IP number of its own.
const (
	frontPort   = 8521
	readyPort   = 8523
	metricsPort = 7000
)

// storeLinks is how many ways lead an instance to the store; its settings name one of them.
const storeLinks = 2

// instance is an entry instance: its way to the store and its process.
type instance struct {
	world *world
	name  string
	ip    netip.Addr
	rows  *rows
	links [storeLinks]*proxy.Link
	// link is the one that the settings name.
	link int

	mu      sync.Mutex
	process *procs.Process
	// retired tells that the instance is not to be started again.
	retired bool
	// pausedUntil is when the last suspension of the process ended.
	pausedUntil time.Time
}

func (w *world) newInstance(number int, draw *rand.Rand) (*instance, error) {
	i := &instance{
		world: w, name: fmt.Sprintf("i%d", number), ip: w.address(number),
		rows: &rows{memory: &w.memory, group: w.group.Go, draw: draw},
	}
	address, err := w.serve(platformrows.Handler(i.rows))
	if err != nil {
		return nil, err
	}
	for n := range i.links {
		if i.links[n], err = proxy.New(w.ctx, w.group, address); err != nil {
			return nil, err
		}
	}
	return i, i.write()
}

// serve serves a handler on loopback until the run ends, and returns its address.
func (w *world) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fault.Wrap(err, fault.Unavailable, "listen", "loopback")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: callTime, ErrorLog: w.discard}
	w.group.Go(func() error {
		// Serve always fails in the end, here since the server was closed.
		_ = server.Serve(listener)
		return nil
	})
	w.group.Go(func() error {
		<-w.ctx.Done()
		return server.Close()
	})
	return listener.Addr().String(), nil
}

func (i *instance) settingsPath() string { return filepath.Join(i.world.config.Dir, i.name+".toml") }
func (i *instance) logPath() string      { return filepath.Join(i.world.config.Dir, i.name+".log") }
func (i *instance) front() string        { return netip.AddrPortFrom(i.ip, frontPort).String() }

// write writes the settings file.
func (i *instance) write() error {
	address, err := netip.ParseAddrPort(i.links[i.link].Address())
	if err != nil {
		return fault.Wrap(err, fault.Internal, "write settings", i.name)
	}
	return conf.Write(i.settingsPath(), conf.Settings{
		Instance: ident.Instance(i.name), DataCentre: "dc", Cores: 1, MemoryBytes: 284 << 20,
		ClientAddr: netip.AddrPortFrom(i.ip, frontPort), ReadyAddr: netip.AddrPortFrom(i.ip, readyPort),
		MetricsAddr: netip.AddrPortFrom(i.ip, metricsPort), StoreAddr: address,
		Bounds: conf.Bounds{
			MaxWorkerLease: workerLeaseMax, MaxStopTime: stopTime, GracePeriod: grace, MaxRevocationDelay: revocation, Retention: retention,
		},
	})
}

// start starts the process unless one runs.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.retired || i.world.ctx.Err() != nil || i.process != nil && !i.process.Exited() {
		return nil
	}
	p, err := procs.Start(procs.Config{
		Program: i.world.config.Program, Args: []string{"platform", "--log.json", "--settings", i.settingsPath()},
		LogPath: i.logPath(), Group: i.world.group,
	})
	if err != nil {
		return err
	}
	i.process = p
	i.world.group.Go(func() error {
		<-p.Done()
		if err := p.Err(); err != nil {
			i.world.breached("instance %s: %v", i.name, err)
		}
		return nil
	})
	return nil
}

// current returns the newest process.
func (i *instance) current() *procs.Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process
}

// kill ends the process by force; it is started again after a while.
func (i *instance) kill(after time.Duration) error {
	p := i.current()
	p.Kill()
	<-p.Done()
	clock.Sleep(i.world.ctx, after)
	return i.start()
}

// stop ends the process by plan, by force when it takes too long, and starts it again.
func (i *instance) stop() error {
	p := i.current()
	p.Stop()
	select {
	case <-p.Done():
	case <-time.After(grace):
		if !p.Exited() {
			i.world.timed("instance %s did not end within %v", i.name, grace)
		}
		p.Kill()
		<-p.Done()
	}
	return i.start()
}

// pause suspends the process for a while.
func (i *instance) pause(span time.Duration) {
	p := i.current()
	i.mu.Lock()
	i.pausedUntil = time.Now().Add(span)
	i.mu.Unlock()
	p.Pause()
	clock.Sleep(i.world.ctx, span)
	p.Resume()
}

// wasPaused tells whether the process was suspended lately.
func (i *instance) wasPaused() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Since(i.pausedUntil) < stableTime
}

// retire keeps the process from being started again.
func (i *instance) retire() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.retired = true
}

// leave ends the process by force, for good.
func (i *instance) leave() {
	i.retire()
	p := i.current()
	p.Kill()
	<-p.Done()
}

// observe makes a call at the instance and checks that a planned stop does not cut it off.
func (i *instance) observe(call func(context.Context) (front.Reply, error)) (front.Reply, error) {
	ctx, cancel := context.WithTimeout(i.world.ctx, callTime)
	defer cancel()
	process, sent := i.current(), time.Now()
	reply, err := call(ctx)
	i.world.tally.calls.Add(1)
	if err != nil && ctx.Err() == nil && i.cutOff(process, sent, err) {
		i.world.breached("instance %s: a planned stop cut a call off after %v: %v", i.name, time.Since(sent), err)
	}
	return reply, err
}

// cutOff tells whether a call failed because its process was stopped by plan, though the process had time to read it.
func (i *instance) cutOff(p *procs.Process, sent time.Time, err error) bool {
	read := time.Since(sent) > i.world.config.stretch(lossSlack)
	return read && fault.Is(err, fault.OutcomeUnknown) && p.Stopping() && !i.wasPaused()
}

// reload has the settings name the other link, with or without a signal.
func (i *instance) reload(signal bool) error {
	i.mu.Lock()
	i.link = (i.link + 1) % storeLinks
	i.mu.Unlock()
	if err := i.write(); err != nil {
		return err
	}
	if signal {
		i.current().Hangup()
	}
	return nil
}

// disturb sets what the links to the store do.
func (i *instance) disturb(t proxy.Faults) {
	for _, l := range i.links {
		l.SetFaults(t)
	}
}

func (i *instance) each(visit func(*proxy.Link)) {
	for _, l := range i.links {
		visit(l)
	}
}
