package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/peer"
	"github.com/sardineline/sardineline/sard/store"
)

// testHandler answers Get with a view of the same job and fails all other messages with a Fenced fault. A Get of a job
// whose name starts with "slow" signals entered and blocks until release is closed.
type testHandler struct{ release, entered chan struct{} }

func (h testHandler) Serve(ctx context.Context, m peer.Message) (peer.Message, error) {
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

// startServer starts a transport with serverSecret behind an HTTP server, and returns a client transport with
// clientSecret and the address of the server.
func startServer(t *testing.T, serverSecret, clientSecret string) (*peer.Transport, string, testHandler) {
	t.Helper()
	h := testHandler{release: make(chan struct{}), entered: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(t.Context())
	server := peer.New(ctx, peer.Config{Secret: serverSecret, Handler: h})
	client := peer.New(ctx, peer.Config{Secret: clientSecret, Handler: h})
	srv := httptest.NewServer(server)
	t.Cleanup(func() {
		cancel()
		srv.Close()
		assert.NilError(t, client.Wait())
	})
	return client, strings.TrimPrefix(srv.URL, "http://"), h
}

// TestConcurrentCallsGetTheirOwnReplies sends calls whose replies arrive in another order, since every other call
// blocks until all have been started.
func TestConcurrentCallsGetTheirOwnReplies(t *testing.T) {
	transport, addr, h := startServer(t, "s3cret", "s3cret")
	var group errgroup.Group
	for i := range 50 {
		name := ident.Job(fmt.Sprintf("job%d", i))
		if i%2 == 0 {
			name = "slow" + name
		}
		group.Go(func() error {
			m, err := transport.Call(t.Context(), addr, peer.Get{Job: name})
			if err != nil {
				return err
			}
			if got := m.(peer.View).View.ID; got != name {
				return fmt.Errorf("requested job %s, got %s", name, got)
			}
			return nil
		})
	}
	close(h.release)
	assert.NilError(t, group.Wait())
}

func TestHandlerErrorKeepsItsKind(t *testing.T) {
	transport, addr, _ := startServer(t, "", "")
	_, err := transport.Call(t.Context(), addr, peer.Drain{})
	assert.Equal(t, fault.KindOf(err), fault.Fenced)
	assert.ErrorContains(t, err, "not here")
}

func TestWrongSecretIsUnavailable(t *testing.T) {
	transport, addr, _ := startServer(t, "s3cret", "guess")
	_, err := transport.Call(t.Context(), addr, peer.Get{Job: "j"})
	assert.Equal(t, fault.KindOf(err), fault.Unavailable)
}

func TestUnreachablePeerIsUnavailable(t *testing.T) {
	transport, _, _ := startServer(t, "", "")
	_, err := transport.Call(t.Context(), "127.0.0.1:1", peer.Get{Job: "j"})
	assert.Equal(t, fault.KindOf(err), fault.Unavailable)
}

// TestCallCancelledBeforeReplyHasUnknownOutcome cancels a call while the peer's handler runs. The call was sent, so its
// error must not say that it did not take effect.
func TestCallCancelledBeforeReplyHasUnknownOutcome(t *testing.T) {
	transport, addr, h := startServer(t, "", "")
	ctx, cancel := context.WithCancel(t.Context())
	_, err := transport.Call(ctx, addr, peer.Get{Job: "warm"})
	assert.NilError(t, err)
	var group errgroup.Group
	group.Go(func() error {
		_, err := transport.Call(ctx, addr, peer.Get{Job: "slow"})
		if !fault.Is(err, fault.OutcomeUnknown) {
			return fmt.Errorf("unexpected error: %w", err)
		}
		return nil
	})
	<-h.entered
	cancel()
	assert.NilError(t, group.Wait())
}

// slowConn is a connection of which 16 KB arrive at a time.
type slowConn struct{ net.Conn }

// Read reads the next part.
func (c slowConn) Read(b []byte) (int, error) {
	time.Sleep(50 * time.Millisecond)
	return c.Conn.Read(b[:min(len(b), 16<<10)])
}

// TestLargeReplyOverSlowLink guards against calls that are given up while their reply arrives.
func TestLargeReplyOverSlowLink(t *testing.T) {
	_, addr, h := startServer(t, "", "")
	ctx, stop := context.WithCancel(t.Context())
	slow := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return slowConn{conn}, err
	}}
	client := peer.New(ctx, peer.Config{Handler: h, Client: &http.Client{Transport: slow}})
	_, err := client.Call(ctx, addr, peer.Get{Job: "warm"})
	assert.NilError(t, err)
	limited, cancel := store.WithSilenceLimit(ctx, 500*time.Millisecond)
	_, err = client.Call(limited, addr, peer.Get{Job: ident.Job(strings.Repeat("j", 400_000))})
	cancel()
	assert.Check(t, err)
	stop()
	assert.NilError(t, client.Wait())
}
