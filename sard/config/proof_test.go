package config_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
)

func TestProveNeedsAllInstances(t *testing.T) {
	in := func(version ident.Version, breaches uint64, first bool, d time.Duration) config.Report {
		return config.Report{Instance: "b", Version: version, Breaches: breaches, First: first, InForceFor: ident.Duration(d)}
	}
	tests := []struct {
		name   string
		survey config.Survey
		want   time.Duration
		flaw   string
	}{
		{"all", config.Survey{Reports: []config.Report{in(1, 0, false, 50*time.Second)}}, 50 * time.Second, ""},
		{"a replaced instance", config.Survey{Reports: []config.Report{in(1, 0, true, time.Second)}}, time.Minute, ""},
		{"a missing instance", config.Survey{Missing: []ident.Instance{"c"}}, 0, "instance c does not answer"},
		{"an earlier version", config.Survey{Reports: []config.Report{in(0, 0, false, 0)}}, 0, "runs version 0, not 1"},
		{"a broken promise", config.Survey{Reports: []config.Report{in(1, 2, false, time.Hour)}}, 0, "instance b saw 2 broken promises"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := config.New(config.Config{
					Store:  &table.Memory{},
					Survey: func(context.Context) (config.Survey, error) { return tt.survey, nil },
				})
				_, err := a.Propose(t.Context(), proposal(1, 0, "t"))
				assert.NilError(t, err)
				time.Sleep(time.Minute)
				proof, err := a.Prove(t.Context(), "ana")
				if tt.flaw != "" {
					assert.ErrorContains(t, err, tt.flaw)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, proof.ProvenFor.Std(), tt.want)
			})
		})
	}
}

func TestBrokenPromiseOutlivesItsInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &table.Memory{}
		breaches := uint64(0)
		a := config.New(config.Config{Instance: "a", Store: store, Violations: func() uint64 { return breaches }})
		_, err := a.Propose(t.Context(), proposal(1, 0, "t"))
		assert.NilError(t, err)
		breaches = 1
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return a.Run(ctx) })
		synctest.Wait()
		cancel()
		assert.NilError(t, group.Wait())
		b := config.New(config.Config{Instance: "b", Store: store})
		_, err = b.Propose(t.Context(), proposal(1, 0, "t"))
		assert.NilError(t, err)
		_, err = b.Prove(t.Context(), "ana")
		assert.ErrorContains(t, err, "instance a noted 1 broken promises")
	})
}

func TestVerifyRefusesOtherProofs(t *testing.T) {
	good := config.Proof{Digest: "d", Instances: 1, ProvenFor: ident.Duration(time.Minute)}
	tests := []struct {
		name   string
		change func(*config.Proof)
		key    string
		want   string
	}{
		{"good", func(*config.Proof) {}, "", ""},
		{"other document", func(p *config.Proof) { p.Digest = "e" }, "", "the proof is of digest e"},
		{"too short", func(p *config.Proof) { p.ProvenFor-- }, "", "is needed"},
		{"no instance", func(p *config.Proof) { p.Instances = 0 }, "", "names no instances"},
		{"unsigned", func(*config.Proof) {}, "key", "signature"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := good
			tt.change(&p)
			err := p.Verify("d", ident.Duration(time.Minute), []byte(tt.key))
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, fault.Is(err, fault.Denied))
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

func TestTableThatGoesBackIsABreach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full, empty := &table.Memory{}, &table.Memory{}
		var broken []string
		store := &switched{Store: full}
		a := config.New(config.Config{Store: store, OnViolation: func(promise, _ string) { broken = append(broken, promise) }})
		_, err := a.Propose(t.Context(), proposal(1, 0, "t"))
		assert.NilError(t, err)
		store.Store = empty
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return a.Run(ctx) })
		time.Sleep(11 * time.Second)
		synctest.Wait()
		assert.Assert(t, len(broken) > 0)
		assert.Equal(t, a.Current().Version, ident.Version(1))
		assert.ErrorContains(t, a.Ready(), "not confirmed")
		cancel()
		assert.NilError(t, group.Wait())
	})
}

// switched is a table that can be exchanged for another.
type switched struct{ table.Store }
