package play

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sardsoak/crowd"
)

// Sizes of the crowds of clients that don't behave.
const (
	minCrowd = 50
	maxCrowd = 400
	// maxCrowds is how many crowds come at once at most.
	maxCrowds = 3
)

// The machine of an instance.
const (
	machineMemory      = 284 << 20
	machineDescriptors = 4100
)

// playCrowd sends a random crowd to a random instance for a time.
func playCrowd(h *harness, rng *rand.Rand, duration time.Duration) error {
	i := h.randomInstance(rng)
	c := h.randomCrowd(i, rng)
	running := c.Start()
	clock.Sleep(h.ctx, duration)
	running.Leave()
	return nil
}

// playCrowds sends several random crowds to one instance at once.
func playCrowds(h *harness, rng *rand.Rand, duration time.Duration) error {
	i := h.randomInstance(rng)
	var running []*crowd.Running
	for range 2 + rng.IntN(maxCrowds-1) {
		c := h.randomCrowd(i, rng)
		running = append(running, c.Start())
	}
	clock.Sleep(h.ctx, duration)
	for _, r := range running {
		r.Leave()
	}
	return nil
}

// stopBesideCrowd stops an instance as planned while a crowd is there, which comes back again and again.
func stopBesideCrowd(h *harness, rng *rand.Rand, duration time.Duration) error {
	i := h.randomInstance(rng)
	c := h.randomCrowd(i, rng)
	c.Reconnects = true
	running := c.Start()
	defer running.Leave()
	clock.Sleep(h.ctx, duration/2)
	return i.stopAndRestart()
}

// randomCrowd returns a random crowd for an instance.
func (h *harness) randomCrowd(i *instance, rng *rand.Rand) crowd.Rough {
	target := crowd.Target{Host: host, Prefix: queuePrefix(0), Token: h.operator.oldestKey(0), MaxBody: maxBodyBytes}
	kinds := slices.Concat(target.UnfinishedBodies(), target.Connections(), target.UnreadResponses())
	c := kinds[rng.IntN(len(kinds))]
	c.Address, c.Clients = i.clientAddress(), minCrowd+rng.IntN(maxCrowd-minCrowd)
	h.config.Logger.Info("crowd comes", "instance", i.name, "crowd", c.Name, "clients", c.Clients)
	return c
}

// usageInterval is the time between two checks of what the instances hold.
const usageInterval = 100 * time.Millisecond

// watchUsage checks that no instance holds more memory or descriptors than its machine has, until the run ends.
func (h *harness) watchUsage() error {
	for clock.Sleep(h.ctx, usageInterval) {
		for _, i := range h.currentInstances() {
			i.checkUsage()
		}
	}
	return nil
}

// checkUsage checks that the instance's process holds no more than its machine has. A process that has just ended is left out.
func (i *instance) checkUsage() {
	p := i.currentProcess()
	if p == nil || p.Exited() {
		return
	}
	usage, err := crowd.ReadUsage(p.PID(), netip.AddrPortFrom(i.ip, frontPort))
	if err != nil || p.Exited() {
		return
	}
	i.harness.counters.noteUsage(usage)
	if usage.MemoryBytes() > machineMemory || usage.Descriptors >= machineDescriptors {
		i.harness.reportViolation("instance %s holds more than its machine has: %v", i.name, usage)
	}
}
