package peer_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/peer"
)

// echoHandler answers Get with a view of the same job, and refuses all else. Jobs named "slow…" wait for release.
type echoHandler struct{ release, entered chan struct{} }

func (h echoHandler) Serve(ctx context.Context, m peer.Message) (peer.Message, error) {
	get, ok := m.(peer.Get)
	if !ok {
		return nil, fault.New(fault.Fenced, "serve", "", "not here")
	}
	if strings.HasPrefix(string(get.Job), "slow") {
		select {
		case h.entered <- struct{}{}:
		default:
		}
		select {
		case <-h.release:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return peer.View{View: gang.JobView{ID: get.Job, State: ident.Running}}, nil
}

func pair(t *testing.T, secret, shown string) (*peer.Transport, string, echoHandler) {
	t.Helper()
	h := echoHandler{release: make(chan struct{}), entered: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(t.Context())
	a := peer.New(ctx, peer.Config{Secret: secret, Handler: h})
	b := peer.New(ctx, peer.Config{Secret: shown, Handler: h})
	srv := httptest.NewServer(a)
	t.Cleanup(func() {
		cancel()
		srv.Close()
		assert.NilError(t, b.Wait())
	})
	return b, strings.TrimPrefix(srv.URL, "http://"), h
}

func TestCallsAreAnsweredAlsoWhenCrossed(t *testing.T) {
	link, addr, h := pair(t, "s3cret", "s3cret")
	var group errgroup.Group
	for i := range 50 {
		name := ident.Job(fmt.Sprintf("job%d", i))
		if i%2 == 0 {
			name = "slow" + name
		}
		group.Go(func() error {
			m, err := link.Call(t.Context(), addr, peer.Get{Job: name})
			if err != nil {
				return err
			}
			if got := m.(peer.View).View.ID; got != name {
				return fmt.Errorf("asked for %s, got %s", name, got)
			}
			return nil
		})
	}
	close(h.release)
	assert.NilError(t, group.Wait())
}

func TestFaultsKeepTheirKind(t *testing.T) {
	link, addr, _ := pair(t, "", "")
	_, err := link.Call(t.Context(), addr, peer.Drain{})
	assert.Equal(t, fault.KindOf(err), fault.Fenced)
	assert.ErrorContains(t, err, "not here")
}

func TestWrongSecretIsUnavailable(t *testing.T) {
	link, addr, _ := pair(t, "s3cret", "guess")
	_, err := link.Call(t.Context(), addr, peer.Get{Job: "j"})
	assert.Equal(t, fault.KindOf(err), fault.Unavailable)
}

func TestUnreachablePeerIsUnavailable(t *testing.T) {
	link, _, _ := pair(t, "", "")
	_, err := link.Call(t.Context(), "127.0.0.1:1", peer.Get{Job: "j"})
	assert.Equal(t, fault.KindOf(err), fault.Unavailable)
}

func TestLostReplyIsUnknown(t *testing.T) {
	link, addr, h := pair(t, "", "")
	ctx, cancel := context.WithCancel(t.Context())
	_, err := link.Call(ctx, addr, peer.Get{Job: "warm"})
	assert.NilError(t, err)
	var group errgroup.Group
	group.Go(func() error {
		_, err := link.Call(ctx, addr, peer.Get{Job: "slow"})
		if !fault.Is(err, fault.OutcomeUnknown) {
			return fmt.Errorf("unexpected error: %w", err)
		}
		return nil
	})
	<-h.entered
	cancel()
	assert.NilError(t, group.Wait())
}
