package config_test

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// clusterSize is the number of instances in a random script.
const clusterSize = 9

// maxStaleTime is how long an instance may stay ready with an earlier version after a later one was accepted.
const maxStaleTime = 11 * time.Second

// action is one step of a random script. Its fields are exported so that rapid prints them.
type action struct {
	// Kind is one of actionKinds.
	Kind string
	// Node is the instance for actions on one instance.
	Node int
	// Mask selects the instances for actions on several.
	Mask uint16
	// Pause is the time to wait after the action.
	Pause time.Duration
}

// actionKinds are the kinds of actions. Repeated kinds are drawn more often.
var actionKinds = []string{"propose", "propose", "propose", "race", "partition", "joinPartitions", "cutTable", "restoreTable", "setLossRate", "restart", "restartAll", "loseResponse", "loseRequest", "wait", "wait"}

// drawScript draws a random script.
func drawScript(rt *rapid.T) []action {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) action {
		return action{
			Kind:  rapid.SampledFrom(actionKinds).Draw(rt, "kind"),
			Node:  rapid.IntRange(0, clusterSize-1).Draw(rt, "node"),
			Mask:  rapid.Uint16Range(0, 1<<clusterSize-1).Draw(rt, "mask"),
			Pause: rapid.SampledFrom([]time.Duration{0, time.Millisecond, 5 * time.Millisecond, 100 * time.Millisecond, time.Second, 5 * time.Second, 15 * time.Second}).Draw(rt, "pause"),
		}
	}), 5, 40).Draw(rt, "script")
}

// acceptance records that a version was reported as accepted at a time.
type acceptance struct {
	version ident.Version
	at      time.Time
}

// runScript runs a script and returns the failed checks.
func runScript(t *testing.T, script []action) []string {
	c := newCluster(t, clusterSize, 7)
	weight := 0
	for _, a := range script {
		weight++
		c.apply(a, weight)
		for end := time.Now().Add(a.Pause); ; time.Sleep(min(time.Until(end), 500*time.Millisecond)) {
			c.checkInvariants()
			if !time.Now().Before(end) {
				break
			}
		}
	}
	c.heal()
	time.Sleep(maxStaleTime)
	c.checkInvariants()
	if last := c.storedVersion(); last > 0 && c.readyCount(last) != clusterSize {
		c.failf("at the end, only %d instances are ready with version %d", c.readyCount(last), last)
	}
	c.stop()
	return c.failures
}

// apply performs an action. It does not wait for proposals and restarts.
func (c *cluster) apply(a action, weight int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch a.Kind {
	case "propose":
		c.proposeAsync(a.Node, weight)
	case "race":
		c.proposeAsync(a.Node, weight)
		c.proposeAsync((a.Node+1)%clusterSize, weight+500)
	case "partition":
		for i := range c.partitions {
			c.partitions[i] = int(a.Mask >> i & 1)
		}
	case "joinPartitions":
		clear(c.partitions)
	case "cutTable":
		for i := range c.tableCut {
			c.tableCut[i] = a.Mask>>i&1 == 1
		}
	case "restoreTable":
		clear(c.tableCut)
	case "setLossRate":
		c.lossRate = float64(a.Mask%4) / 4
	case "loseResponse", "loseRequest":
		c.injectError = failNthApply(1, a.Kind == "loseResponse", fault.OutcomeUnknown)
	case "restart":
		c.restartAsync(a.Node)
	case "restartAll":
		for i := range c.nodes {
			c.restartAsync(i)
		}
	}
}

// proposeAsync proposes a document at instance i in the background.
func (c *cluster) proposeAsync(i, weight int) {
	c.group.Go(func() error {
		v, err := c.propose(i, weight)
		if err != nil && fault.KindOf(err) == fault.Internal {
			c.failf("proposal at instance %d: %v", i, err)
		}
		if err == nil {
			c.recordAccepted(v.Version)
		}
		return nil
	})
}

// restartAsync restarts instance i in the background.
func (c *cluster) restartAsync(i int) {
	c.group.Go(func() error {
		c.restart(i)
		return nil
	})
}

// heal removes all simulated faults.
func (c *cluster) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.partitions)
	clear(c.tableCut)
	c.lossRate = 0
	c.injectError = nil
}

// recordAccepted records that a version was reported as accepted. If the outcome of a proposal was reported as unknown,
// its version may have been written, but instances may stay ready with an earlier version until it reaches them.
func (c *cluster) recordAccepted(v ident.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v > c.lastAccepted.version {
		c.lastAccepted = acceptance{version: v, at: time.Now()}
	}
}

// checkInvariants checks that no instance is ready with a lower version than before, or with an earlier version than
// the accepted one for longer than maxStaleTime.
func (c *cluster) checkInvariants() {
	synctest.Wait()
	c.checkReady()
	c.mu.Lock()
	latest := c.lastAccepted
	c.mu.Unlock()
	if time.Since(latest.at) <= maxStaleTime {
		return
	}
	for i, n := range c.currentNodes() {
		if v := n.agent.Current().Version; n.agent.Ready() == nil && v < latest.version {
			c.failf("instance %d is ready with version %d, %v after version %d was accepted", i, v, time.Since(latest.at), latest.version)
		}
	}
}

// Random network partitions, lost messages, table faults and restarts must never make an instance ready with an
// outdated version.
func TestRandomFaultsNeverRevert(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.checks": "60"} {
		setFlag(t, name, value)
	}
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(rt)
		var failures []string
		synctest.Test(t, func(t *testing.T) { failures = runScript(t, script) })
		if len(failures) > 0 {
			rt.Fatalf("%v", failures)
		}
	})
}

// setFlag sets a flag for the duration of a test, unless it was set on the command line.
func setFlag(t *testing.T, name, value string) {
	explicit := false
	flag.Visit(func(f *flag.Flag) { explicit = explicit || f.Name == name })
	if explicit {
		return
	}
	old := flag.Lookup(name).Value.String()
	assert.NilError(t, flag.Set(name, value))
	t.Cleanup(func() { assert.NilError(t, flag.Set(name, old)) })
}
