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

// A document must be in force on all instances without violations to be proven. An instance that replaced another one
// does not shorten the proven time.
func TestProveRequiresAllInstances(t *testing.T) {
	report := func(version ident.Version, violations uint64, first bool, d time.Duration) config.Report {
		return config.Report{Instance: "b", Version: version, Breaches: violations, First: first, InForceFor: ident.Duration(d)}
	}
	tests := []struct {
		name   string
		survey config.Survey
		want   time.Duration
		flaw   string
	}{
		{"all", config.Survey{Reports: []config.Report{report(1, 0, false, 50*time.Second)}}, 50 * time.Second, ""},
		{"replaced instance", config.Survey{Reports: []config.Report{report(1, 0, true, time.Second)}}, time.Minute, ""},
		{"missing instance", config.Survey{Missing: []ident.Instance{"c"}}, 0, "instance c does not answer"},
		{"earlier version", config.Survey{Reports: []config.Report{report(0, 0, false, 0)}}, 0, "runs version 0, not 1"},
		{"violation", config.Survey{Reports: []config.Report{report(1, 2, false, time.Hour)}}, 0, "instance b saw 2 broken promises"},
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

// Replacing the instance that detected a violation must not make the document provable.
func TestViolationRecordOutlivesInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &table.Memory{}
		violations := uint64(0)
		a := config.New(config.Config{Instance: "a", Store: store, Violations: func() uint64 { return violations }})
		_, err := a.Propose(t.Context(), proposal(1, 0, "t"))
		assert.NilError(t, err)
		violations = 1
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

func TestVerifyRejectsInvalidProofs(t *testing.T) {
	valid := config.Proof{Digest: "d", Instances: 1, ProvenFor: ident.Duration(time.Minute)}
	tests := []struct {
		name   string
		change func(*config.Proof)
		key    string
		want   string
	}{
		{"valid", func(*config.Proof) {}, "", ""},
		{"other document", func(p *config.Proof) { p.Digest = "e" }, "", "the proof is of digest e"},
		{"too short", func(p *config.Proof) { p.ProvenFor-- }, "", "is required"},
		{"no instance", func(p *config.Proof) { p.Instances = 0 }, "", "covers no instances"},
		{"unsigned", func(*config.Proof) {}, "key", "signature"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := valid
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

// A table that loses accepted versions must be detected as a violation, and must not replace the version in force.
func TestTableRollbackIsViolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full, empty := &table.Memory{}, &table.Memory{}
		var violated []string
		store := &swappableStore{Store: full}
		a := config.New(config.Config{Store: store, OnViolation: func(invariant, _ string) { violated = append(violated, invariant) }})
		_, err := a.Propose(t.Context(), proposal(1, 0, "t"))
		assert.NilError(t, err)
		store.Store = empty
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return a.Run(ctx) })
		time.Sleep(11 * time.Second)
		synctest.Wait()
		assert.Assert(t, len(violated) > 0)
		assert.Equal(t, a.Current().Version, ident.Version(1))
		assert.ErrorContains(t, a.Ready(), "not confirmed")
		cancel()
		assert.NilError(t, group.Wait())
	})
}

// swappableStore is a table.Store that can be replaced by another one during a test.
type swappableStore struct{ table.Store }
