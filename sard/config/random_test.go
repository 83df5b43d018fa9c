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

const randomInstances = 9

// staleBound is how long a ready instance may run an earlier version than the accepted one.
const staleBound = 11 * time.Second

// act is one step of a random script. What it does is told by its kind; Node and Mask choose the instances.
type act struct {
	Kind string
	Node int
	Mask uint16
	// Pause follows the act.
	Pause time.Duration
}

var actKinds = []string{"propose", "propose", "propose", "race", "divide", "join", "cut", "restore", "loss", "restart", "restartAll", "lostAnswer", "lostWrite", "wait", "wait"}

func drawScript(rt *rapid.T) []act {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) act {
		return act{
			Kind:  rapid.SampledFrom(actKinds).Draw(rt, "kind"),
			Node:  rapid.IntRange(0, randomInstances-1).Draw(rt, "node"),
			Mask:  rapid.Uint16Range(0, 1<<randomInstances-1).Draw(rt, "mask"),
			Pause: rapid.SampledFrom([]time.Duration{0, time.Millisecond, 5 * time.Millisecond, 100 * time.Millisecond, time.Second, 5 * time.Second, 15 * time.Second}).Draw(rt, "pause"),
		}
	}), 5, 40).Draw(rt, "script")
}

// history is the latest version whose acceptance was told, and when.
type history struct {
	version ident.Version
	told    time.Time
}

// play runs a script and returns the failures.
func play(t *testing.T, script []act) []string {
	m := newMesh(t, randomInstances, 7)
	weight := 0
	for _, a := range script {
		weight++
		m.do(a, weight)
		for end := time.Now().Add(a.Pause); ; time.Sleep(min(time.Until(end), 500*time.Millisecond)) {
			m.check()
			if !time.Now().Before(end) {
				break
			}
		}
	}
	m.heal()
	time.Sleep(staleBound)
	m.check()
	if last := m.stored(); last > 0 && m.settled(last) != randomInstances {
		m.fail("at the end %d instances run version %d", m.settled(last), last)
	}
	m.stop()
	return m.errs
}

func (m *mesh) do(a act, weight int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch a.Kind {
	case "propose":
		m.proposeLater(a.Node, weight)
	case "race":
		m.proposeLater(a.Node, weight)
		m.proposeLater((a.Node+1)%randomInstances, weight+500)
	case "divide":
		for i := range m.side {
			m.side[i] = int(a.Mask >> i & 1)
		}
	case "join":
		clear(m.side)
	case "cut":
		for i := range m.cut {
			m.cut[i] = a.Mask>>i&1 == 1
		}
	case "restore":
		clear(m.cut)
	case "loss":
		m.loss = float64(a.Mask%4) / 4
	case "lostAnswer", "lostWrite":
		m.failure = applies(1, a.Kind == "lostAnswer", fault.OutcomeUnknown)
	case "restart":
		m.restartLater(a.Node)
	case "restartAll":
		for i := range m.nodes {
			m.restartLater(i)
		}
	}
}

// proposeLater has an instance propose while the script goes on.
func (m *mesh) proposeLater(i, weight int) {
	m.group.Go(func() error {
		v, err := m.propose(i, weight)
		if err != nil && fault.KindOf(err) == fault.Internal {
			m.fail("proposal at %d: %v", i, err)
		}
		if err == nil {
			m.tell(v.Version)
		}
		return nil
	})
}

func (m *mesh) restartLater(i int) {
	m.group.Go(func() error {
		m.restart(i)
		return nil
	})
}

func (m *mesh) heal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.side)
	clear(m.cut)
	m.loss = 0
	m.failure = nil
}

// tell notes that a version was told as accepted. A version that is written but whose acceptance is told as
// unknown binds nobody before it has reached everyone.
func (m *mesh) tell(v ident.Version) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v > m.told.version {
		m.told = history{version: v, told: time.Now()}
	}
}

// check holds all instances to the promise.
func (m *mesh) check() {
	synctest.Wait()
	m.checkReady()
	m.mu.Lock()
	h := m.told
	m.mu.Unlock()
	if time.Since(h.told) <= staleBound {
		return
	}
	for i, n := range m.all() {
		if v := n.agent.Current().Version; n.agent.Ready() == nil && v < h.version {
			m.fail("instance %d is ready under version %d, %v after version %d was accepted", i, v, time.Since(h.told), h.version)
		}
	}
}

func TestRandomFaultsNeverRevert(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.checks": "60"} {
		setFlag(t, name, value)
	}
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(rt)
		var failures []string
		synctest.Test(t, func(t *testing.T) { failures = play(t, script) })
		if len(failures) > 0 {
			rt.Fatalf("%v", failures)
		}
	})
}

// setFlag sets a flag for the run of a test, unless the command line gave it.
func setFlag(t *testing.T, name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if given {
		return
	}
	old := flag.Lookup(name).Value.String()
	assert.NilError(t, flag.Set(name, value))
	t.Cleanup(func() { assert.NilError(t, flag.Set(name, old)) })
}
