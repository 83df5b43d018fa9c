package config_test

import (
	"context"
	"errors"
	"fmt"
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

// documentText returns a document whose only account has the given weight.
func documentText(weight int) []byte {
	return fmt.Appendf(nil, "Accounts:\n- Name: north\n  Weight: %d\n", weight)
}

// proposal returns a proposal of the document with the given weight.
func proposal(weight int, basedOn ident.Version, token ident.WriteToken) config.Proposal {
	return config.Proposal{Content: documentText(weight), BasedOn: basedOn, Author: "ana", Token: token}
}

func TestProposeRaisesVersion(t *testing.T) {
	a := config.New(config.Config{Store: &table.Memory{}})
	for v := ident.Version(1); v <= 3; v++ {
		got, err := a.Propose(t.Context(), proposal(int(v), v-1, ident.WriteToken(fmt.Sprint(v))))
		assert.NilError(t, err)
		assert.Equal(t, got.Version, v)
		assert.Equal(t, a.Current().Document.Accounts[0].Weight, int(v))
	}
	same, err := a.Propose(t.Context(), proposal(3, 3, "again"))
	assert.NilError(t, err)
	assert.Assert(t, same.Unchanged)
	restored, err := a.Propose(t.Context(), config.Proposal{Restore: 1, BasedOn: 3, Token: "back"})
	assert.NilError(t, err)
	assert.Equal(t, restored.Version, ident.Version(4))
	assert.Equal(t, a.Current().Document.Accounts[0].Weight, 1)
	history, err := a.History(t.Context(), 2)
	assert.NilError(t, err)
	assert.Equal(t, len(history), 2)
	assert.Equal(t, history[0].Restored, ident.Version(1))
}

// Of concurrent proposals that are based on the same version, one must be accepted and the others must conflict.
func TestConcurrentProposalsHaveOneWinner(t *testing.T) {
	store := &table.Memory{}
	const proposers = 16
	errs := make([]error, proposers)
	var group errgroup.Group
	for i := range proposers {
		group.Go(func() error {
			a := config.New(config.Config{Store: store})
			_, errs[i] = a.Propose(context.Background(), proposal(i+1, 0, ident.WriteToken(fmt.Sprint(i))))
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	winners := 0
	for _, err := range errs {
		if err == nil {
			winners++
			continue
		}
		var conflict *config.ConflictError
		assert.Assert(t, fault.Is(err, fault.Conflict))
		assert.Assert(t, errors.As(err, &conflict))
		assert.Equal(t, len(conflict.Changes), 1)
		assert.Equal(t, conflict.Winner.Version, ident.Version(1))
	}
	assert.Equal(t, winners, 1)
}

// failNthApply returns a function for table.Memory.InjectError that fails the n-th call of Apply before or after its
// write.
func failNthApply(n int, after bool, kind fault.Kind) func(string, bool) error {
	calls := 0
	return func(op string, isAfter bool) error {
		if op != "apply" || isAfter != after {
			return nil
		}
		calls++
		if calls != n {
			return nil
		}
		return fault.New(kind, "apply batch", "table", "injected")
	}
}

// If the response to the write is lost, Propose must determine whether the write took effect instead of reporting a
// failure.
func TestLostWriteResponseIsResolved(t *testing.T) {
	tests := []struct {
		name  string
		after bool
		kind  fault.Kind
		want  fault.Kind
		ok    bool
	}{
		{"took effect", true, fault.OutcomeUnknown, 0, true},
		{"did not take effect", false, fault.OutcomeUnknown, 0, true},
		{"rejected", false, fault.Throttled, fault.Throttled, false},
		{"took effect, reported as conflict", true, fault.Conflict, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := &table.Memory{InjectError: failNthApply(1, tt.after, tt.kind)}
			a := config.New(config.Config{Store: store})
			v, err := a.Propose(t.Context(), proposal(1, 0, "t"))
			if !tt.ok {
				assert.Assert(t, fault.Is(err, tt.want))
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, v.Version, ident.Version(1))
		})
	}
}

// A proposal repeated with the same token must return its original version, even after a later version was accepted.
func TestSameTokenGivesSameResult(t *testing.T) {
	store := &table.Memory{}
	first, err := config.New(config.Config{Store: store}).Propose(t.Context(), proposal(1, 0, "t"))
	assert.NilError(t, err)
	_, err = config.New(config.Config{Store: store}).Propose(t.Context(), proposal(2, 1, "u"))
	assert.NilError(t, err)
	again, err := config.New(config.Config{Store: store}).Propose(t.Context(), proposal(1, 0, "t"))
	assert.NilError(t, err)
	assert.Equal(t, again.Version, first.Version)
}

func TestRunInstallsHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &table.Memory{}
		a := config.New(config.Config{Store: store})
		assert.ErrorContains(t, a.Ready(), "not known yet")
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return a.Run(ctx) })
		synctest.Wait()
		assert.ErrorContains(t, a.Ready(), "no document has been accepted yet")
		_, err := config.New(config.Config{Store: store}).Propose(ctx, proposal(5, 0, "t"))
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		assert.Equal(t, a.Current().Version, ident.Version(1))
		assert.NilError(t, a.Ready())
		cancel()
		assert.NilError(t, group.Wait())
	})
}

// If the response to the write is lost and the table rejects further writes, only reading back the version reveals the
// outcome.
func TestLostWriteResponseIsReadBack(t *testing.T) {
	calls := 0
	store := &table.Memory{InjectError: func(op string, after bool) error {
		if op != "apply" {
			return nil
		}
		calls++
		if calls == 1 {
			return nil
		}
		if after {
			return fault.New(fault.OutcomeUnknown, "apply batch", "table", "injected")
		}
		return fault.New(fault.Unavailable, "apply batch", "table", "injected")
	}}
	v, err := config.New(config.Config{Store: store}).Propose(t.Context(), proposal(1, 0, "t"))
	assert.NilError(t, err)
	assert.Equal(t, v.Version, ident.Version(1))
}
