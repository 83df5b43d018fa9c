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

// Ports of an instance. Each instance has an IP address of its own.
const (
	frontPort   = 8521
	readyPort   = 8523
	metricsPort = 7000
)

// storeLinkCount is the number of links from an instance to the store. Its settings name one of them.
const storeLinkCount = 2

// instance is an instance of the service under test: its process and its links to the store.
type instance struct {
	harness *harness
	name    string
	ip      netip.Addr
	store   *faultyStore
	links   [storeLinkCount]*proxy.Link
	// activeLink is the index of the link that the settings name.
	activeLink int

	mu      sync.Mutex
	process *procs.Process
	// retired prevents the instance from being started again.
	retired bool
	// suspendedUntil is the end of the last suspension of the process.
	suspendedUntil time.Time
}

// newInstance creates an instance with its store links and settings file, without starting it.
func (h *harness) newInstance(number int, rng *rand.Rand) (*instance, error) {
	i := &instance{
		harness: h, name: fmt.Sprintf("i%d", number), ip: h.instanceIP(number),
		store: &faultyStore{memory: &h.memory, startTask: h.group.Go, rng: rng},
	}
	address, err := h.serveHandler(platformrows.Handler(i.store))
	if err != nil {
		return nil, err
	}
	for n := range i.links {
		if i.links[n], err = proxy.New(h.ctx, h.group, address); err != nil {
			return nil, err
		}
	}
	return i, i.writeSettings()
}

// serveHandler serves a handler on loopback until the run ends, and returns the address.
func (h *harness) serveHandler(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fault.Wrap(err, fault.Unavailable, "listen", "loopback")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: callTimeout, ErrorLog: h.discardLogger}
	h.group.Go(func() error {
		// Serve always returns an error, here because the server was closed.
		_ = server.Serve(listener)
		return nil
	})
	h.group.Go(func() error {
		<-h.ctx.Done()
		return server.Close()
	})
	return listener.Addr().String(), nil
}

// settingsPath returns the path of the instance's settings file.
func (i *instance) settingsPath() string { return filepath.Join(i.harness.config.Dir, i.name+".toml") }

// logPath returns the path of the instance's log.
func (i *instance) logPath() string { return filepath.Join(i.harness.config.Dir, i.name+".log") }

// clientAddress returns the address for client calls.
func (i *instance) clientAddress() string { return netip.AddrPortFrom(i.ip, frontPort).String() }

// writeSettings writes the settings file.
func (i *instance) writeSettings() error {
	address, err := netip.ParseAddrPort(i.links[i.activeLink].Address())
	if err != nil {
		return fault.Wrap(err, fault.Internal, "write settings", i.name)
	}
	return conf.Write(i.settingsPath(), conf.Settings{
		Instance: ident.Instance(i.name), DataCentre: "dc", Cores: 1, MemoryBytes: machineMemory, Descriptors: machineDescriptors,
		ClientAddr: netip.AddrPortFrom(i.ip, frontPort), ReadyAddr: netip.AddrPortFrom(i.ip, readyPort),
		MetricsAddr: netip.AddrPortFrom(i.ip, metricsPort), StoreAddr: address,
		Bounds: conf.Bounds{
			MaxWorkerLease: maxWorkerLease, MaxStopTime: maxStopTime, GracePeriod: gracePeriod, MaxRevocationDelay: maxRevocationDelay, Retention: retention,
			MaxStartDelay: maxReclaimDelay,
		},
	})
}

// start starts a process of the instance, unless one is running or the instance is retired.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.retired || i.harness.ctx.Err() != nil || i.process != nil && !i.process.Exited() {
		return nil
	}
	p, err := procs.Start(procs.Config{
		Program: i.harness.config.Program,
		Args:    append([]string{"platform", "--log.json", "--settings", i.settingsPath()}, i.harness.config.Features...),
		LogPath: i.logPath(), Group: i.harness.group,
	})
	if err != nil {
		return err
	}
	i.process = p
	i.harness.group.Go(func() error {
		<-p.Done()
		if err := p.Err(); err != nil {
			i.harness.reportViolation("instance %s: %v", i.name, err)
		}
		return nil
	})
	return nil
}

// currentProcess returns the newest process of the instance.
func (i *instance) currentProcess() *procs.Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process
}

// killAndRestart kills the process and starts it again after a time.
func (i *instance) killAndRestart(after time.Duration) error {
	p := i.currentProcess()
	p.Kill()
	<-p.Done()
	clock.Sleep(i.harness.ctx, after)
	return i.start()
}

// stopAndRestart stops the process gracefully and starts it again. It kills a process that takes longer than
// gracePeriod.
func (i *instance) stopAndRestart() error {
	p := i.currentProcess()
	p.Stop()
	select {
	case <-p.Done():
	case <-time.After(gracePeriod):
		if !p.Exited() && !i.recentlySuspended() {
			i.harness.reportTimingViolation("instance %s did not end within %v", i.name, gracePeriod)
		}
		p.Kill()
		<-p.Done()
	}
	return i.start()
}

// suspend suspends the process for a time.
func (i *instance) suspend(duration time.Duration) {
	p := i.currentProcess()
	i.mu.Lock()
	i.suspendedUntil = time.Now().Add(duration)
	i.mu.Unlock()
	p.Pause()
	clock.Sleep(i.harness.ctx, duration)
	p.Resume()
}

// recentlySuspended reports whether the process is suspended or was within the last recoveryTime.
func (i *instance) recentlySuspended() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Since(i.suspendedUntil) < recoveryTime
}

// retire keeps the process from being started again.
func (i *instance) retire() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.retired = true
}

// killPermanently kills the process and prevents a restart.
func (i *instance) killPermanently() {
	i.retire()
	p := i.currentProcess()
	p.Kill()
	<-p.Done()
}

// checkedCall calls the instance and checks that a graceful stop does not abort the call.
func (i *instance) checkedCall(call func(context.Context) (front.Reply, error)) (front.Reply, error) {
	ctx, cancel := context.WithTimeout(i.harness.ctx, callTimeout)
	defer cancel()
	process, sent := i.currentProcess(), time.Now()
	reply, err := call(ctx)
	i.harness.counters.calls.Add(1)
	if err != nil && ctx.Err() == nil && i.cutOffByStop(process, sent, err) {
		i.harness.reportViolation("instance %s: a graceful stop aborted a call after %v: %v", i.name, time.Since(sent), err)
	}
	return reply, err
}

// cutOffByStop reports whether a call failed because its process was stopped gracefully, although the process had time
// to read the call.
func (i *instance) cutOffByStop(p *procs.Process, sent time.Time, err error) bool {
	read := time.Since(sent) > i.harness.config.scaleTimeout(unreadWindow)
	return read && fault.Is(err, fault.OutcomeUnknown) && p.Stopping() && !i.recentlySuspended()
}

// switchStoreLink changes the settings to the other store link, and signals the change with SIGHUP or not.
func (i *instance) switchStoreLink(signal bool) error {
	i.mu.Lock()
	i.activeLink = (i.activeLink + 1) % storeLinkCount
	i.mu.Unlock()
	if err := i.writeSettings(); err != nil {
		return err
	}
	if signal {
		i.currentProcess().Hangup()
	}
	return nil
}

// setLinkFaults sets the faults of all links to the store.
func (i *instance) setLinkFaults(faults proxy.Faults) {
	for _, l := range i.links {
		l.SetFaults(faults)
	}
}

// forEachLink calls visit for all links to the store.
func (i *instance) forEachLink(visit func(*proxy.Link)) {
	for _, l := range i.links {
		visit(l)
	}
}
